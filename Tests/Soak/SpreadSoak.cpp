#include "SpreadSoak.h"

#include "DeployedSettings.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <array>
#include <csignal>

namespace GraniteField::Testing {

namespace {

constexpr char const* s_host = "host.test";
constexpr std::array s_services {"svc-a", "svc-b"};
constexpr std::array s_domains {"domain-a", "domain-b", "domain-c"};
constexpr std::size_t s_seeds = 3;
/// One gateway in so many has a larger share of a core than the others.
constexpr std::size_t s_large_hosts = 5;
constexpr double s_large_share = 0.5;

/// The users' bounds, as the template wants them; those of the run take the place of the first two.
constexpr Core::Milliseconds s_contact_time {4'000};
Json users_bounds()
{
    return {{"contact_ms", s_contact_time.count()}, {"grace_s", 8}, {"budget_ratio", 0.2}, {"budget_slack", 100},
        {"budget_window_s", 10}, {"max_stretch_ms", 6'000}};
}
/// What a request may still show of an older version after one has shown a newer one.
constexpr Core::Milliseconds s_rollback_slack {250};

constexpr std::size_t s_kept_paths = 4;
constexpr std::size_t s_kept_keys = 4;
constexpr std::size_t s_remembered_removals = 4;
constexpr std::size_t s_workspaces = 3;

/// Distance of the random seeds, and of the request numbers, of two callers of one gateway.
constexpr unsigned s_seeds_per_caller = 1'000'000;
constexpr unsigned s_requests_per_caller = 10'000'000;
constexpr Core::Milliseconds s_round_pause {120};
constexpr Core::Milliseconds s_pause_after_failure {30};
constexpr Core::Milliseconds s_turn {20};
constexpr unsigned s_start_attempts = 5;
constexpr Core::Milliseconds s_limit_pause {3'000};
constexpr Core::Milliseconds s_leaving_pause {5'000};
constexpr Core::Milliseconds s_backoff_pause {4'000};
/// How long a server that leaves goes on serving after it was to be left alone.
constexpr Core::Milliseconds s_served_on {2'500};
constexpr unsigned s_longest_served_on_ms = 6'000;
/// Servers of a service that never leave in a series.
constexpr std::size_t s_least_staying = 2;

Json route(std::string const& name, std::string const& path, std::string const& service, bool needs_key)
{
    auto route = GatewayFleet::route(name, path, "safe");
    route["service"] = service;
    route["no_auth"] = !needs_key;
    return route;
}

}

SpreadSoak::SpreadSoak(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_limit_random(options.seed + 1)
    , m_leaving_random(options.seed + 2)
    , m_backoff_random(options.seed + 3)
    , m_series_random(options.seed + 4)
    , m_contact({}, options.gateways)
    , m_judges(s_contact_time, options.leave_bound)
    , m_seen(options.gateways)
{
    change_configuration();
    for (auto const* service : s_services) {
        for (std::size_t number = 0; number < options.backends; ++number) {
            auto& backend = m_backends.emplace_back(
                std::make_unique<RotatingBackend>(service, Core::concat(service, "-", number), m_judges));
            m_fleet.put_server(backend->entry());
        }
    }
    for (std::size_t index = 0; index < options.gateways; ++index) {
        auto& slot = m_slots.emplace_back();
        slot.store = std::make_unique<FaultProxy>(local_address(m_fleet.platform_port()));
        slot.peers = std::make_unique<FaultProxy>(local_address(m_fleet.platform_port()));
        slot.peers->set_mode(FaultProxy::Mode::Refuse);
    }
    for (std::size_t index = 0; index < options.gateways; ++index)
        make_settings(index);
    for (std::size_t index = 0; index < options.gateways; ++index)
        start_gateway(index);
}

SpreadSoak::~SpreadSoak() = default;

void SpreadSoak::make_settings(std::size_t index)
{
    auto& slot = m_slots[index];
    Json seeds = Json::array();
    for (std::size_t seed = 0; seed < std::min(s_seeds, m_slots.size()); ++seed)
        seeds.push_back(local_text(m_slots[seed].peers->port()));
    bool const is_small = index % s_large_hosts != 0;
    if (m_options.processor_share > 0)
        slot.share = is_small ? m_options.processor_share : s_large_share;
    slot.peers->set_rate(is_small ? m_options.link_rate : 0);
    slot.store->set_rate(is_small ? m_options.link_rate : 0);
    auto bounds = users_bounds();
    bounds["apply_ms"] = m_options.apply_bound.count();
    bounds["drain_ms"] = m_options.leave_bound.count();
    slot.settings = deployed_settings({Core::concat("g-", index), s_domains.at(index % s_domains.size()),
        draw_load_port(), slot.store->port(), seeds, std::move(bounds), slot.share});
    // Other gateways reach it through its proxy only.
    slot.settings["peers"]["advertised-address"] = local_text(slot.peers->port());
}

std::uint16_t SpreadSoak::draw_load_port()
{
    auto port = free_udp_port();
    while (!m_load_ports.insert(port).second)
        port = free_udp_port();
    return port;
}

GatewayFleet::Gateway SpreadSoak::start_process(std::size_t index)
{
    for (unsigned attempt = 1;; ++attempt) {
        try {
            return m_fleet.start_with(m_slots[index].settings);
        } catch (std::runtime_error const&) {
            if (attempt == s_start_attempts)
                throw;
            // Another program may have got a port of the last life meanwhile.
            make_settings(index);
        }
    }
}

void SpreadSoak::start_gateway(std::size_t index)
{
    auto& slot = m_slots[index];
    slot.gateway = start_process(index);
    // The same ports in its next life, as on a host.
    slot.settings["callers-address"] = local_text(slot.gateway.callers);
    slot.settings["readiness-address"] = local_text(slot.gateway.readiness);
    slot.settings["operator-address"] = local_text(slot.gateway.operators);
    slot.settings["peers"]["address"] = local_text(slot.gateway.peers);
    slot.peers->set_target(local_address(slot.gateway.peers));
    slot.peers->set_mode(FaultProxy::Mode::Pass);
    slot.callers = slot.gateway.callers;
    slot.life = ++m_next_life;
    slot.begun = Core::monotonic_now();
    m_judges.note_restart(gateway_name(index), slot.begun);
    m_shares.set(slot.gateway.process->id(), slot.share);
    // Until it has been in touch for long enough nothing is promised.
    m_contact.end_gateway(index, m_contact.begin_gateway(index, "start", slot.begun), slot.begun);
}

unsigned SpreadSoak::draw_filler_routes()
{
    if (m_options.growth > 0)
        return std::min(m_options.most_routes, m_filler_routes + m_options.growth);
    constexpr unsigned sizes = 4;
    return m_random() % 4 == 0 ? m_options.most_routes * (m_random() % (sizes + 1)) / sizes : m_filler_routes;
}

void SpreadSoak::change_configuration()
{
    m_version += 1 + m_random() % 4;
    std::lock_guard const lock(m_mutex);
    // Now and then a route or a key comes again under its name.
    bool const comes_again = !m_removed_paths.empty() && m_random() % 4 == 0;
    auto const path = comes_again ? m_removed_paths.front() : Core::concat("/m", m_version, "/");
    if (comes_again)
        m_removed_paths.pop_front();
    m_paths.push_back(path);
    m_keys.push_back(Core::concat("key-", m_version));
    while (m_paths.size() > s_kept_paths) {
        m_removed_paths.push_back(m_paths.front());
        m_paths.pop_front();
    }
    while (m_keys.size() > s_kept_keys) {
        m_removed_keys.push_back(m_keys.front());
        m_keys.pop_front();
    }
    while (m_removed_paths.size() > s_remembered_removals)
        m_removed_paths.pop_front();
    while (m_removed_keys.size() > s_remembered_removals)
        m_removed_keys.pop_front();
    m_moves_to_second = m_moves_to_second != (m_random() % 2 == 0);
    m_filler_routes = draw_filler_routes();

    auto const* target = s_services.at(m_moves_to_second ? 1 : 0);
    Json routes = Json::array({route("moving", "/moving/", target, false), route("keyed", "/keyed/", "svc-a", true)});
    for (auto const& added : m_paths)
        routes.push_back(route(Core::concat("r", added.substr(1, added.size() - 2)), added, "svc-a", false));
    for (unsigned number = 0; number < m_filler_routes; ++number)
        routes.push_back(route(Core::concat("f", number), Core::concat("/f", number, "/"), "svc-b", false));
    auto configuration = GatewayFleet::configuration(m_version, routes);
    configuration["services"] = Json::array();
    for (auto const* service : s_services)
        configuration["services"].push_back({{"name", service}, {"max_conns", 100}});
    for (std::size_t number = 0; number < s_workspaces; ++number)
        configuration["tenants"].push_back({{"name", Core::concat("w", number)}, {"api_keys", Json::array()}});
    for (auto const& key : m_keys)
        configuration["tenants"][std::stoul(key.substr(4)) % s_workspaces]["api_keys"].push_back(key);
    // The store takes one with keys only.
    ConfigurationFacts facts {m_version, {m_paths.begin(), m_paths.end()}, {m_keys.begin(), m_keys.end()}, target};
    m_trail.note_sent(std::move(facts), Core::monotonic_now());
    m_fleet.put("config", "main", configuration);
    m_trail.note_acknowledged(m_version, Core::monotonic_now());
    ++m_report.changes;
}

void SpreadSoak::replace(RotatingBackend& backend, std::string const& instance)
{
    if (backend.instance() != instance)
        return;
    m_fleet.remove_server(instance);
    judge_arrivals();
    backend.replace();
    m_fleet.put_server(backend.entry());
}

void SpreadSoak::rotate_backends()
{
    auto& backend = *m_backends[m_random() % m_backends.size()];
    auto const how = m_random() % 3 != 0 ? Leaving::Stated : Leaving::EntryRemoved;
    leave(backend, how, s_served_on);
}

void SpreadSoak::let_server_leave(std::string const& service, Leaving how)
{
    auto const chosen = std::ranges::find_if(
        m_backends, [&](auto const& backend) { return backend->service() == service && !backend->is_leaving(); });
    if (chosen == m_backends.end())
        throw std::runtime_error("all servers of the service are leaving");
    leave(**chosen, how, s_served_on);
}

void SpreadSoak::leave(RotatingBackend& backend, Leaving how, Core::Milliseconds served_on)
{
    auto const leaving = backend.entry();
    if (how == Leaving::Stated)
        m_fleet.put_server(leaving, "draining");
    else
        m_fleet.remove_server(leaving.instance);
    auto const bound_end = Core::monotonic_now() + m_options.leave_bound;
    backend.expect_left_alone_from(bound_end);
    m_faults.begin(how == Leaving::Stated ? "server leaves" : "server's entry goes", bound_end + served_on,
        [this, &backend, leaving] { replace(backend, leaving.instance); });
}

void SpreadSoak::begin_leaving_series()
{
    auto const service = m_series_random() % s_services.size();
    std::vector<RotatingBackend*> staying;
    for (auto const& backend : m_backends) {
        if (backend->service() == s_services.at(service) && !backend->is_leaving())
            staying.push_back(backend.get());
    }
    if (staying.size() <= s_least_staying)
        return;
    std::ranges::shuffle(staying, m_series_random);
    auto const count = 1 + m_series_random() % (staying.size() - s_least_staying);
    static constexpr std::array s_gaps_ms {0, 50, 300, 1'000};
    Core::Milliseconds const gap(s_gaps_ms.at(m_series_random() % s_gaps_ms.size()));
    for (std::size_t place = 0; place < count; ++place) {
        auto& backend = *staying[place];
        auto const how = m_series_random() % 2 == 0 ? Leaving::Stated : Leaving::EntryRemoved;
        Core::Milliseconds const served_on(m_series_random() % s_longest_served_on_ms);
        m_faults.begin("leaving in a series", Core::monotonic_now() + gap * static_cast<int>(place),
            [this, &backend, how, served_on] {
                if (!backend.is_leaving())
                    leave(backend, how, served_on);
            });
    }
}

void SpreadSoak::judge_arrivals()
{
    for (auto const& backend : m_backends) {
        for (auto const& arrival : backend->take_arrivals()) {
            auto const index = std::stoul(arrival.request.substr(1));
            auto const stretch = m_contact.stretch(index, arrival.time, arrival.time);
            // The store gave its word while it was stable, so that nothing stretches this bound.
            if (!stretch || stretch->count() > 0)
                continue;
            note_problem(Core::concat("DRAIN ", at(arrival.time), ": ", arrival.request, " reached ", arrival.instance,
                " ", arrival.late.count(), " ms after the end of its bound;",
                m_contact.describe(index, arrival.time - Core::Milliseconds(10'000))));
        }
    }
}

Core::Milliseconds SpreadSoak::draw_time(unsigned least, unsigned most)
{
    return Core::Milliseconds(least + m_random() % (most - least + 1));
}

std::vector<SpreadSoak::Question> SpreadSoak::questions(std::mt19937& random) const
{
    std::vector<Question> questions;
    auto const ask = [&](Sighting::Kind kind, std::string const& name) {
        Question question;
        question.sighting.kind = kind;
        question.sighting.name = name;
        switch (kind) {
        case Sighting::Kind::Path:
            question.path = name;
            break;
        case Sighting::Kind::Key:
            question.path = "/keyed/";
            question.key = name;
            break;
        case Sighting::Kind::Service:
            question.path = "/moving/";
            break;
        }
        questions.push_back(std::move(question));
    };
    std::lock_guard const lock(m_mutex);
    auto const one_of = [&](auto const& names) { return names[random() % names.size()]; };
    ask(Sighting::Kind::Path, m_paths.back());
    ask(Sighting::Kind::Path, one_of(m_paths));
    ask(Sighting::Kind::Key, m_keys.back());
    ask(Sighting::Kind::Service, "");
    if (!m_removed_paths.empty())
        ask(Sighting::Kind::Path, one_of(m_removed_paths));
    if (!m_removed_keys.empty())
        ask(Sighting::Kind::Key, one_of(m_removed_keys));
    return questions;
}

SpreadSoak::ConnectionState SpreadSoak::ask_round(
    std::size_t index, unsigned life, RawCaller& caller, std::mt19937& random, unsigned& number)
{
    for (auto& question : questions(random)) {
        auto const id = Core::concat(gateway_name(index), "-", number++);
        auto const key = question.key.empty() ? "" : Core::concat("Authorization: Bearer ", question.key, "\r\n");
        auto& sighting = question.sighting;
        sighting.sent = Core::monotonic_now();
        m_judges.leaving.note_sent(id, sighting.sent);
        caller.write(Core::concat("GET ", question.path, " HTTP/1.1\r\nHost: ", s_host, "\r\nX-Request-Id: ", id,
            "\r\nX-Deadline-Ms: 2000\r\n", key, "\r\n"));
        auto const answer = caller.read_answer();
        // Another program may have got the port of a gateway that is down.
        bool const is_from_gateway = field_of(answer.head, "X-Request-Id") == id;
        if (answer.is_whole && !is_from_gateway)
            return ConnectionState::Closed;
        note_passed_on(m_judges, answer.head, gateway_name(index));
        sighting.answered = Core::monotonic_now();
        {
            std::lock_guard const lock(m_mutex);
            ++m_report.answers[std::to_string(answer.status)];
        }
        int const unknown = sighting.kind == Sighting::Kind::Key ? 401 : 404;
        sighting.is_known = answer.status == 200;
        if (sighting.kind == Sighting::Kind::Service)
            sighting.name = answer.body;
        bool const says_something
            = answer.is_whole && (answer.status == 200 || (answer.status == unknown && !sighting.name.empty()));
        if (says_something)
            judge(index, life, sighting, id);
        if (!answer.is_whole || field_of(answer.head, "Connection") == "close")
            return ConnectionState::Closed;
    }
    return ConnectionState::Open;
}

void SpreadSoak::ask_on_one_connection(std::size_t index, std::mt19937& random, unsigned& number)
{
    auto& slot = m_slots[index];
    unsigned const life = slot.life;
    RawCaller caller(slot.callers);
    while (!m_should_stop && ask_round(index, life, caller, random, number) == ConnectionState::Open)
        std::this_thread::sleep_for(s_round_pause);
}

void SpreadSoak::call_until_stopped(std::size_t index, unsigned caller)
{
    std::mt19937 random(m_options.seed * 1'000 + static_cast<unsigned>(index) + caller * s_seeds_per_caller);
    unsigned number = caller * s_requests_per_caller;
    while (!m_should_stop) {
        try {
            ask_on_one_connection(index, random, number);
        } catch (std::runtime_error const&) {
            // NOTE: Nobody listens there now.
        }
        std::this_thread::sleep_for(s_pause_after_failure);
    }
}

void SpreadSoak::judge(std::size_t index, unsigned life, Sighting const& sighting, std::string const& id)
{
    auto const describe = [&](std::string const& rule, unsigned version) {
        static constexpr std::array s_kinds {"path", "key", "service"};
        return Core::concat(rule, " ", at(sighting.sent), ": ", id, " ", s_kinds.at(static_cast<int>(sighting.kind)),
            " ", sighting.name, sighting.is_known ? " known" : " refused", " as only before version ", version,
            ", which is ", m_trail.age(version, sighting.sent).count(), " ms old;",
            m_contact.describe(index, sighting.sent - Core::Milliseconds(10'000)));
    };
    std::optional<std::pair<unsigned, unsigned>> const all = m_trail.versions_of(sighting, 0);
    auto const stretch = m_contact.stretch(index, sighting.sent, sighting.answered);
    if (stretch) {
        auto const oldest = m_trail.oldest_in_force(sighting.sent, m_options.apply_bound + *stretch);
        if (!m_trail.versions_of(sighting, oldest))
            note_problem(describe("CONFIG", oldest));
    }
    std::lock_guard const lock(m_mutex);
    auto& seen = m_seen[index];
    if (seen.life != life)
        seen = {life, 0, sighting.answered, 0};
    bool const is_settled = seen.since + s_rollback_slack < sighting.sent;
    auto const least = is_settled ? seen.version : seen.version_before;
    bool const is_undisturbed = m_contact.is_undisturbed(index, sighting.sent, sighting.answered);
    if (is_undisturbed && !m_trail.versions_of(sighting, least))
        m_report.problems.push_back(describe("WENT BACK", least));
    if (!all || all->first <= seen.version)
        return;
    seen.version_before = seen.version;
    seen.version = all->first;
    seen.since = sighting.answered;
    if (stretch && stretch->count() == 0)
        m_report.delays.push_back(m_trail.age(seen.version, sighting.sent));
}

void SpreadSoak::note_problem(std::string problem)
{
    std::lock_guard const lock(m_mutex);
    m_report.problems.push_back(std::move(problem));
}

std::string SpreadSoak::at(Core::MonotonicTime time) const
{
    return Core::concat("at ", Core::elapsed(m_begun, time).count(), " ms");
}

void SpreadSoak::draw_until_over()
{
    auto const end = Core::monotonic_now() + m_options.length;
    auto next_change = Core::monotonic_now();
    auto next_rotation = next_change;
    auto next_fault = next_change + draw_time(0, 3'000);
    auto next_limit = next_change;
    auto next_leaving = next_change + s_leaving_pause;
    auto next_backoff = next_change + s_backoff_pause;
    auto next_series = next_change;
    auto next_joint_fault = next_change;
    while (Core::monotonic_now() < end) {
        auto const now = Core::monotonic_now();
        m_faults.heal_due(now);
        if (now >= next_change) {
            change_configuration();
            next_change = now
                + draw_time(static_cast<unsigned>(m_options.least_pause.count()),
                    static_cast<unsigned>(m_options.most_pause.count()));
        }
        if (now >= next_rotation) {
            rotate_backends();
            next_rotation = now + m_options.leave_bound + s_served_on + draw_time(100, 1'500);
        }
        if (m_options.has_signals && now >= next_limit) {
            begin_rate_limit();
            next_limit = now + s_limit_pause;
        }
        if (m_options.has_signals && now >= next_leaving) {
            begin_leaving();
            next_leaving = now + s_leaving_pause;
        }
        if (m_options.has_signals && now >= next_backoff) {
            begin_backoff();
            next_backoff = now + s_backoff_pause;
        }
        if (m_options.has_leaving_series && now >= next_series) {
            begin_leaving_series();
            next_series = now + Core::Milliseconds(300 + m_series_random() % 2'700);
        }
        if (m_options.has_leaving_series && m_options.has_faults && now >= next_joint_fault) {
            begin_joint_fault();
            next_joint_fault = now + Core::Milliseconds(2'000 + m_series_random() % 6'000);
        }
        if (m_options.has_faults && now >= next_fault) {
            begin_fault();
            next_fault = now + draw_time(300, 4'000);
        }
        std::this_thread::sleep_for(s_turn);
    }
}

void SpreadSoak::pass(Core::Milliseconds time)
{
    auto const end = Core::monotonic_now() + time;
    while (Core::monotonic_now() < end) {
        m_faults.heal_due(Core::monotonic_now());
        std::this_thread::sleep_for(s_turn);
    }
}

SpreadSoak::Report SpreadSoak::run()
{
    return run([this] { draw_until_over(); });
}

SpreadSoak::Report SpreadSoak::run(std::function<void()> const& script)
{
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        for (unsigned caller = 0; caller < m_options.callers; ++caller)
            callers.emplace_back([this, index, caller] { call_until_stopped(index, caller); });
    }
    std::this_thread::sleep_for(Core::Milliseconds(2'000));
    script();
    m_should_stop = true;
    for (auto& caller : callers)
        caller.join();
    judge_arrivals();
    m_faults.heal_all();
    m_report.faults = m_faults.counts();
    for (auto& finding : m_judges.findings())
        note_problem(std::move(finding));
    m_report.limited_arrivals = m_judges.limits.counted();
    m_report.left_alone = m_judges.leaving.left_alone();
    m_report.backoffs = m_judges.backoffs.counted();
    std::ranges::sort(m_report.delays);
    return m_report;
}

}
