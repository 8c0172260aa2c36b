#include <LibGateway/LoadAggregator.h>

namespace GraniteField::Gateway {

bool LoadAggregator::update(std::uint64_t gateway, Report report)
{
    auto& known = m_reports[gateway];
    if (report.sequence <= known.sequence)
        return false;
    replace_loads(known.loads, report.loads);
    known = std::move(report);
    return true;
}

std::vector<std::uint64_t> LoadAggregator::remove_silent(Core::MonotonicTime now)
{
    std::vector<std::uint64_t> silent;
    for (auto const& [gateway, report] : m_reports) {
        if (Core::elapsed(report.received_at, now) > s_report_expiry)
            silent.push_back(gateway);
    }
    for (auto const gateway : silent) {
        replace_loads(m_reports.at(gateway).loads, {});
        m_reports.erase(gateway);
    }
    return silent;
}

LoadsByServer LoadAggregator::take_changes()
{
    LoadsByServer changes;
    for (auto const server : std::exchange(m_changed, {})) {
        auto const sum = m_sums.find(server);
        changes[server] = sum == m_sums.end() ? ServerLoad() : sum->second;
    }
    return changes;
}

std::uint64_t LoadAggregator::last_sequence_of(std::uint64_t gateway) const
{
    auto const found = m_reports.find(gateway);
    return found == m_reports.end() ? 0 : found->second.sequence;
}

void LoadAggregator::replace_loads(LoadsByServer const& before, LoadsByServer const& now)
{
    for (auto const& [server, load] : before) {
        auto const found = now.find(server);
        update_sum(server, load, found == now.end() ? ServerLoad() : found->second);
    }
    for (auto const& [server, load] : now) {
        if (!before.contains(server))
            update_sum(server, {}, load);
    }
}

void LoadAggregator::update_sum(std::uint64_t server, ServerLoad const& before, ServerLoad const& now)
{
    if (before == now)
        return;
    auto const sum = m_sums.try_emplace(server).first;
    sum->second -= before;
    sum->second += now;
    if (sum->second == ServerLoad())
        m_sums.erase(sum);
    m_changed.insert(server);
}

}
