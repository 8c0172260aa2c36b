#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/FleetDemand.h>

#include <string_view>
#include <utility>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// Weighted max-min fair shares of a service's work among workspaces. Shares are of work (tokens to read and write, or
/// slot time), since a workspace with few large requests can take as much room as one with many small ones.
///
/// A share only orders rejections during a shortage; without one, no request is rejected for it. No I/O and no clock.
class WorkspaceShares {
public:
    using Weights = absl::flat_hash_map<NameHash, unsigned>;

    /// Excess over its share, as a fraction, from which a workspace counts as beyond it. Rates fluctuate with single
    /// requests.
    static constexpr double s_tolerance = 0.25;

    /// Sets the weights of the workspaces; those that are not listed have weight 1.
    void set_weights(Weights weights) { m_weights = std::move(weights); }

    /// Returns the work per second that a workspace of weight 1 is entitled to, or infinity while all demand is
    /// admitted. Treats the demand of workspaces that are not listed as that of workspaces as large as the smallest one
    /// listed; none of them is larger, so the level is never underestimated.
    [[nodiscard]] double level(ServiceDemand const&) const;

    /// Returns the standing of a workspace at the level that level() returned for the same demand: beyond its share if
    /// it requests more.
    [[nodiscard]] ShareStanding standing(ServiceDemand const&, double level, std::string_view workspace) const;

    /// Returns the rates of the workspace in relation to its share; zero if it is not listed.
    [[nodiscard]] WorkRate relative_rate(ServiceDemand const&, double level, std::string_view workspace) const;

    /// Returns the time after which the workspace is within its share again if it requests nothing more.
    [[nodiscard]] Core::Milliseconds time_until_within(
        ServiceDemand const&, double level, std::string_view workspace) const;

    [[nodiscard]] unsigned weight_of(NameHash workspace) const
    {
        auto const found = m_weights.find(workspace);
        return found == m_weights.end() ? 1 : found->second;
    }

private:
    Weights m_weights;
};

}
