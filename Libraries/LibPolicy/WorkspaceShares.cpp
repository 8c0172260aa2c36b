#include <LibPolicy/WorkspaceShares.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <vector>

namespace GraniteField::Policy {

namespace {

/// A group of workspaces with the same demand per weight.
struct Claimant {
    double requested_per_weight {0};
    double weight {0};
};

}

double WorkspaceShares::level(ServiceDemand const& demand) const
{
    constexpr auto unlimited = std::numeric_limits<double>::infinity();
    if (demand.total.admitted >= demand.total.requested)
        return unlimited;
    std::vector<Claimant> claimants;
    double listed = 0;
    for (auto const& [workspace, rate] : demand.workspaces) {
        if (rate.requested <= 0)
            continue;
        auto const weight = static_cast<double>(weight_of(workspace));
        claimants.push_back({rate.requested / weight, weight});
        listed += rate.requested;
    }
    if (claimants.empty())
        return unlimited;
    std::ranges::sort(claimants, {}, &Claimant::requested_per_weight);
    auto const smallest = claimants.front().requested_per_weight;
    auto const unlisted = std::max(0.0, demand.total.requested - listed);
    claimants.insert(claimants.begin(), {smallest, unlisted / smallest});

    double remaining_weight = 0;
    for (auto const& claimant : claimants)
        remaining_weight += claimant.weight;
    double remaining_work = demand.total.admitted;
    for (auto const& claimant : claimants) {
        auto const equal_share = remaining_work / remaining_weight;
        if (claimant.requested_per_weight > equal_share)
            return equal_share;
        remaining_work -= claimant.requested_per_weight * claimant.weight;
        remaining_weight -= claimant.weight;
    }
    return unlimited;
}

WorkRate WorkspaceShares::relative_rate(ServiceDemand const& demand, double level, std::string_view workspace) const
{
    auto const hash = hash_name(workspace);
    auto const found = demand.workspaces.find(hash);
    if (found == demand.workspaces.end() || level <= 0)
        return {};
    auto const share = level * weight_of(hash);
    return {found->second.requested / share, found->second.admitted / share};
}

ShareStanding WorkspaceShares::standing(ServiceDemand const& demand, double level, std::string_view workspace) const
{
    bool const is_beyond = relative_rate(demand, level, workspace).requested > 1 + s_tolerance;
    return is_beyond ? ShareStanding::Beyond : ShareStanding::Within;
}

Core::Milliseconds WorkspaceShares::time_until_within(
    ServiceDemand const& demand, double level, std::string_view workspace) const
{
    auto const excess = relative_rate(demand, level, workspace).requested;
    if (excess <= 1)
        return Core::Milliseconds(0);
    auto const time = FleetDemand::s_work_half_life * std::log2(excess);
    return std::chrono::ceil<Core::Milliseconds>(time);
}

}
