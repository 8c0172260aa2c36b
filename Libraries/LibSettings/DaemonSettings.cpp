#include <LibSettings/DaemonSettings.h>

#include <LibCore/Hashing.h>
#include <LibCore/Json.h>
#include <LibCore/Text.h>
#include <LibSettings/ObjectReader.h>

#include <nlohmann/json.hpp>

namespace GraniteField::Settings {

using Json = nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t s_largest_count = 1'000'000;
/// A quarter of a process's memory is for what callers have not taken, and half of it for all that is held for callers,
/// the bodies of requests included. The rest is the table, the servers, what is known of other gateways, and what the
/// kernel counts towards the process.
constexpr std::size_t s_held_bytes_of_a_megabyte = (1U << 20U) / 4;
constexpr std::size_t s_memory_limit_of_a_megabyte = (1U << 20U) / 2;

void read_common(ObjectReader& reader, CommonSettings& common)
{
    reader.read("name", common.name, Presence::Required);
    reader.read("failure-domain", common.failure_domain, Presence::Required);
    reader.read("region", common.region, Presence::Required);
    reader.read("processor-share", common.processor_share, 0, 1'024);
    reader.read("operator-address", common.operator_address, Presence::Required);
    reader.read("drain-notice", common.drain_notice, 0ms, 10min);
    reader.read("drain-limit", common.drain_limit, 0ms, 24h);
    reader.read_number("decisions-kept", common.decisions_kept, 100, s_largest_count);
    Core::Address collector;
    if (reader.member("trace-collector") != nullptr) {
        reader.read("trace-collector", collector);
        common.trace_collector = collector;
    }
}

void read_callers(Json const& json, Entry::CallerServer::Settings& callers, Core::Findings& findings)
{
    ObjectReader reader(json, "/callers", findings);
    reader.read("address", callers.address, Presence::Required);
    reader.read_number("threads", callers.threads, 1, 64);
    reader.read_number("largest-connection-count", callers.max_connections, 1, s_largest_count);
    reader.read_number("largest-body-bytes", callers.max_body_bytes, 1, 16U << 20U);
    Core::Milliseconds idle_timeout = callers.idle_timeout;
    reader.read("idle-limit", idle_timeout, 1s, 1h);
    callers.idle_timeout = std::chrono::duration_cast<std::chrono::seconds>(idle_timeout);
    reader.finish();
}

void read_routing(Json const& json, EntrySettings& entry, Core::Findings& findings)
{
    ObjectReader reader(json, "/routing", findings);
    auto& runs = entry.router.runs;
    auto& links = entry.router.links;
    reader.read_choice<Entry::ChooserStrategy>("chooser", runs.chooser,
        {{"predicted-wait", Entry::ChooserStrategy::PredictedWait}, {"round-robin", Entry::ChooserStrategy::RoundRobin},
            {"least-outstanding", Entry::ChooserStrategy::LeastOutstanding}});
    reader.read("missed-prefix-cost-per-kilobyte", runs.missed_prefix_cost_per_kilobyte, 0ms, 10s);
    reader.read_number("largest-tries", runs.max_tries, 1, 16);
    reader.read("question-interval", runs.resume_interval, 20ms, 60s);
    reader.read("hold-limit", runs.hold_limit, 0ms, 60s);
    reader.read("stall-limit", runs.stall_limit, 100ms, 10min);
    reader.read("heartbeat", links.link.heartbeat, 20ms, 60s);
    reader.read("link-patience", links.link.silence_timeout, 100ms, 10min);
    reader.read_number("links-per-service", links.links_per_service, 1, 10'000);
    reader.read_number("least-entry-count", entry.router.min_entry_count, 1, 100'000);
    reader.finish();
}

void read_platform(Json const& json, Entry::PlatformSettings& platform, Core::Findings& findings)
{
    ObjectReader reader(json, "/platform", findings);
    reader.read("address", platform.address, Presence::Required);
    reader.read("call-timeout", platform.call_timeout, 10ms, 60s);
    reader.read("watch-wait", platform.watch_wait, 100ms, 10min);
    if (reader.member("contact-time") != nullptr)
        reader.read("contact-time", platform.contact_time.emplace(), 100ms, 10min);
    if (reader.member("apply-limit") != nullptr)
        reader.read("apply-limit", platform.apply_limit.emplace(), 100ms, 10min);
    if (reader.member("domain-drain-limit") != nullptr)
        reader.read("domain-drain-limit", platform.drain_limit.emplace(), 100ms, 10min);
    reader.read("longest-pause", platform.max_retry_delay, 100ms, 10min);
    reader.read("writes-per-second", platform.writes_per_second, 1, 1'000'000);
    reader.read("host-interval", platform.host_interval, 50ms, 10min);
    reader.finish();
}

void read_peers(Json const& json, Entry::PeerExchange::Settings& peers, Core::Findings& findings)
{
    ObjectReader reader(json, "/peers", findings);
    reader.read("address", peers.address, Presence::Required);
    if (reader.member("advertised-address") != nullptr)
        reader.read("advertised-address", peers.advertised_address.emplace());
    reader.read("announce-interval", peers.announce_interval, 50ms, 30s);
    reader.read("pull-patience", peers.pull_delay, 0ms, 30s);
    reader.read_addresses("seeds", peers.seeds);
    reader.finish();
}

void read_entry(ObjectReader& reader, DaemonSettings& settings, Core::Findings& findings)
{
    if (auto const* callers = reader.member("callers", Presence::Required))
        read_callers(*callers, settings.entry.callers, findings);
    if (auto const* platform = reader.member("platform", Presence::Required))
        read_platform(*platform, settings.entry.platform, findings);
    if (auto const* peers = reader.member("peers", Presence::Required))
        read_peers(*peers, settings.entry.peers, findings);
    if (auto const* routing = reader.member("routing"))
        read_routing(*routing, settings.entry, findings);
    settings.entry.router.links.link.entry_name = settings.common.name;
    settings.entry.peers.name = settings.common.name;
    settings.entry.peers.group = settings.common.region;
}

void read_gateway_routing(Json const& json, Gateway::GatewayServer::Settings& server, Core::Findings& findings)
{
    ObjectReader reader(json, "/routing", findings);
    reader.read("connect-limit", server.runs.connect_limit, 10ms, 60s);
    reader.read_number("most-connects", server.runs.max_connects, 1, 64);
    reader.read("hold-limit", server.runs.hold_limit, 0ms, 60s);
    reader.read_number("held-limit-bytes", server.runs.held_limit, 1U << 20U, std::uint64_t {1} << 40U);
    reader.read_number("memory-limit-bytes", server.runs.memory_limit, 1U << 20U, std::uint64_t {1} << 40U);
    reader.read("retry-after", server.runs.retry_after, 1ms, 10min);
    reader.read("cost-per-running", server.fleet.cost_per_running, 0ms, 10s);
    reader.read("domain-change-weight", server.fleet.domain_change_weight, 0, 1'000);
    reader.read("reading-weight", server.fleet.reading_weight, 0, 1'000);
    reader.read("first-prefill-rate", server.fleet.engine_prior.prefill_rate, 0.1, 100'000);
    reader.read("first-longest-pause", server.fleet.engine_prior.longest_pause, 1ms, 60s);
    reader.finish();
}

void read_retries(Json const& json, Policy::RetryAllowance& retries, Core::Findings& findings)
{
    ObjectReader reader(json, "/retries", findings);
    reader.read("ratio", retries.ratio, 0, 1);
    reader.read("slack", retries.slack, 0, 1e6);
    reader.read("window", retries.window, 100ms, 10min);
    reader.finish();
}

void read_admission(Json const& json, Policy::AdmissionSettings& admission, Core::Findings& findings)
{
    ObjectReader reader(json, "/admission", findings);
    reader.read("workspace-shares", admission.uses_workspace_shares);
    reader.read("fleet-wide", admission.is_fleet_wide);
    reader.read("return-line", admission.has_return_line);
    reader.finish();
}

void read_duties(Json const& json, DutiesSettings& duties, Core::Findings& findings)
{
    ObjectReader reader(json, "/duties", findings);
    reader.read("address", duties.address, Presence::Required);
    reader.read("usage-window", duties.usage.window, 100ms, 24h);
    reader.read("usage-late", duties.usage.report_deadline, 100ms, 24h);
    reader.read("lease", duties.lease.lease, 100ms, 10min);
    reader.read("lease-margin", duties.lease.lease_margin, 10ms, 10min);
    reader.read("call-timeout", duties.lease.call_timeout, 10ms, 60s);
    reader.read("call-pause", duties.lease.min_call_interval, 1ms, 60s);
    reader.read("patience", duties.lease.holder_timeout, 10ms, 10min);
    reader.finish();
    if (duties.lease.lease_margin >= duties.lease.lease)
        findings.add("/duties/lease-margin", "must be shorter than the lease");
}

void read_gateway(ObjectReader& reader, DaemonSettings& settings, Core::Findings& findings)
{
    auto& gateway = settings.gateway;
    auto& server = gateway.server;
    reader.read("callers-address", server.callers, Presence::Required);
    reader.read("readiness-address", server.readiness, Presence::Required);
    reader.read("readiness-path", server.readiness_path);
    if (reader.member("load-address") != nullptr)
        reader.read("load-address", server.load_address.emplace());
    if (auto const* platform = reader.member("platform", Presence::Required))
        read_platform(*platform, gateway.platform, findings);
    if (auto const* peers = reader.member("peers", Presence::Required))
        read_peers(*peers, gateway.peers, findings);
    if (auto const* routing = reader.member("routing"))
        read_gateway_routing(*routing, server, findings);
    std::uint64_t memory_megabytes = 0;
    reader.read_number("memory-megabytes", memory_megabytes, 0, s_largest_count);
    if (memory_megabytes > 0) {
        server.runs.held_limit = static_cast<std::size_t>(memory_megabytes) * s_held_bytes_of_a_megabyte;
        server.runs.memory_limit = static_cast<std::size_t>(memory_megabytes) * s_memory_limit_of_a_megabyte;
    }
    if (auto const* retries = reader.member("retries"))
        read_retries(*retries, server.runs.retries, findings);
    if (auto const* admission = reader.member("admission"))
        read_admission(*admission, server.runs.admission, findings);
    if (auto const* duties = reader.member("duties"))
        read_duties(*duties, gateway.duties.emplace(), findings);
    gateway.peers.name = settings.common.name;
    gateway.peers.group = settings.common.failure_domain;
    gateway.peers.processor_permille = static_cast<unsigned>(settings.common.processor_share * 1'000);
    if (server.load_address)
        gateway.peers.load_address = server.load_address->to_string();
    server.fleet.failure_domain = settings.common.failure_domain;
    reader.read_texts("regions", server.fleet.regions);
    server.fleet.regions.try_emplace(settings.common.failure_domain, settings.common.region);
    server.fleet.seed = Core::hash_bytes(settings.common.name);
    server.drain_notice = settings.common.drain_notice;
    server.drain_limit = settings.common.drain_limit;
}

void read_backend(Json const& json, Side::SideSettings& side, Core::Findings& findings)
{
    ObjectReader reader(json, "/backend-server", findings);
    reader.read("name", side.backend_server, Presence::Required);
    reader.read("service", side.service, Presence::Required);
    reader.read("address", side.engine.engine, Presence::Required);
    reader.read("connect-timeout", side.engine.connect_timeout, 10ms, 60s);
    reader.read("silence-limit", side.engine.silence_limit, 1s, 1h);
    reader.read_number("slots", side.limits.slots, 1, 10'000);
    reader.read("can-resume", side.can_resume);
    reader.finish();
}

void read_queue(Json const& json, Side::SideSettings& side, Core::Findings& findings)
{
    ObjectReader reader(json, "/queue", findings);
    reader.read_number("limit", side.limits.queue_limit, 1, s_largest_count);
    reader.read_number("headroom-slots", side.limits.headroom_slots, 0, 10'000);
    reader.read_choice<Side::DisciplineName>("discipline", side.discipline,
        {{"tiered", Side::DisciplineName::Tiered}, {"bare-tiers", Side::DisciplineName::BareTiers},
            {"arrival", Side::DisciplineName::Arrival}});
    reader.finish();
    if (side.limits.headroom_slots >= side.limits.slots)
        findings.add("/queue/headroom-slots", "must leave at least one slot to the other tiers");
}

void read_tickets(Json const& json, Side::TicketBook::Limits& tickets, Core::Findings& findings)
{
    ObjectReader reader(json, "/tickets", findings);
    reader.read("hold", tickets.hold, 1s, 24h);
    reader.read_number("largest-count", tickets.largest_count, 1, 10'000'000);
    reader.read_number("largest-answer-bytes", tickets.largest_answer_bytes, 0, 1U << 20U);
    reader.read_number("largest-total-bytes", tickets.largest_total_bytes, 0, 1U << 30U);
    reader.finish();
}

void read_side(ObjectReader& reader, DaemonSettings& settings, Core::Findings& findings)
{
    reader.read("link-address", settings.side.link_address, Presence::Required);
    reader.read("entry-patience", settings.side.entry_patience, 500ms, 10min);
    if (auto const* backend = reader.member("backend-server", Presence::Required))
        read_backend(*backend, settings.side, findings);
    if (auto const* queue = reader.member("queue"))
        read_queue(*queue, settings.side, findings);
    if (auto const* tickets = reader.member("tickets"))
        read_tickets(*tickets, settings.side.tickets, findings);
}

}

DaemonSettings parse_settings(std::string_view text)
{
    Core::Findings findings;
    Json json;
    try {
        json = Core::parse_json(text);
    } catch (Core::JsonError const& error) {
        findings.add("byte " + std::to_string(error.byte()), Core::concat("the file is not JSON: ", error.what()));
        throw Core::InvalidInput(findings);
    }
    DaemonSettings settings;
    ObjectReader reader(json, "", findings);
    reader.read_choice<Role>("role", settings.role,
        {{"entry", Role::Entry}, {"side", Role::Side}, {"gateway", Role::Gateway}}, Presence::Required);
    read_common(reader, settings.common);
    switch (settings.role) {
    case Role::Entry:
        read_entry(reader, settings, findings);
        break;
    case Role::Side:
        read_side(reader, settings, findings);
        break;
    case Role::Gateway:
        read_gateway(reader, settings, findings);
        break;
    }
    reader.finish();
    if (!findings.is_empty())
        throw Core::InvalidInput(findings);
    return settings;
}

}
