#include <LibPolicy/FleetDemand.h>

#include <LibCore/Hashing.h>

#include <algorithm>

namespace GraniteField::Policy {

namespace {

constexpr std::int64_t s_slices_per_window = 10;
/// Rate of work, in tokens or milliseconds per second, below which a workspace counts as idle.
constexpr double s_idle_rate = 1;

/// Returns the class whose counts include this one's.
AdmissionClass counted_class(AdmissionClass admission_class)
{
    admission_class.arrival = Arrival::New;
    return admission_class;
}

WorkRate max_of(WorkRate const& first, WorkRate const& second)
{
    return {std::max(first.requested, second.requested), std::max(first.admitted, second.admitted)};
}

}

NameHash hash_name(std::string_view name)
{
    return static_cast<NameHash>(Core::hash_bytes(name));
}

ClassCounts& ClassCounts::operator+=(ClassCounts const& other)
{
    requested += other.requested;
    late += other.late;
    admitted += other.admitted;
    admitted_while_open += other.admitted_while_open;
    return *this;
}

WorkRate& WorkRate::operator+=(WorkRate const& other)
{
    requested += other.requested;
    admitted += other.admitted;
    return *this;
}

ServiceDemand& ServiceDemand::operator+=(ServiceDemand const& other)
{
    for (auto const& [admission_class, counts] : other.classes)
        classes[admission_class] += counts;
    total += other.total;
    for (auto const& [workspace, rate] : other.workspaces)
        workspaces[workspace] += rate;
    return *this;
}

void ServiceDemand::keep_heaviest(std::size_t count)
{
    if (workspaces.size() <= count)
        return;
    std::vector<double> requested;
    requested.reserve(workspaces.size());
    for (auto const& [workspace, rate] : workspaces)
        requested.push_back(rate.requested);
    std::ranges::nth_element(requested, requested.begin() + static_cast<std::ptrdiff_t>(count), std::greater());
    auto const largest_dropped = requested[count];
    absl::erase_if(workspaces, [&](auto const& item) { return item.second.requested <= largest_dropped; });
}

std::int64_t FleetDemand::slice_number(Core::MonotonicTime now)
{
    return now.time_since_epoch() / (s_window / s_slices_per_window);
}

void FleetDemand::note(Request const& request, Verdict verdict, ClassState state, Core::MonotonicTime now)
{
    auto const service = hash_name(request.service);
    auto& own = m_own[service];
    own.name = request.service;
    if (own.slices.empty() || own.slices.back().number != slice_number(now))
        own.slices.push_back({slice_number(now), {}});
    while (own.slices.front().number <= slice_number(now) - s_slices_per_window)
        own.slices.pop_front();

    bool const is_admitted = verdict == Verdict::InTime || verdict == Verdict::Late;
    bool const is_late = verdict == Verdict::Late || verdict == Verdict::Rejected;
    auto& counts = own.slices.back().classes[counted_class(request.admission_class)];
    ++counts.requested;
    counts.late += is_late ? 1 : 0;
    counts.admitted += is_admitted ? 1 : 0;
    counts.admitted_while_open += is_admitted && state == ClassState::Open ? 1 : 0;

    own.total.requested.add(request.work, now);
    if (verdict == Verdict::InTime)
        own.total.admitted.add(request.work, now);
    if (auto* const work = work_of(own, request.workspace, now)) {
        work->requested.add(request.work, now);
        if (is_admitted)
            work->admitted.add(request.work, now);
    }
    if (is_late || !is_admitted)
        m_last_shortage[service] = now;
}

FleetDemand::OwnWork* FleetDemand::work_of(OwnDemand& own, std::string const& workspace, Core::MonotonicTime now)
{
    auto const hash = hash_name(workspace);
    auto const found = own.workspaces.find(hash);
    if (found != own.workspaces.end())
        return &found->second;
    if (own.workspaces.size() >= s_max_known_workspaces) {
        absl::erase_if(
            own.workspaces, [now](auto const& item) { return item.second.requested.per_second(now) < s_idle_rate; });
    }
    if (own.workspaces.size() >= s_max_known_workspaces)
        return nullptr;
    return &own.workspaces[hash];
}

std::map<AdmissionClass, ClassCounts> FleetDemand::recent_counts(OwnDemand const& own, Core::MonotonicTime now)
{
    std::map<AdmissionClass, ClassCounts> sums;
    for (auto const& slice : own.slices) {
        if (slice.number <= slice_number(now) - s_slices_per_window)
            continue;
        for (auto const& [admission_class, counts] : slice.classes)
            sums[admission_class] += counts;
    }
    return sums;
}

ServiceDemand FleetDemand::current(OwnDemand const& own, Core::MonotonicTime now)
{
    ServiceDemand demand;
    demand.classes = recent_counts(own, now);
    demand.total = own.total.rate(now);
    for (auto const& [workspace, work] : own.workspaces) {
        if (auto const rate = work.rate(now); rate.requested >= s_idle_rate)
            demand.workspaces.emplace(workspace, rate);
    }
    return demand;
}

bool FleetDemand::has_shortage(std::string const& service, Core::MonotonicTime now) const
{
    auto const found = m_last_shortage.find(hash_name(service));
    return found != m_last_shortage.end() && Core::elapsed(found->second, now) < s_shortage_retention;
}

std::vector<std::string> FleetDemand::services_with_shortage(Core::MonotonicTime now) const
{
    std::vector<std::string> names;
    for (auto const& [service, own] : m_own) {
        if (has_shortage(own.name, now))
            names.push_back(own.name);
    }
    return names;
}

DemandReport FleetDemand::own_report(Core::MonotonicTime now)
{
    DemandReport report;
    for (auto const& [service, own] : m_own) {
        if (!has_shortage(own.name, now) || report.size() >= s_max_reported_services)
            continue;
        auto demand = current(own, now);
        demand.keep_heaviest(s_max_reported_workspaces);
        report.emplace(service, std::move(demand));
    }
    return report;
}

DemandReport FleetDemand::relayed_report(Core::MonotonicTime now)
{
    DemandReport sum;
    for (auto const& [service, own] : m_own) {
        if (has_shortage(own.name, now))
            sum.emplace(service, current(own, now));
    }
    for (auto const& [gateway, source] : m_gateways) {
        for (auto const& [service, demand] : source.report)
            sum[service] += demand;
    }
    while (sum.size() > s_max_reported_services)
        sum.erase(std::prev(sum.end()));
    for (auto& [service, demand] : sum)
        demand.keep_heaviest(s_max_reported_workspaces);
    return sum;
}

void FleetDemand::receive(Sources& sources, std::uint64_t source, DemandReport report, Core::MonotonicTime now)
{
    if (sources.size() >= s_max_sources && !sources.contains(source))
        return;
    for (auto const& [service, demand] : report) {
        bool const has_shortage = std::ranges::any_of(demand.classes,
            [](auto const& item) { return item.second.late > 0 || item.second.admitted < item.second.requested; });
        if (has_shortage)
            m_last_shortage[service] = now;
    }
    sources[source] = {now, std::move(report)};
}

void FleetDemand::receive_from_gateway(std::uint64_t gateway, DemandReport report, Core::MonotonicTime now)
{
    receive(m_gateways, gateway, std::move(report), now);
}

void FleetDemand::receive_from_relay(std::uint64_t relay, DemandReport report, Core::MonotonicTime now)
{
    receive(m_relays, relay, std::move(report), now);
}

void FleetDemand::remove_silent(Core::MonotonicTime now)
{
    auto const is_silent
        = [now](auto const& item) { return Core::elapsed(item.second.received_at, now) > s_report_expiry; };
    std::erase_if(m_gateways, is_silent);
    std::erase_if(m_relays, is_silent);
    std::erase_if(
        m_last_shortage, [now](auto const& item) { return Core::elapsed(item.second, now) > s_shortage_retention; });
}

ServiceDemand FleetDemand::total(std::string const& service, Core::MonotonicTime now) const
{
    auto const hash = hash_name(service);
    ServiceDemand fleet;
    for (auto const& [relay, source] : m_relays) {
        auto const found = source.report.find(hash);
        if (found != source.report.end())
            fleet += found->second;
    }
    auto const own = m_own.find(hash);
    if (own == m_own.end())
        return fleet;
    // The reports include this gateway's own demand, but only after a while, and not at all while it has no relay.
    auto const own_demand = current(own->second, now);
    fleet.total = max_of(fleet.total, own_demand.total);
    bool const has_reports = !fleet.workspaces.empty();
    for (auto const& [workspace, rate] : own_demand.workspaces) {
        auto const sum = fleet.workspaces.find(workspace);
        if (sum != fleet.workspaces.end())
            sum->second = max_of(sum->second, rate);
        else if (!has_reports)
            fleet.workspaces.emplace(workspace, rate);
    }
    for (auto const& [admission_class, counts] : own_demand.classes) {
        auto& sum = fleet.classes[admission_class];
        if (sum.requested < counts.requested)
            sum = counts;
    }
    return fleet;
}

}
