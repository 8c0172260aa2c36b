#include <LibGateway/DemandSharing.h>

#include <LibGateway/MessageAge.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace GraniteField::Gateway {

namespace {

using granitefield::protocol::ServiceDemand;
using Policy::AdmissionClass;
using Policy::FleetDemand;
using Policy::ReturnLine;
using Policy::ShareStanding;
using Policy::WaitSample;
using Policy::WaitSamples;

/// Number of priorities that engines know, each with two standings.
constexpr std::uint32_t s_max_ranks = 10;
constexpr int s_max_classes = 2 * s_max_ranks;
/// Longest time to return in a message.
constexpr std::uint32_t s_max_return_ms = 600'000;
/// Number of own samples to recognize: those of several reports.
constexpr std::size_t s_max_own_samples = 8 * WaitSamples::s_max_reported;

std::uint32_t to_count(double rate)
{
    constexpr double largest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(std::round(rate), 0.0, largest));
}

bool is_valid(ServiceDemand const& service)
{
    return service.classes_size() <= s_max_classes
        && service.workspaces_size() <= static_cast<int>(FleetDemand::s_max_reported_workspaces)
        && std::ranges::all_of(service.classes(), [](auto const& item) {
               return item.rank() < s_max_ranks && item.late() <= item.requested()
                   && item.admitted() <= item.requested() && item.admitted_while_open() <= item.admitted();
           });
}

void write(ServiceDemand& message, Policy::ServiceDemand const& demand)
{
    for (auto const& [admission_class, counts] : demand.classes) {
        auto& item = *message.add_classes();
        item.set_rank(admission_class.rank);
        item.set_is_beyond_share(admission_class.standing == ShareStanding::Beyond);
        item.set_requested(counts.requested);
        item.set_late(counts.late);
        item.set_admitted(counts.admitted);
        item.set_admitted_while_open(counts.admitted_while_open);
    }
    message.set_requested(to_count(demand.total.requested));
    message.set_admitted(to_count(demand.total.admitted));
    for (auto const& [workspace, rate] : demand.workspaces) {
        auto& item = *message.add_workspaces();
        item.set_workspace(workspace);
        item.set_requested(to_count(rate.requested));
        item.set_admitted(to_count(rate.admitted));
    }
}

Policy::ServiceDemand read(ServiceDemand const& message)
{
    Policy::ServiceDemand demand;
    for (auto const& item : message.classes()) {
        auto const standing = item.is_beyond_share() ? ShareStanding::Beyond : ShareStanding::Within;
        demand.classes[AdmissionClass {item.rank(), standing}]
            += {item.requested(), item.late(), item.admitted(), item.admitted_while_open()};
    }
    demand.total = {static_cast<double>(message.requested()), static_cast<double>(message.admitted())};
    for (auto const& item : message.workspaces())
        demand.workspaces[item.workspace()]
            = {static_cast<double>(item.requested()), static_cast<double>(item.admitted())};
    return demand;
}

void write(DemandSharing::Message& message, Policy::DemandReport const& report)
{
    for (auto const& [service, demand] : report) {
        auto& item = *message.add_services();
        item.set_service(service);
        write(item, demand);
    }
}

Policy::DemandReport read(DemandSharing::Message const& message)
{
    Policy::DemandReport report;
    for (auto const& item : message.services())
        report[item.service()] += read(item);
    return report;
}

void write(DemandSharing::Message& message, std::vector<WaitSample> const& samples)
{
    for (auto const& sample : samples) {
        message.add_wait_classes(sample.key);
        message.add_wait_ratios_permille(sample.ratio_permille);
    }
}

void write(DemandSharing::Message& message, std::vector<ReturnLine::Place> const& places, Core::MonotonicTime now)
{
    for (auto const& place : places) {
        message.add_returning(place.request);
        message.add_return_in_ms(age_of(now, place.due));
    }
}

std::vector<WaitSample> samples_of(DemandSharing::Message const& message)
{
    std::vector<WaitSample> samples;
    for (int index = 0; index < message.wait_classes_size(); ++index)
        samples.push_back({message.wait_classes(index), message.wait_ratios_permille(index)});
    return samples;
}

std::vector<ReturnLine::Place> places_of(DemandSharing::Message const& message, Core::MonotonicTime now)
{
    std::vector<ReturnLine::Place> places;
    for (int index = 0; index < message.returning_size(); ++index)
        places.push_back({message.returning(index), now + Core::Milliseconds(message.return_in_ms(index))});
    return places;
}

/// Appends as many items as fit into one datagram.
template <typename Item>
void append(std::vector<Item>& target, std::vector<Item> const& items, std::size_t max_size)
{
    auto const room = max_size - std::min(max_size, target.size());
    auto const count = std::min(room, items.size());
    target.insert(target.end(), items.begin(), items.begin() + static_cast<std::ptrdiff_t>(count));
}

}

bool DemandSharing::is_within_bounds(Message const& message)
{
    return message.services_size() <= static_cast<int>(FleetDemand::s_max_reported_services)
        && std::ranges::all_of(message.services(), is_valid)
        && message.wait_classes_size() == message.wait_ratios_permille_size()
        && message.wait_classes_size() <= static_cast<int>(WaitSamples::s_max_reported)
        && std::ranges::all_of(
            message.wait_ratios_permille(), [](auto ratio) { return ratio <= WaitSamples::s_max_ratio_permille; })
        && message.returning_size() == message.return_in_ms_size()
        && message.returning_size() <= static_cast<int>(ReturnLine::s_max_reported)
        && std::ranges::all_of(message.return_in_ms(), [](auto time) { return time <= s_max_return_ms; });
}

bool DemandSharing::is_demand_shared() const
{
    auto const& settings = m_admission.settings();
    return settings.is_fleet_wide || settings.uses_workspace_shares;
}

bool DemandSharing::take_due_report(Core::MonotonicTime now)
{
    auto const relays = static_cast<int>(m_admission.demand().source_count());
    auto const interval = std::max(s_min_interval, s_interval_per_relay * relays);
    if (!is_demand_shared() || Core::elapsed(m_last_report, now) < interval)
        return false;
    m_last_report = now;
    return true;
}

void DemandSharing::fill_report(Message& message, Core::MonotonicTime now)
{
    if (take_due_report(now))
        write(message, m_admission.demand().own_report(now));
    auto const samples = m_admission.wait_samples().take_unreported();
    write(message, samples);
    m_own_samples.insert(m_own_samples.end(), samples.begin(), samples.end());
    if (m_own_samples.size() > s_max_own_samples)
        m_own_samples.erase(
            m_own_samples.begin(), m_own_samples.end() - static_cast<std::ptrdiff_t>(s_max_own_samples));
    write(message, m_admission.return_line().take_unreported(), now);
}

void DemandSharing::fill_relayed(Message& message, std::uint64_t self, Core::MonotonicTime now)
{
    if (take_due_report(now)) {
        auto report = m_admission.demand().relayed_report(now);
        write(message, report);
        m_admission.demand().receive_from_relay(self, std::move(report), now);
    }
    append(m_samples_to_relay, m_admission.wait_samples().take_unreported(), WaitSamples::s_max_reported);
    write(message, std::exchange(m_samples_to_relay, {}));
}

void DemandSharing::add_places(Message& message, Core::MonotonicTime now)
{
    append(m_places_to_relay, m_admission.return_line().take_unreported(), ReturnLine::s_max_reported);
    write(message, std::exchange(m_places_to_relay, {}), now);
}

void DemandSharing::receive_report(Message const& message, std::uint64_t gateway, Core::MonotonicTime now)
{
    if (is_demand_shared() && message.services_size() > 0)
        m_admission.demand().receive_from_gateway(gateway, read(message), now);
    auto const samples = samples_of(message);
    append(m_samples_to_relay, samples, WaitSamples::s_max_reported);
    auto const places = places_of(message, now);
    append(m_places_to_relay, places, ReturnLine::s_max_reported);
    if (m_admission.settings().is_fleet_wide) {
        for (auto const& sample : samples)
            m_admission.receive(sample, now);
    }
    if (m_admission.settings().has_return_line) {
        for (auto const& place : places)
            m_admission.return_line().receive(place);
    }
}

void DemandSharing::receive_relayed(Message const& message, std::uint64_t relay, Sender sender, Core::MonotonicTime now)
{
    if (is_demand_shared() && message.services_size() > 0)
        m_admission.demand().receive_from_relay(relay, read(message), now);
    if (m_admission.settings().is_fleet_wide) {
        for (auto const& sample : samples_of(message)) {
            if (sender == Sender::Other || !is_own_sample(sample))
                m_admission.receive(sample, now);
        }
    }
    if (m_admission.settings().has_return_line && sender == Sender::OwnRelay) {
        for (auto const& place : places_of(message, now))
            m_admission.return_line().receive(place);
    }
}

bool DemandSharing::is_own_sample(WaitSample const& sample)
{
    auto const found = std::ranges::find(m_own_samples, sample);
    if (found == m_own_samples.end())
        return false;
    m_own_samples.erase(found);
    return true;
}

void DemandSharing::remove_expired(Core::MonotonicTime now)
{
    m_admission.demand().remove_silent(now);
    m_admission.return_line().forget_expired(now);
}

}
