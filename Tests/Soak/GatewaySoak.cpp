#include "GatewaySoak.h"

#include "OddObjects.h"

#include <LibCore/Text.h>

#include <array>
#include <csignal>
#include <set>

#include <absl/strings/str_replace.h>

namespace GraniteField::Testing {

namespace {

struct Kind {
    char const* path;
    bool is_stream;
    bool is_repeatable;
};

constexpr std::array s_kinds {Kind {"/safe/", false, true}, Kind {"/pay/", false, false},
    Kind {"/cut-stream/", true, false}, Kind {"/long-stream/", true, true}};

/// Requests that a caller sends on one connection at most.
constexpr unsigned s_requests_per_connection = 20;
constexpr Core::Milliseconds s_pause_after_failure {20};
constexpr Core::Milliseconds s_recovery_limit {8'000};
constexpr Core::Milliseconds s_leaving_limit {2'000};
constexpr Core::Milliseconds s_drain_limit {5'000};
constexpr char const* s_drains_kind = "evacuations";
constexpr Core::Milliseconds s_shortest_signal {5'000};
constexpr Core::Milliseconds s_limit_pause {2'500};
constexpr Core::Milliseconds s_leaving_pause {4'000};
constexpr Core::Milliseconds s_backoff_pause {3'000};
constexpr Core::Milliseconds s_release_pause {700};
constexpr std::array s_versions {"v1", "v2"};
/// Tries of a caller to resume one stream.
constexpr unsigned s_resumptions = 3;
constexpr Core::Milliseconds s_joint_kill_pause {3'000};
constexpr Core::Milliseconds s_odd_pause {100};
constexpr std::array s_odd_kinds {
    "servers", "servers", "config", "evacuations", "granitefield-quarantine", "granitefield-streams"};

/// Returns the id of the last whole event, or 0.
unsigned last_event(std::string const& body)
{
    auto const end = body.rfind("\n\n");
    auto const start = end == std::string::npos ? end : body.rfind("id: ", end);
    return start == std::string::npos ? 0 : static_cast<unsigned>(std::stoul(body.substr(start + 4)));
}

/// Returns the software versions that the events name in their comments.
std::set<std::string> versions_in(std::string const& body)
{
    std::set<std::string> versions;
    for (auto const* version : s_versions) {
        if (body.find(Core::concat(": ", version, "\n")) != std::string::npos)
            versions.insert(version);
    }
    return versions;
}

std::string without_versions(std::string body)
{
    for (auto const* version : s_versions)
        absl::StrReplaceAll({{Core::concat(": ", version, "\n"), ""}}, &body);
    return body;
}

bool promises_not_run(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

Kind const& kind_of(std::string const& path)
{
    return *std::ranges::find_if(s_kinds, [&](auto const& kind) { return path == kind.path; });
}

}

GatewaySoak::GatewaySoak(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_limit_random(options.seed + 1)
    , m_leaving_random(options.seed + 2)
    , m_backoff_random(options.seed + 3)
    , m_release_random(options.seed + 4)
    , m_joint_random(options.seed + 5)
    , m_odd_random(options.seed + 6)
    , m_ports(options.gateways)
{
    change_configuration();
    if (has_drains())
        m_fleet.set_domain_drains(s_drain_limit);
    for (unsigned number = 0; number < options.backends; ++number) {
        m_backends.push_back(std::make_unique<SoakBackend>("i-" + std::to_string(number), m_runs, m_judges));
        if (options.releases == Releases::Yes)
            m_backends.back()->replace(s_versions.at(number % s_versions.size()));
        enter(number);
    }
    m_slots.resize(options.gateways);
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        auto const store = *Core::Address::from_string(Core::concat("127.0.0.1:", m_fleet.platform_port()));
        m_slots[index].store = std::make_unique<FaultProxy>(store);
        start_gateway(index);
    }
}

GatewaySoak::~GatewaySoak() = default;

void GatewaySoak::enter(std::size_t index, std::string const& state)
{
    auto const entry = m_backends[index]->entry();
    auto const* const domain = has_drains() && index % 2 == 1 ? s_drained : s_other;
    m_fleet.put("servers", entry.instance,
        {{"service", entry.service}, {"addr", entry.address.to_string()}, {"zone", domain}, {"slots", 8},
            {"state", state}, {"version", entry.software_version}});
}

void GatewaySoak::drain()
{
    m_fleet.put(s_drains_kind, s_drained, Json::object());
}

void GatewaySoak::take_back()
{
    m_fleet.remove(s_drains_kind, s_drained);
}

void GatewaySoak::start_gateway(std::size_t index)
{
    Json seeds = Json::array();
    for (std::size_t other = 0; other < m_slots.size(); ++other) {
        if (other != index && m_slots[other].gateway.process)
            seeds.push_back(Core::concat("127.0.0.1:", m_slots[other].gateway.peers));
    }
    auto& slot = m_slots[index];
    slot.gateway = m_fleet.start("g-" + std::to_string(index), seeds, slot.store->port());
    slot.is_frozen = false;
    m_judges.note_restart(gateway_name(index), Core::monotonic_now());
    std::lock_guard const lock(m_mutex);
    m_ports[index] = slot.gateway.callers;
}

std::uint16_t GatewaySoak::port_of(std::size_t index)
{
    std::lock_guard const lock(m_mutex);
    return m_ports[index];
}

void GatewaySoak::change_configuration()
{
    Json routes = Json::array();
    for (auto const& kind : s_kinds) {
        auto const* name = kind.is_stream ? "stream" : kind.is_repeatable ? "safe" : "unsafe";
        auto route = GatewayFleet::route(Core::concat("r", routes.size()), kind.path, name);
        route["resumable"] = kind.is_stream && kind.is_repeatable;
        routes.push_back(std::move(route));
    }
    ++m_version;
    routes.push_back(GatewayFleet::route("r-new", Core::concat("/v", m_version, "/"), "safe"));
    m_fleet.put("config", "main", GatewayFleet::configuration(m_version, routes));
}

std::string GatewaySoak::prompt_fields(unsigned number) const
{
    if (m_options.prompts == Prompts::No)
        return {};
    // Some read for longer than the target of the route.
    constexpr unsigned large_tokens = 60'000;
    constexpr unsigned small_tokens = 3'000;
    auto const tokens = number % 4 == 0 ? large_tokens : small_tokens;
    return Core::concat("X-Token-Count: ", tokens, ",64\r\nX-Prompt-Prefix: a1:1000,b", number, ":", tokens, "\r\n");
}

void GatewaySoak::call_until_stopped(unsigned caller)
{
    std::mt19937 random(m_options.seed * 1'000 + caller);
    for (unsigned number = 0; !m_should_stop;) {
        try {
            auto const index = random() % m_options.gateways;
            RawCaller connection(port_of(index));
            // Connections are used on until the process is gone or closes them.
            for (unsigned used = 0; used < s_requests_per_connection && !m_should_stop; ++used) {
                auto const& kind = s_kinds.at(random() % s_kinds.size());
                Record record {Core::concat(gateway_name(index), "-c", caller, "n", number++), kind.path, {}};
                m_judges.leaving.note_sent(record.id, Core::monotonic_now());
                connection.write(Core::concat("POST ", kind.path,
                    " HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: ", record.id, "\r\nX-Deadline-Ms: 2000\r\n",
                    kind.is_stream ? prompt_fields(number) : "", "Content-Length: 4\r\n\r\nbody"));
                record.answer = connection.read_answer();
                note_passed_on(m_judges, record.answer.head, gateway_name(index));
                if (m_options.releases == Releases::Yes && kind.is_stream && kind.is_repeatable)
                    resume(record, random);
                bool const is_kept = record.answer.is_whole && field_of(record.answer.head, "Connection") != "close";
                {
                    std::lock_guard const lock(m_mutex);
                    m_records.push_back(std::move(record));
                }
                if (!is_kept)
                    break;
            }
        } catch (std::runtime_error const&) {
            // NOTE: Nobody listens there now; the caller tries another gateway.
            std::this_thread::sleep_for(s_pause_after_failure);
        }
    }
}

void GatewaySoak::resume(Record& record, std::mt19937& random)
{
    auto last = record.answer.status == 200 && !record.answer.is_whole ? last_event(record.answer.body) : 0;
    for (unsigned number = 0; number < s_resumptions && last > 0 && last < s_soak_events; ++number) {
        try {
            auto const id = Core::concat(record.id, "-again", number);
            RawCaller connection(port_of(random() % m_options.gateways));
            connection.write(Core::concat("POST ", record.path, " HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: ", id,
                "\r\nX-Deadline-Ms: 2000\r\nResumes: ", record.id, "\r\nLast-Event-Id: ", last,
                "\r\nContent-Length: 4\r\n\r\nbody"));
            auto const answer = connection.read_answer();
            record.resumptions.emplace_back(id, answer.status == 200 ? answer.body : std::string());
            last = std::max(last, last_event(record.resumptions.back().second));
        } catch (std::runtime_error const&) {
            std::this_thread::sleep_for(s_pause_after_failure);
        }
    }
}

void GatewaySoak::begin(std::string const& name, std::function<void()> heal)
{
    auto const length = Core::Milliseconds(100 + m_random() % 1'200);
    m_faults.begin(name, Core::monotonic_now() + length, std::move(heal));
}

void GatewaySoak::fault_gateway(Slot& slot, std::size_t index)
{
    if (slot.is_frozen)
        return;
    switch (m_random() % 4) {
    case 0:
        slot.gateway.process->freeze();
        slot.is_frozen = true;
        return begin("freeze", [this, &slot, index, frozen = Core::monotonic_now()] {
            slot.gateway.process->thaw();
            slot.is_frozen = false;
            m_judges.note_freeze(gateway_name(index), frozen, Core::monotonic_now());
        });
    case 1:
        slot.gateway.process->kill();
        start_gateway(index);
        return begin("kill", [] {});
    case 2: {
        slot.gateway.process->terminate();
        auto const exit_code = slot.gateway.process->wait(Core::Milliseconds(15'000));
        if (exit_code != 0)
            note_problem(Core::concat("a planned stop ended with ", exit_code));
        start_gateway(index);
        return begin("stop", [] {});
    }
    default:
        slot.gateway.process->hang_up();
        return begin("hangup", [] {});
    }
}

void GatewaySoak::fault_store()
{
    static constexpr std::array s_outages {"busy", "many", "reset", "silent"};
    switch (m_random() % 4) {
    case 0:
        m_fleet.control({{"outage", s_outages.at(m_random() % s_outages.size())}});
        return begin("store outage", [this] { m_fleet.control({{"outage", ""}}); });
    case 1:
        m_fleet.control({{"hold-watches", true}});
        return begin("watches held", [this] { m_fleet.control({{"hold-watches", false}, {"forget-history", true}}); });
    case 2: {
        auto& proxy = *m_slots[m_random() % m_slots.size()].store;
        proxy.set_mode(m_random() % 2 == 0 ? FaultProxy::Mode::Freeze : FaultProxy::Mode::FreezeAnswers);
        return begin("cut off from the store", [&proxy] {
            proxy.set_mode(FaultProxy::Mode::Pass);
            proxy.reset_connections();
        });
    }
    default:
        m_fleet.control({{"slow-ms", 100}});
        return begin("store slow", [this] { m_fleet.control({{"slow-ms", 0}}); });
    }
}

void GatewaySoak::begin_rate_limit()
{
    // Long enough that it is judged, and that the next one overlaps with it.
    auto const end = Core::monotonic_now() + s_shortest_signal + Core::Milliseconds(m_limit_random() % 5'000);
    auto const signals = m_backends[m_limit_random() % m_backends.size()]->signals();
    signals->state_limit(s_drawn_rates.at(m_limit_random() % s_drawn_rates.size()));
    m_faults.begin("rate limit", end, [signals] { signals->state_limit(std::nullopt); });
}

void GatewaySoak::begin_leaving()
{
    auto const index = m_leaving_random() % m_backends.size();
    auto const leaving = m_backends[index]->entry().instance;
    m_backends[index]->signals()->state_leaving();
    auto const end = Core::monotonic_now() + s_shortest_signal + Core::Milliseconds(m_leaving_random() % 4'000);
    m_faults.begin("server states that it leaves", end, [this, index, leaving] {
        // Another statement for the same run may have ended it.
        if (m_backends[index]->entry().instance != leaving)
            return;
        m_fleet.remove_server(leaving);
        m_backends[index]->replace();
        enter(index);
    });
}

void GatewaySoak::begin_release()
{
    auto const index = m_release_random() % m_backends.size();
    auto& backend = *m_backends[index];
    auto const old = backend.entry().instance;
    backend.replace(s_versions.at(m_release_random() % s_versions.size()));
    // The store says so before or after the servers themselves.
    enter(index);
    m_fleet.remove_server(old);
    if (m_release_random() % 2 == 0)
        backend.proxy().reset_connections();
    begin("release", [] {});
}

void GatewaySoak::kill_all_gateways()
{
    constexpr unsigned longest_life_ms = 1'000;
    auto const kills = 1 + m_joint_random() % 2;
    for (unsigned number = 0; number < kills; ++number) {
        for (auto& slot : m_slots)
            slot.gateway.process->kill();
        for (std::size_t index = 0; index < m_slots.size(); ++index)
            start_gateway(index);
        if (number + 1 < kills)
            std::this_thread::sleep_for(Core::Milliseconds(m_joint_random() % longest_life_ms));
    }
    begin("joint kill", [] {});
}

void GatewaySoak::begin_odd_bytes()
{
    static auto const s_objects = odd_entries();
    if (m_odd_random() % 4 == 0) {
        auto& backend = *m_backends[m_odd_random() % m_backends.size()];
        backend.set_mood(SoakBackend::Mood::CutsHeads);
        auto const end = Core::monotonic_now() + Core::Milliseconds(m_odd_random() % 800);
        return m_faults.begin("heads cut", end, [&backend] { backend.set_mood(SoakBackend::Mood::Well); });
    }
    auto const& object = s_objects.at(m_odd_random() % s_objects.size());
    std::string const kind = s_odd_kinds.at(m_odd_random() % s_odd_kinds.size());
    m_fleet.put_text(kind, object.name, object.spec);
    ++m_report.odd_objects;
    auto const end = Core::monotonic_now() + Core::Milliseconds(m_odd_random() % 2'000);
    m_faults.begin("odd object", end, [this, kind, &object] { m_fleet.remove(kind, object.name); });
}

void GatewaySoak::check_processes()
{
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        auto& process = *m_slots[index].gateway.process;
        if (process.is_running())
            continue;
        note_problem(Core::concat("gateway ", index, " ended by itself with ", process.wait()));
        start_gateway(index);
    }
}

void GatewaySoak::begin_backoff()
{
    // Now and then of all servers at once.
    bool const reject_all = m_backoff_random() % 4 == 0;
    auto const chosen = m_backoff_random() % m_backends.size();
    auto const backoff = s_drawn_backoffs.at(m_backoff_random() % s_drawn_backoffs.size());
    auto const end = Core::monotonic_now() + Core::Milliseconds(500 + m_backoff_random() % 3'000);
    for (std::size_t index = 0; index < m_backends.size(); ++index) {
        if (!reject_all && index != chosen)
            continue;
        auto const signals = m_backends[index]->signals();
        signals->reject_for(backoff);
        m_faults.begin("backoff", end, [signals] { signals->reject_for(std::nullopt); });
    }
}

void GatewaySoak::fault_backend(SoakBackend& backend)
{
    using Mood = SoakBackend::Mood;
    static constexpr std::array s_moods {Mood::LosesAnswers, Mood::Mute, Mood::Full, Mood::Garbles};
    switch (m_random() % 4) {
    case 0:
        backend.proxy().reset_connections();
        return begin("connections reset", [] {});
    case 1:
        backend.proxy().set_mode(m_random() % 2 == 0 ? FaultProxy::Mode::Freeze : FaultProxy::Mode::FreezeAnswers);
        return begin("backend server cut off", [this, &backend, cut = Core::monotonic_now()] {
            backend.proxy().set_mode(FaultProxy::Mode::Pass);
            backend.proxy().reset_connections();
            m_judges.backoffs.note_answers_lost(backend.entry().instance, cut, Core::monotonic_now());
        });
    case 2:
        backend.proxy().set_delay(Core::Milliseconds(m_random() % 40));
        return begin("link slow", [&backend] { backend.proxy().set_delay(Core::Milliseconds(0)); });
    default:
        backend.set_mood(s_moods.at(m_random() % s_moods.size()));
        return begin("backend server unwell", [&backend] { backend.set_mood(Mood::Well); });
    }
}

void GatewaySoak::begin_fault()
{
    constexpr unsigned kinds = 8;
    switch (m_random() % (has_drains() ? kinds + 1 : kinds)) {
    case kinds:
        drain();
        return begin("domain drained", [this] { take_back(); });
    case 0:
    case 1: {
        auto const index = m_random() % m_slots.size();
        return fault_gateway(m_slots[index], index);
    }
    case 2:
    case 3:
        return fault_store();
    case 4:
        change_configuration();
        return begin("configuration", [] {});
    case 5: {
        auto const index = m_random() % m_backends.size();
        enter(index, "draining");
        return begin("backend server leaves", [this, index] { enter(index); });
    }
    default:
        return fault_backend(*m_backends[m_random() % m_backends.size()]);
    }
}

void GatewaySoak::check_recovery()
{
    change_configuration();
    auto const path = Core::concat("/v", m_version, "/");
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        unsigned tries = 0;
        bool const is_served = wait_until(
            [&] {
                RawCaller caller(port_of(index));
                caller.write(Core::concat("GET ", path, " HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: after-", index,
                    "-", tries++, "\r\n\r\n"));
                return caller.read_answer().status == 200;
            },
            s_recovery_limit);
        if (!is_served)
            note_problem(Core::concat("gateway ", index, " does not serve the newest configuration after the faults"));
    }
}

void GatewaySoak::check_leaving()
{
    auto& leaving = *m_backends.front();
    enter(0, "draining");
    auto const begun = Core::monotonic_now();
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        bool const is_known = wait_until(
            [&] {
                auto const status = send_request(m_slots[index].gateway.operators, "GET", "/status", "").json();
                for (auto const& server : status["backend-servers"]) {
                    if (server["backend-server"] == leaving.entry().instance)
                        return !server["serving"].get<bool>();
                }
                // Its entry is still to come, and may come as a serving one first.
                return false;
            },
            s_leaving_limit);
        if (!is_known)
            note_problem(Core::concat("gateway ", index, " does not know of a leaving server after ",
                Core::elapsed(begun, Core::monotonic_now()).count(), " ms"));
    }
    auto const before = leaving.requests().size();
    for (unsigned number = 0; number < 20; ++number) {
        RawCaller caller(port_of(number % m_slots.size()));
        caller.write(
            Core::concat("GET /safe/ HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: leaving-", number, "\r\n\r\n"));
        static_cast<void>(caller.read_answer());
    }
    auto const requests = leaving.requests();
    for (auto index = before; index < requests.size(); ++index)
        note_problem(Core::concat("a server that leaves got a new request, ",
            field_of(requests[index], "X-Request-Id").value_or("without an id"), ", after all gateways knew it"));
}

void GatewaySoak::check_draining()
{
    drain();
    auto const begun = Core::monotonic_now();
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        bool const is_known = wait_until(
            [&] {
                auto const status = send_request(m_slots[index].gateway.operators, "GET", "/status", "").json();
                return status["drained-domains"] == Json::array({s_drained});
            },
            s_drain_limit);
        if (!is_known)
            note_problem(Core::concat("gateway ", index, " does not know of a drained domain after ",
                Core::elapsed(begun, Core::monotonic_now()).count(), " ms"));
    }
    auto const arrivals = [this] {
        std::size_t sum = 0;
        for (std::size_t index = 1; index < m_backends.size(); index += 2)
            sum += m_backends[index]->requests().size();
        return sum;
    };
    auto const before = arrivals();
    for (unsigned number = 0; number < 20; ++number) {
        RawCaller caller(port_of(number % m_slots.size()));
        caller.write(
            Core::concat("GET /safe/ HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: drained-", number, "\r\n\r\n"));
        static_cast<void>(caller.read_answer());
    }
    if (arrivals() != before)
        note_problem("a drained domain got new requests");
    take_back();
}

void GatewaySoak::note_problem(std::string problem)
{
    m_report.problems.push_back(std::move(problem));
}

void GatewaySoak::check(Record const& record)
{
    auto const& kind = kind_of(record.path);
    auto const& answer = record.answer;
    auto const runs = m_runs.count(record.id);
    auto const name = Core::concat(record.path, " ", record.id);
    ++m_report
          .answers[Core::concat(kind.path, " ", answer.status, answer.is_whole || answer.status == 0 ? "" : " cut")];
    if (!kind.is_repeatable && runs > 1)
        note_problem(Core::concat(name, " ran ", runs, " times"));
    if (!kind.is_repeatable && answer.is_whole && promises_not_run(answer.status) && runs > 0)
        note_problem(Core::concat(name, " was refused with ", answer.status, " and ran"));
    if (answer.status == 404 || answer.status == 401)
        note_problem(Core::concat(name, " was refused with ", answer.status, " though its route was always there"));
    if (answer.status != 200)
        return;
    auto const expected = kind.is_stream ? soak_events(record.id) : soak_body(record.id);
    if (m_options.releases == Releases::Yes && kind.is_stream)
        return check_versions(record);
    if (answer.is_whole && answer.body != expected)
        note_problem(Core::concat(name, " got '", answer.body, "' as whole"));
    if (!answer.is_whole && !expected.starts_with(answer.body))
        note_problem(Core::concat(name, " got '", answer.body, "' before its answer was cut"));
}

void GatewaySoak::check_versions(Record const& record)
{
    auto const& answer = record.answer;
    auto const events = without_versions(answer.body);
    auto const expected = soak_events(record.id);
    if (answer.is_whole ? events != expected : !expected.starts_with(events))
        note_problem(Core::concat(record.path, " ", record.id, " got '", answer.body, "'"));
    auto all = answer.body;
    auto last = last_event(answer.body);
    for (auto const& [id, body] : record.resumptions) {
        auto const rest = soak_events(id).substr(soak_events(id).find(Core::concat("id: ", last + 1, "\n")));
        if (!rest.starts_with(without_versions(body)))
            note_problem(Core::concat(record.path, " ", id, " got '", body, "' behind event ", last));
        last = std::max(last, last_event(body));
        all += body;
    }
    m_report.resumed += record.resumptions.empty() ? 0 : 1;
    m_report.went_on += last > last_event(answer.body) ? 1 : 0;
    if (versions_in(all).size() > 1)
        note_problem(Core::concat(record.path, " ", record.id, " holds events of two software versions: '", all, "'"));
}

GatewaySoak::Report GatewaySoak::run()
{
    std::vector<std::thread> callers;
    for (unsigned caller = 0; caller < m_options.callers; ++caller)
        callers.emplace_back([this, caller] { call_until_stopped(caller); });
    auto const end = Core::monotonic_now() + m_options.length;
    auto next_limit = Core::monotonic_now();
    auto next_leaving = next_limit + s_leaving_pause;
    auto next_backoff = next_limit + s_backoff_pause;
    auto next_release = next_limit + s_release_pause;
    auto next_joint_kill = next_limit + s_joint_kill_pause;
    auto next_odd = next_limit;
    while (Core::monotonic_now() < end) {
        m_faults.heal_due(Core::monotonic_now());
        if (m_options.signals == Signals::Yes && Core::monotonic_now() >= next_limit) {
            begin_rate_limit();
            next_limit = Core::monotonic_now() + s_limit_pause;
        }
        if (m_options.signals == Signals::Yes && Core::monotonic_now() >= next_leaving) {
            begin_leaving();
            next_leaving = Core::monotonic_now() + s_leaving_pause;
        }
        if (m_options.signals == Signals::Yes && Core::monotonic_now() >= next_backoff) {
            begin_backoff();
            next_backoff = Core::monotonic_now() + s_backoff_pause;
        }
        if (m_options.releases == Releases::Yes && Core::monotonic_now() >= next_release) {
            begin_release();
            next_release = Core::monotonic_now() + s_release_pause;
        }
        if (m_options.joint_kills == JointKills::Yes && Core::monotonic_now() >= next_joint_kill) {
            kill_all_gateways();
            next_joint_kill = Core::monotonic_now() + s_joint_kill_pause;
        }
        if (m_options.odd_bytes == OddBytes::Yes && Core::monotonic_now() >= next_odd) {
            begin_odd_bytes();
            next_odd = Core::monotonic_now() + s_odd_pause;
        }
        check_processes();
        begin_fault();
        std::this_thread::sleep_for(Core::Milliseconds(m_random() % 250));
    }
    m_faults.heal_all();
    check_processes();
    m_report.faults = m_faults.counts();
    check_recovery();
    m_should_stop = true;
    for (auto& thread : callers)
        thread.join();
    if (has_drains())
        check_draining();
    check_leaving();
    check_processes();
    for (auto const& record : m_records)
        check(record);
    for (auto& finding : m_judges.findings())
        note_problem(std::move(finding));
    m_report.limited_arrivals = m_judges.limits.counted();
    m_report.left_alone = m_judges.leaving.left_alone();
    m_report.backoffs = m_judges.backoffs.counted();
    return m_report;
}

}
