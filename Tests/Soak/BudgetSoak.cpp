#include "BudgetSoak.h"

#include "DeployedSettings.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <array>

namespace GraniteField::Testing {

namespace {

/// The users' bounds for both deployments.
constexpr Core::Milliseconds s_contact_time {3'000};
constexpr double s_ratio = 0.2;
constexpr Core::Milliseconds s_window {10'000};
constexpr std::size_t s_crashes_of_request = 3;
constexpr std::size_t s_crashes_of_part = 5;

constexpr std::array s_domains {"domain-a", "domain-b", "domain-c"};
constexpr std::size_t s_seeds = 3;
constexpr Core::Milliseconds s_pause_after_failure {50};
constexpr Core::Milliseconds s_turn {4};
/// Three reports of a server that is silent.
constexpr Core::Milliseconds s_entry_lapse {3'600};
constexpr unsigned s_requests_per_connection = 15;
constexpr unsigned s_max_caller_tries = 2;
constexpr unsigned s_seeds_per_caller = 1'000'000;

struct Kind {
    char const* name;
    char const* path;
    char const* kind;
    char const* service;
    unsigned attempts;
    bool resumable;
    Core::Milliseconds timeout;
    Core::Milliseconds target;
    /// Share of the requests, in percent.
    unsigned share;
};

/// Indices of the kinds of which deadly requests are.
constexpr std::size_t s_deadly_stream_kind = 2;
constexpr std::size_t s_deadly_plain_kind = 4;
/// As both deployments have them; the limits in time are those of the sheets.
constexpr std::array s_kinds {Kind {"case", "/case-stream/", "stream", BudgetSoak::s_engine_service, 2, true,
                                  Core::Milliseconds(12'000), Core::Milliseconds(2'500), 24},
    Kind {"draft", "/draft-stream/", "stream", BudgetSoak::s_engine_service, 1, false, Core::Milliseconds(6'000),
        Core::Milliseconds(1'500), 16},
    Kind {"question", "/question-stream/", "stream", BudgetSoak::s_engine_service, 2, true, Core::Milliseconds(12'000),
        Core::Milliseconds(1'500), 26},
    Kind {"confirm", "/confirm/", "unsafe", BudgetSoak::s_plain_service, 1, false, Core::Milliseconds(1'000),
        Core::Milliseconds(150), 16},
    Kind {"check", "/check/", "safe", BudgetSoak::s_plain_service, 2, false, Core::Milliseconds(1'000),
        Core::Milliseconds(150), 18}};

Kind const& draw_kind(std::mt19937& random)
{
    constexpr unsigned percent = 100;
    auto drawn = random() % percent;
    for (auto const& kind : s_kinds) {
        if (drawn < kind.share)
            return kind;
        drawn -= kind.share;
    }
    return s_kinds.back();
}

bool may_try_again(Kind const& kind, RawCaller::Answer const& answer)
{
    bool const is_promised = answer.status == 503 || answer.status == 429;
    return is_promised || (std::string_view(kind.kind) == "safe" && answer.status != 200);
}

}

BudgetSoak::BudgetSoak(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_crash_random(options.seed)
    , m_judges {RepeatedSendJudge({s_ratio, options.shape.slack, s_window}),
          CrashSendJudge(s_crashes_of_request, s_contact_time), CrashSendJudge(s_crashes_of_part, s_contact_time),
          SignalJudges(s_contact_time), {}}
    , m_contact({s_contact_time, s_contact_time}, options.shape.gateways)
{
    m_judges.is_in_touch = [this](std::string const& gateway) {
        auto const now = Core::monotonic_now();
        return m_contact.stretch(std::stoul(gateway.substr(1)), now, now).has_value();
    };
    put_configuration();
    auto const add = [this](char const* service, unsigned count) {
        for (unsigned number = 0; number < count; ++number) {
            m_servers.push_back(std::make_unique<BudgetBackend>(Core::concat(service, "-", number), service, m_judges));
            enter(*m_servers.back());
        }
    };
    add(s_engine_service, options.shape.engines);
    add(s_plain_service, options.shape.plain_servers);
    for (std::size_t index = 0; index < options.shape.gateways; ++index) {
        auto& slot = m_slots.emplace_back();
        slot.store = std::make_unique<FaultProxy>(local_address(m_fleet.platform_port()));
        slot.peers = std::make_unique<FaultProxy>(local_address(m_fleet.platform_port()));
        slot.peers->set_mode(FaultProxy::Mode::Refuse);
    }
    for (std::size_t index = 0; index < m_slots.size(); ++index)
        make_settings(index);
    for (std::size_t index = 0; index < m_slots.size(); ++index)
        start_gateway(index);
}

BudgetSoak::~BudgetSoak() = default;

void BudgetSoak::put_configuration()
{
    Json routes = Json::array();
    for (auto const& kind : s_kinds) {
        auto route = GatewayFleet::route(kind.name, kind.path, kind.kind);
        route["service"] = kind.service;
        route["attempts"] = kind.attempts;
        route["resumable"] = kind.resumable;
        route["timeout_ms"] = kind.timeout.count();
        route["latency_slo_ms"] = kind.target.count();
        routes.push_back(std::move(route));
    }
    auto configuration = GatewayFleet::configuration(1, routes);
    configuration["services"] = Json::array(
        {{{"name", s_engine_service}, {"max_conns", 360}}, {{"name", s_plain_service}, {"max_conns", 100}}});
    m_fleet.put("config", "main", configuration);
}

void BudgetSoak::enter(BudgetBackend const& server)
{
    m_fleet.put_server(server.entry());
}

void BudgetSoak::make_settings(std::size_t index)
{
    auto& slot = m_slots[index];
    Json seeds = Json::array();
    for (std::size_t seed = 0; seed < std::min(s_seeds, m_slots.size()); ++seed)
        seeds.push_back(local_text(m_slots[seed].peers->port()));
    Json bounds {{"contact_ms", s_contact_time.count()}, {"apply_ms", 2'000}, {"drain_ms", 2'000}, {"grace_s", 8},
        {"budget_ratio", s_ratio}, {"budget_slack", m_options.shape.slack},
        {"budget_window_s", s_window.count() / 1'000}, {"max_stretch_ms", 5'000}};
    slot.settings = deployed_settings({Core::concat("g-", index), s_domains.at(index % s_domains.size()),
        draw_load_port(), slot.store->port(), seeds, std::move(bounds), m_options.processor_share});
    // Other gateways reach it through its proxy only.
    slot.settings["peers"]["advertised-address"] = local_text(slot.peers->port());
}

std::uint16_t BudgetSoak::draw_load_port()
{
    auto port = free_udp_port();
    while (!m_load_ports.insert(port).second)
        port = free_udp_port();
    return port;
}

void BudgetSoak::start_gateway(std::size_t index)
{
    auto& slot = m_slots[index];
    slot.gateway = m_fleet.start_with(slot.settings);
    slot.peers->set_target(local_address(slot.gateway.peers));
    slot.peers->set_mode(FaultProxy::Mode::Pass);
    slot.callers = slot.gateway.callers;
    auto const now = Core::monotonic_now();
    m_judges.signals.note_restart(gateway_name(index), now);
    m_shares.set(slot.gateway.process->id(), m_options.processor_share);
    m_contact.end_gateway(index, m_contact.begin_gateway(index, "start", now), now);
}

Core::Milliseconds BudgetSoak::draw_time(unsigned least_ms, unsigned most_ms)
{
    return Core::Milliseconds(least_ms + m_random() % (most_ms - least_ms + 1));
}

Core::Milliseconds BudgetSoak::draw_restart_delay()
{
    // Half of the servers have a supervisor that starts them again at once.
    bool const is_immediate = m_options.has_immediate_restarts || m_random() % 2 == 0;
    return is_immediate ? Core::Milliseconds(0) : draw_time(20, 2'500);
}

BudgetBackend& BudgetSoak::draw_server()
{
    return *m_servers[m_random() % m_servers.size()];
}

std::vector<BudgetBackend*> BudgetSoak::servers_of(std::string const& service)
{
    std::vector<BudgetBackend*> servers;
    for (auto const& server : m_servers) {
        if (server->service() == service)
            servers.push_back(server.get());
    }
    return servers;
}

void BudgetSoak::disturb(
    std::size_t index, std::string const& what, Core::Milliseconds length, std::function<void()> heal)
{
    auto& slot = m_slots[index];
    slot.is_busy = true;
    auto const begin = Core::monotonic_now();
    auto const number = m_contact.begin_gateway(index, what, begin);
    m_faults.begin(what, begin + length, [this, index, number, begin, heal = std::move(heal)] {
        heal();
        auto const end = Core::monotonic_now();
        m_contact.end_gateway(index, number, end);
        m_judges.signals.note_freeze(gateway_name(index), begin, end);
        m_slots[index].is_busy = false;
    });
}

void BudgetSoak::fault_gateway(std::size_t index)
{
    auto& slot = m_slots[index];
    if (slot.is_busy)
        return;
    auto& process = *slot.gateway.process;
    switch (m_random() % 6) {
    case 0:
        m_shares.forget(process.id());
        process.freeze();
        return disturb(index, "freeze", draw_time(200, 4'000), [this, &slot] {
            slot.gateway.process->thaw();
            m_shares.set(slot.gateway.process->id(), m_options.processor_share);
        });
    case 1:
    case 2:
        return kill_gateway(index, draw_time(100, 2'500));
    case 3:
        process.terminate();
        return disturb(index, "stop", draw_time(3'000, 8'000), [this, index, &slot] {
            m_shares.forget(slot.gateway.process->id());
            slot.gateway.process->kill();
            start_gateway(index);
        });
    case 4:
        process.hang_up();
        return;
    default:
        return cut_gateway(index);
    }
}

void BudgetSoak::kill_gateway(std::size_t index, Core::Milliseconds down)
{
    auto& process = *m_slots[index].gateway.process;
    m_shares.forget(process.id());
    process.kill();
    disturb(index, "kill", down, [this, index] { start_gateway(index); });
}

void BudgetSoak::kill_gateways_in_turn(Core::Milliseconds pause, Core::Milliseconds length)
{
    auto const end = Core::monotonic_now() + length;
    for (std::size_t index = 0; Core::monotonic_now() < end; index = (index + 1) % m_slots.size()) {
        if (!m_slots[index].is_busy)
            kill_gateway(index, s_turn);
        pass(pause);
    }
}

void BudgetSoak::cut_gateway(std::size_t index)
{
    auto& slot = m_slots[index];
    bool const is_from_store = m_random() % 2 == 0;
    auto& proxy = is_from_store ? *slot.store : *slot.peers;
    proxy.set_mode(m_random() % 2 == 0 ? FaultProxy::Mode::Freeze : FaultProxy::Mode::FreezeAnswers);
    disturb(index, is_from_store ? "cut from store" : "cut from peers", draw_time(500, 6'000), [&proxy] {
        proxy.set_mode(FaultProxy::Mode::Pass);
        proxy.reset_connections();
    });
}

void BudgetSoak::crash_server(BudgetBackend& server)
{
    // Healed by draw_until_over(), as are crashes that requests cause.
    server.crash();
}

void BudgetSoak::fault_service()
{
    auto const* const service = m_random() % 2 == 0 ? s_engine_service : s_plain_service;
    auto const servers = servers_of(service);
    auto const end = Core::monotonic_now() + draw_time(500, 5'000);
    auto const count = 1 + m_random() % servers.size();
    if (m_random() % 2 == 0) {
        for (std::size_t number = 0; number < count; ++number)
            servers[number]->stall_until(end);
        return m_faults.begin("servers stall", end, [] {});
    }
    using Mood = BudgetBackend::Mood;
    constexpr std::array moods {Mood::LosesAnswers, Mood::Mute, Mood::Full, Mood::Fails};
    auto const mood = moods.at(m_random() % moods.size());
    for (std::size_t number = 0; number < count; ++number)
        servers[number]->set_mood(mood);
    m_faults.begin("servers fail", end, [servers, count] {
        for (std::size_t number = 0; number < count; ++number)
            servers[number]->set_mood(Mood::Well);
    });
}

void BudgetSoak::stall_service(std::string const& service, Core::Milliseconds length)
{
    for (auto* server : servers_of(service))
        server->stall_until(Core::monotonic_now() + length);
}

BudgetSoak::DeadlyRequests BudgetSoak::draw_deadly_requests()
{
    using Moment = BudgetBackend::CrashMoment;
    constexpr std::array moments {Moment::BeforeHead, Moment::AfterHead, Moment::AfterEvent, Moment::Late};
    constexpr std::array periods {2U, 4U, 16U};
    if (m_options.deadly)
        return *m_options.deadly;
    DeadlyRequests drawn;
    drawn.moment = moments.at(m_crash_random() % moments.size());
    drawn.is_framed = m_crash_random() % 2 == 0;
    drawn.are_plain = m_crash_random() % 4 == 0;
    drawn.period = periods.at(m_crash_random() % periods.size());
    return drawn;
}

std::string BudgetSoak::set_crashes(DeadlyRequests const& deadly)
{
    for (auto const& server : m_servers) {
        server->set_crash_moment(deadly.moment);
        server->set_framed(deadly.is_framed);
    }
    m_are_deadly_requests_plain = deadly.are_plain;
    m_deadly_period = deadly.period;
    constexpr std::array moments {"before the head", "after the head", "after an event", "late"};
    return Core::concat(deadly.are_plain ? "plain, " : "", moments.at(static_cast<std::size_t>(deadly.moment)),
        deadly.is_framed ? "" : ", unframed");
}

void BudgetSoak::send_deadly_requests(DeadlyRequests const& deadly, Core::Milliseconds length)
{
    auto const kind = set_crashes(deadly);
    m_sends_deadly_requests = true;
    m_faults.begin(Core::concat("deadly requests (", kind, ")"), Core::monotonic_now() + length,
        [this] { m_sends_deadly_requests = false; });
}

void BudgetSoak::send_deadly_parts(DeadlyRequests const& deadly, Core::Milliseconds length)
{
    auto const kind = set_crashes(deadly);
    m_sends_deadly_parts = true;
    m_faults.begin(Core::concat("deadly parts (", kind, ")"), Core::monotonic_now() + length,
        [this] { m_sends_deadly_parts = false; });
}

void BudgetSoak::begin_backoff()
{
    auto const signals = draw_server().signals();
    signals->reject_for(s_drawn_backoffs.at(m_random() % s_drawn_backoffs.size()));
    m_faults.begin(
        "backoff", Core::monotonic_now() + draw_time(500, 4'000), [signals] { signals->reject_for(std::nullopt); });
}

void BudgetSoak::trouble_store()
{
    static constexpr std::array s_outages {"busy", "reset", "silent"};
    auto const* const outage = s_outages.at(m_random() % s_outages.size());
    m_fleet.control({{"outage", outage}});
    auto const now = Core::monotonic_now();
    auto const number = m_contact.begin_store(ContactBook::StoreTrouble::Away, outage, now);
    m_faults.begin("store outage", now + draw_time(500, 5'000), [this, number] {
        m_fleet.control({{"outage", ""}});
        m_contact.end_store(number, Core::monotonic_now());
    });
}

void BudgetSoak::begin_fault()
{
    auto const until
        = [this](unsigned least_ms, unsigned most_ms) { return Core::monotonic_now() + draw_time(least_ms, most_ms); };
    switch (m_random() % 12) {
    case 0:
    case 1:
    case 2:
    case 3: {
        // A series of faults, often at several gateways at once.
        auto const count = 1 + m_random() % m_slots.size();
        for (std::size_t number = 0; number < count; ++number)
            fault_gateway(m_random() % m_slots.size());
        return;
    }
    case 4:
    case 5:
        return fault_service();
    case 6: {
        auto const count = 1 + m_random() % 4;
        for (std::size_t number = 0; number < count; ++number)
            crash_server(draw_server());
        return;
    }
    case 7:
        return begin_backoff();
    case 8:
        return trouble_store();
    case 9:
        return send_deadly_requests(draw_deadly_requests(), draw_time(3'000, 9'000));
    case 10:
        return send_deadly_parts(draw_deadly_requests(), draw_time(3'000, 9'000));
    default:
        m_rate_factor = 2 + m_random() % 4;
        return m_faults.begin("burst", until(1'000, 4'000), [this] { m_rate_factor = 1; });
    }
}

void BudgetSoak::pass(Core::Milliseconds time)
{
    auto const end = Core::monotonic_now() + time;
    std::map<BudgetBackend*, Core::MonotonicTime> restarts;
    while (Core::monotonic_now() < end) {
        auto const now = Core::monotonic_now();
        m_faults.heal_due(now);
        for (auto const& server : m_servers) {
            auto const crashed = server->crashed();
            if (!crashed)
                continue;
            auto const restart = restarts.try_emplace(server.get(), *crashed + draw_restart_delay()).first->second;
            if (now < restart)
                continue;
            restarts.erase(server.get());
            auto const before = server->entry().instance;
            server->restart();
            enter(*server);
            m_faults.begin("server crash", now + s_entry_lapse, [this, before] { m_fleet.remove_server(before); });
        }
        std::this_thread::sleep_for(s_turn);
    }
}

void BudgetSoak::draw_until_over()
{
    auto const end = Core::monotonic_now() + m_options.length;
    while (Core::monotonic_now() < end) {
        if (m_options.has_faults)
            begin_fault();
        pass(draw_time(50, 700));
    }
}

void BudgetSoak::call_until_stopped(unsigned caller)
{
    std::mt19937 random(m_options.seed * s_seeds_per_caller + caller);
    for (unsigned number = 0; !m_should_stop;) {
        try {
            call_on_one_connection(random() % m_slots.size(), caller, random, number);
        } catch (std::runtime_error const&) {
            std::this_thread::sleep_for(s_pause_after_failure);
        }
    }
}

void BudgetSoak::call_on_one_connection(std::size_t gateway, unsigned caller, std::mt19937& random, unsigned& number)
{
    RawCaller connection(m_slots[gateway].callers);
    // Used until the process is gone or closes it.
    for (unsigned used = 0; used < s_requests_per_connection && !m_should_stop; ++used) {
        auto const& kind = draw_kind(random);
        bool const is_stream = std::string_view(kind.kind) == "stream";
        // The same target, body and prompt each time, so that it is one request that comes again.
        auto const& deadly_kind = s_kinds.at(m_are_deadly_requests_plain ? s_deadly_plain_kind : s_deadly_stream_kind);
        bool const is_deadly = &kind == &deadly_kind && m_sends_deadly_requests && random() % m_deadly_period == 0;
        bool const has_deadly_part = kind.resumable && m_sends_deadly_parts && random() % 4 == 0;
        auto const id = Core::concat(gateway_name(gateway), "-", caller, "-", number++);
        auto const body = is_deadly ? std::string(BudgetBackend::s_deadly_request) : Core::concat("body ", id);
        auto const part = has_deadly_part ? Core::concat(BudgetBackend::s_deadly_part, ":300,") : std::string();
        auto const own = is_deadly ? 0 : random() % 0xffffff;
        auto const prompt = is_stream
            ? Core::concat("X-Token-Count: 600,40\r\nX-Prompt-Prefix: a1:200,", part, "b", own, ":100\r\n")
            : std::string();
        m_judges.repeats.note_request({id, kind.service, Core::monotonic_now(), kind.timeout, kind.attempts});
        connection.write(Core::concat("POST ", kind.path, " HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: ", id,
            "\r\nX-Deadline-Ms: ", kind.timeout.count(), "\r\n", prompt, "Content-Length: ", body.size(), "\r\n\r\n",
            body));
        auto const answer = connection.read_answer();
        {
            std::lock_guard const lock(m_mutex);
            ++m_report.answers[Core::concat(kind.name, " ", answer.status, answer.is_whole ? "" : " cut")];
        }
        if (!answer.is_whole || field_of(answer.head, "Connection") == "close")
            return;
        if (may_try_again(kind, answer) && random() % s_max_caller_tries == 0)
            continue;
        auto const pause = m_options.pause / m_rate_factor.load();
        std::this_thread::sleep_for(pause / 2 + Core::Milliseconds(random() % pause.count()));
    }
}

BudgetSoak::Report BudgetSoak::run()
{
    return run([this] { draw_until_over(); });
}

BudgetSoak::Report BudgetSoak::run(std::function<void()> const& script)
{
    for (auto const& slot : m_slots) {
        if (!wait_until([&] { return GatewayFleet::is_ready(slot.gateway); }))
            m_report.problems.push_back("a gateway is not ready");
    }
    std::vector<std::thread> callers;
    for (unsigned caller = 0; caller < m_options.callers; ++caller)
        callers.emplace_back([this, caller] { call_until_stopped(caller); });
    script();
    m_faults.heal_all();
    pass(s_contact_time);
    m_should_stop = true;
    for (auto& thread : callers)
        thread.join();
    for (auto&& findings : {m_judges.repeats.findings(), m_judges.requests.findings(), m_judges.parts.findings(),
             m_judges.signals.backoffs.findings()})
        m_report.problems.insert(m_report.problems.end(), findings.begin(), findings.end());
    m_report.faults = m_faults.counts();
    m_report.peaks = m_judges.repeats.peaks();
    m_report.late_repeats = m_judges.repeats.late_repeats();
    m_report.backoffs = m_judges.signals.backoffs.counted();
    m_report.crashing_subjects = m_judges.requests.judged() + m_judges.parts.judged();
    return m_report;
}

}
