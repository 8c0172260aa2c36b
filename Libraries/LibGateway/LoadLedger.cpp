#include <LibGateway/LoadLedger.h>

namespace GraniteField::Gateway {

bool LoadLedger::take(std::uint64_t gateway, Report report)
{
    auto& known = m_reports[gateway];
    if (report.sequence <= known.sequence)
        return false;
    replace(known.loads, report.loads);
    known = std::move(report);
    return true;
}

std::vector<std::uint64_t> LoadLedger::forget_silent(Core::MonotonicTime now)
{
    std::vector<std::uint64_t> silent;
    for (auto const& [gateway, report] : m_reports) {
        if (Core::elapsed(report.heard, now) > s_memory)
            silent.push_back(gateway);
    }
    for (auto const gateway : silent) {
        replace(m_reports.at(gateway).loads, {});
        m_reports.erase(gateway);
    }
    return silent;
}

LoadsByServer LoadLedger::take_changes()
{
    LoadsByServer changes;
    for (auto const server : std::exchange(m_changed, {})) {
        auto const sum = m_sums.find(server);
        changes[server] = sum == m_sums.end() ? ServerLoad() : sum->second;
    }
    return changes;
}

std::uint64_t LoadLedger::sequence_of(std::uint64_t gateway) const
{
    auto const found = m_reports.find(gateway);
    return found == m_reports.end() ? 0 : found->second.sequence;
}

void LoadLedger::replace(LoadsByServer const& before, LoadsByServer const& now)
{
    for (auto const& [server, load] : before) {
        auto const found = now.find(server);
        change(server, load, found == now.end() ? ServerLoad() : found->second);
    }
    for (auto const& [server, load] : now) {
        if (!before.contains(server))
            change(server, {}, load);
    }
}

void LoadLedger::change(std::uint64_t server, ServerLoad const& before, ServerLoad const& now)
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
