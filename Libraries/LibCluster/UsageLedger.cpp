#include <LibCluster/UsageLedger.h>

#include <algorithm>
#include <set>

namespace GraniteField::Cluster {

void UsageLedger::count(UsageWindow window, std::string const& workspace)
{
    ++m_gateways[m_self].windows[window][workspace];
    m_changes.insert({m_self, window, workspace});
}

void UsageLedger::close(UsageWindow window)
{
    auto& own = m_gateways[m_self];
    if (window <= own.closed)
        return;
    own.closed = window;
    m_closed_changes.insert(m_self);
    resend(window);
}

void UsageLedger::resend(UsageWindow window)
{
    auto const& own = m_gateways[m_self];
    auto const found = own.windows.find(window);
    if (found == own.windows.end())
        return;
    m_closed_changes.insert(m_self);
    for (auto const& [workspace, count] : found->second)
        m_changes.insert({m_self, window, workspace});
}

void UsageLedger::merge(GatewayUsage const& usage, Relaying relaying)
{
    if (usage.gateway == m_self)
        return;
    bool const is_relayed = relaying == Relaying::Yes;
    auto& known = m_gateways[usage.gateway];
    known.closed = std::max(known.closed, usage.closed);
    if (is_relayed && usage.closed > UsageWindow())
        m_closed_changes.insert(usage.gateway);
    for (auto const& [window, counts] : usage.windows) {
        auto& known_counts = known.windows[window];
        for (auto const& [workspace, count] : counts) {
            auto& known_count = known_counts[workspace];
            known_count = std::max(known_count, count);
            // Repeated counts are relayed again, since the repetition replaces lost datagrams.
            if (is_relayed)
                m_changes.insert({usage.gateway, window, workspace});
        }
    }
}

std::vector<GatewayUsage> UsageLedger::take_changes(std::size_t max_counts)
{
    std::map<std::uint64_t, GatewayUsage> by_gateway;
    std::size_t count = 0;
    for (auto item = m_changes.begin(); item != m_changes.end() && count < max_counts; ++count) {
        auto const& change = *item;
        auto const& known = m_gateways[change.gateway].windows[change.window];
        if (auto const found = known.find(change.workspace); found != known.end())
            by_gateway[change.gateway].windows[change.window][change.workspace] = found->second;
        m_changes.erase(item++);
    }
    // Announces the window as closed only after all of its counts were sent.
    if (m_changes.empty()) {
        for (auto const gateway : m_closed_changes)
            by_gateway[gateway].closed = m_gateways[gateway].closed;
        m_closed_changes.clear();
    }
    std::vector<GatewayUsage> result;
    for (auto& [gateway, usage] : by_gateway) {
        usage.gateway = gateway;
        result.push_back(std::move(usage));
    }
    return result;
}

std::vector<GatewayUsage> UsageLedger::snapshot(std::size_t max_counts) const
{
    std::vector<GatewayUsage> result;
    std::size_t count = 0;
    for (auto const& [gateway, counts] : m_gateways) {
        for (auto const& [window, by_workspace] : counts.windows)
            count += by_workspace.size();
        if (count > max_counts)
            break;
        result.push_back({gateway, counts.closed, counts.windows});
    }
    return result;
}

std::vector<UsageWindow> UsageLedger::windows_after(UsageWindow limit) const
{
    std::set<UsageWindow> windows;
    for (auto const& [gateway, counts] : m_gateways) {
        for (auto item = counts.windows.upper_bound(limit); item != counts.windows.end(); ++item)
            windows.insert(item->first);
    }
    return {windows.begin(), windows.end()};
}

UsageCounts UsageLedger::totals(UsageWindow window) const
{
    UsageCounts totals;
    for (auto const& [gateway, counts] : m_gateways) {
        auto const found = counts.windows.find(window);
        if (found == counts.windows.end())
            continue;
        for (auto const& [workspace, count] : found->second)
            totals[workspace] += count;
    }
    return totals;
}

bool UsageLedger::is_closed_by_all(UsageWindow window) const
{
    return std::ranges::all_of(m_gateways, [window](auto const& item) {
        auto const& counts = item.second;
        return counts.closed >= window || !counts.windows.contains(window);
    });
}

void UsageLedger::forget_before(UsageWindow limit)
{
    for (auto item = m_gateways.begin(); item != m_gateways.end();) {
        auto& windows = item->second.windows;
        windows.erase(windows.begin(), windows.lower_bound(limit));
        item = windows.empty() && item->first != m_self ? m_gateways.erase(item) : std::next(item);
    }
    absl::erase_if(m_changes, [limit](auto const& change) { return change.window < limit; });
    absl::erase_if(m_closed_changes, [this](auto const gateway) { return !m_gateways.contains(gateway); });
}

}
