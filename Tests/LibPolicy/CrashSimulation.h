#pragma once

#include <LibCore/Text.h>
#include <LibPolicy/CrashLedger.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace GraniteField::Testing {

/// Strategy for detecting the requests that crash servers.
template <typename T>
concept QuarantineStrategy = requires(
    T strategy, Policy::CrashWitness const& witness, Policy::CrashIdentity const& identity, Core::MonotonicTime now)
{
    strategy.note_crash(witness, now);
    strategy.note_success(identity, now);
    strategy.note_progress(identity, now);
    strategy.tick(now);
    {
        strategy.is_quarantined(identity, now)
        } -> std::same_as<bool>;
    /// Whether the request should be delayed until more is known.
    {
        strategy.is_suspected(identity, now)
        } -> std::same_as<bool>;
    {
        strategy.crashed_addresses(identity.request)
        } -> std::same_as<std::vector<std::uint64_t>>;
};

/// Quarantines a request after three crashes. Completion clears it.
class CountingStrategy {
public:
    void note_crash(Policy::CrashWitness const& witness, Core::MonotonicTime)
    {
        m_crashes[witness.digest].insert(witness.server.incarnation);
    }
    void note_success(Policy::CrashIdentity const& identity, Core::MonotonicTime) { m_crashes.erase(identity.request); }
    void note_progress(Policy::CrashIdentity const&, Core::MonotonicTime) { }
    void tick(Core::MonotonicTime) { }
    bool is_quarantined(Policy::CrashIdentity const& identity, Core::MonotonicTime)
    {
        auto const found = m_crashes.find(identity.request);
        return found != m_crashes.end() && found->second.size() >= 3;
    }
    bool is_suspected(Policy::CrashIdentity const&, Core::MonotonicTime) { return false; }
    std::vector<std::uint64_t> crashed_addresses(Core::RequestDigest const&) { return {}; }

private:
    std::map<Core::RequestDigest, std::set<std::uint64_t>> m_crashes;
};

/// Divides the blame for each crash equally among the requests present, and quarantines a request with at least three
/// crashes and a total blame of one server. Completion clears it.
class BlameSharingStrategy {
public:
    void note_crash(Policy::CrashWitness const& witness, Core::MonotonicTime)
    {
        m_present[witness.server.incarnation].insert(witness.digest);
        m_crashes[witness.digest].insert(witness.server.incarnation);
    }
    void note_success(Policy::CrashIdentity const& identity, Core::MonotonicTime)
    {
        for (auto const incarnation : m_crashes[identity.request])
            m_present[incarnation].erase(identity.request);
        m_crashes.erase(identity.request);
    }
    void note_progress(Policy::CrashIdentity const&, Core::MonotonicTime) { }
    void tick(Core::MonotonicTime) { }
    bool is_quarantined(Policy::CrashIdentity const& identity, Core::MonotonicTime)
    {
        auto const found = m_crashes.find(identity.request);
        if (found == m_crashes.end() || found->second.size() < 3)
            return false;
        double blame_sum = 0;
        for (auto const incarnation : found->second)
            blame_sum += 1.0 / static_cast<double>(m_present[incarnation].size());
        return blame_sum >= 1;
    }
    bool is_suspected(Policy::CrashIdentity const&, Core::MonotonicTime) { return false; }
    std::vector<std::uint64_t> crashed_addresses(Core::RequestDigest const&) { return {}; }

private:
    std::map<std::uint64_t, std::set<Core::RequestDigest>> m_present;
    std::map<Core::RequestDigest, std::set<std::uint64_t>> m_crashes;
};

/// Uses CrashLedger.
class LedgerStrategy {
public:
    void note_crash(Policy::CrashWitness const& witness, Core::MonotonicTime now) { m_ledger.note_crash(witness, now); }
    void note_success(Policy::CrashIdentity const& identity, Core::MonotonicTime now)
    {
        m_ledger.note_success(identity, now);
    }
    void note_progress(Policy::CrashIdentity const& identity, Core::MonotonicTime now)
    {
        m_ledger.note_progress(identity, now);
    }
    void tick(Core::MonotonicTime now) { m_ledger.tick(now); }
    bool is_quarantined(Policy::CrashIdentity const& identity, Core::MonotonicTime now)
    {
        return m_ledger.is_quarantined(identity, now);
    }
    bool is_suspected(Policy::CrashIdentity const& identity, Core::MonotonicTime now)
    {
        return m_ledger.is_suspected(identity, now);
    }
    std::vector<std::uint64_t> crashed_addresses(Core::RequestDigest const& digest)
    {
        return m_ledger.crashed_addresses(digest);
    }

private:
    Policy::CrashLedger m_ledger;
};

/// Faults in a CrashSimulation.
struct CrashScenario {
    /// Number of requests that crash every server that starts them, and arrivals per second of each.
    int crashing_requests {0};
    double arrivals_per_second {3};
    /// Number of copies that arrive at once.
    int copies {1};
    /// Time from the start of a deadly request to the crash.
    Core::Milliseconds least_crash_delay {20};
    Core::Milliseconds most_crash_delay {100};
    /// Whether servers start to answer deadly requests before they crash.
    bool has_head {true};
    /// Number of prompt parts that crash every server that starts a request with them, and arrivals per second of
    /// requests with each, no two of which are equal.
    int crashing_parts {0};
    double part_arrivals_per_second {3};
    /// Harmless requests per second.
    double harmless_per_second {25};
    /// Crashes per second at random servers that no request causes.
    double spontaneous_crashes_per_second {0};
    /// Interval at which a third of the servers crashes at one moment; 0 for never.
    Core::Milliseconds domain_failure_period {0};
    /// Number of servers that crash as soon as they start any request.
    std::size_t broken_hosts {0};
    /// Fraction of the harmless requests that are the same request.
    double popular_fraction {0};
};

struct CrashOutcome {
    /// Maximum over the crashing requests of the number of sends later than the contact time after the third crash; for
    /// crashing parts after the fifth.
    int late_sends {0};
    /// Number of rejected sends of harmless requests, and number of harmless requests.
    int quarantined_harmless {0};
    int harmless {0};
    int served {0};
    int crashes {0};
};

/// Simulates a minute with nine servers: harmless streams of 0.3 to 2 s, which are resent once after a crash and
/// retried once by the caller, and requests that crash the server 20 to 100 ms after their start. Servers restart
/// after two to four seconds. The strategy receives each report 150 ms late, which stands for the delay between
/// gateways.
template <QuarantineStrategy Strategy>
class CrashSimulation {
public:
    CrashSimulation(CrashScenario scenario, unsigned seed)
        : m_scenario(scenario)
        , m_generator(seed)
    {
        m_servers.resize(s_servers);
        for (std::size_t index = 0; index < s_servers; ++index)
            m_servers[index].incarnation = ++m_incarnations;
    }

    CrashOutcome simulate()
    {
        for (m_now = s_start; m_now < s_start + s_duration; m_now += s_step) {
            deliver_reports();
            restart_servers();
            process_arrivals();
            crash_spontaneously();
            run_servers();
            m_strategy.tick(m_now);
        }
        for (auto const& [digest, sends] : m_late_sends)
            m_outcome.late_sends = std::max(m_outcome.late_sends, sends);
        return m_outcome;
    }

private:
    using Time = Core::MonotonicTime;
    using Milliseconds = Core::Milliseconds;

    static constexpr Time s_start {std::chrono::hours(1)};
    static constexpr Milliseconds s_duration {60'000};
    static constexpr Milliseconds s_step {5};
    static constexpr std::size_t s_servers = 9;
    static constexpr Milliseconds s_report_delay {150};
    static constexpr Milliseconds s_contact_time {3'000};
    static constexpr Milliseconds s_just_started {1'000};
    static constexpr Milliseconds s_proof_time {500};
    static constexpr Milliseconds s_suspicion_retry_interval {25};

    struct Request {
        Policy::CrashIdentity identity;
        /// The request or the part that crashes servers, if any.
        std::optional<Core::RequestDigest> crashing {};
        /// Remaining sends of this arrival, and remaining arrivals.
        int remaining_attempts {2};
        int remaining_arrivals {2};
    };
    struct Run {
        Request request;
        /// Arrival of the head of the answer.
        Time start;
        Time end;
        bool is_proven {false};
    };
    struct Server {
        std::uint64_t incarnation {0};
        std::optional<Time> down_until;
        std::vector<Run> runs;
    };
    struct DelayedRequest {
        Time at;
        Request request;
    };
    struct PendingReport {
        Time at;
        Policy::CrashWitness witness;
    };

    double draw(double from, double to) { return std::uniform_real_distribution<double>(from, to)(m_generator); }
    Milliseconds draw_time(int from, int to)
    {
        return Milliseconds(std::uniform_int_distribution<int>(from, to)(m_generator));
    }
    Milliseconds draw_time(Milliseconds from, Milliseconds to)
    {
        return draw_time(static_cast<int>(from.count()), static_cast<int>(to.count()));
    }
    int draw_number(int largest) { return std::uniform_int_distribution<int>(0, largest)(m_generator); }
    bool occurs(double rate) { return draw(0, 1) < rate * std::chrono::duration<double>(s_step).count(); }

    static Core::RequestDigest digest_of(std::string_view kind, int number)
    {
        return Core::RequestDigest::of(Core::concat("/", kind, "/", number), "caller", "");
    }

    void deliver_reports()
    {
        std::erase_if(m_pending_reports, [&](auto const& report) {
            if (report.at > m_now)
                return false;
            m_strategy.note_crash(report.witness, m_now);
            return true;
        });
    }

    void restart_servers()
    {
        for (auto& server : m_servers) {
            if (!server.down_until || *server.down_until > m_now)
                continue;
            server.down_until.reset();
            server.incarnation = ++m_incarnations;
        }
    }

    void process_arrivals()
    {
        if (occurs(m_scenario.harmless_per_second)) {
            ++m_outcome.harmless;
            bool const is_popular = draw(0, 1) < m_scenario.popular_fraction;
            auto const digest = is_popular ? digest_of("popular", 0) : digest_of("harmless", m_outcome.harmless);
            if (m_scenario.crashing_parts > 0)
                send({{digest, {digest_of("system", m_outcome.harmless % 2), digest_of("session", draw_number(9))}}});
            else
                send({digest});
        }
        for (int number = 0; number < m_scenario.crashing_parts; ++number) {
            if (!occurs(m_scenario.part_arrivals_per_second))
                continue;
            // Shares its first part with every second harmless request.
            auto const part = digest_of("part", number);
            send({{digest_of("new", ++m_new_requests), {digest_of("system", 0), part}}, part});
        }
        for (int number = 0; number < m_scenario.crashing_requests; ++number) {
            if (!occurs(m_scenario.arrivals_per_second))
                continue;
            for (int copy = 0; copy < m_scenario.copies; ++copy)
                send({digest_of("deadly", number), digest_of("deadly", number)});
        }
        std::vector<DelayedRequest> due;
        std::erase_if(m_delayed, [&](auto const& item) {
            if (item.at > m_now)
                return false;
            due.push_back(item);
            return true;
        });
        for (auto const& item : due)
            send(item.request);
    }

    void send(Request request)
    {
        if (m_strategy.is_suspected(request.identity, m_now)) {
            m_delayed.push_back({m_now + s_suspicion_retry_interval, request});
            return;
        }
        if (m_strategy.is_quarantined(request.identity, m_now)) {
            m_outcome.quarantined_harmless += request.crashing ? 0 : 1;
            return;
        }
        auto* const server = choose(request.identity.request);
        if (server == nullptr)
            return retry_by_caller(request);
        --request.remaining_attempts;
        if (request.crashing)
            count_send(*request.crashing);
        auto const start = m_now + draw_time(20, 150);
        auto const duration = request.crashing ? draw_time(m_scenario.least_crash_delay, m_scenario.most_crash_delay)
                                               : draw_time(300, 2'000);
        bool const has_head = m_scenario.has_head || !request.crashing;
        server->runs.push_back({request, has_head ? start : Time::max(), start + duration});
    }

    Server* choose(Core::RequestDigest const& digest)
    {
        auto const avoided = m_strategy.crashed_addresses(digest);
        std::vector<Server*> up;
        std::vector<Server*> preferred;
        for (std::size_t index = 0; index < s_servers; ++index) {
            if (m_servers[index].down_until)
                continue;
            up.push_back(&m_servers[index]);
            if (std::ranges::find(avoided, index) == avoided.end())
                preferred.push_back(&m_servers[index]);
        }
        auto const& among = preferred.empty() ? up : preferred;
        if (among.empty())
            return nullptr;
        return among[std::uniform_int_distribution<std::size_t>(0, among.size() - 1)(m_generator)];
    }

    void retry_by_caller(Request request)
    {
        if (--request.remaining_arrivals <= 0)
            return;
        request.remaining_attempts = 2;
        m_delayed.push_back({m_now + draw_time(100, 500), request});
    }

    void count_send(Core::RequestDigest const& digest)
    {
        auto const& times = m_caused_crashes[digest];
        std::size_t const known_crashes = m_scenario.crashing_parts > 0 ? 5 : 3;
        if (times.size() >= known_crashes && m_now > times[known_crashes - 1] + s_contact_time)
            ++m_late_sends[digest];
    }

    void crash_spontaneously()
    {
        for (auto& server : m_servers) {
            if (occurs(m_scenario.spontaneous_crashes_per_second / s_servers))
                crash(server);
        }
        auto const elapsed = Core::elapsed(s_start, m_now);
        if (m_scenario.domain_failure_period.count() == 0
            || elapsed.count() % m_scenario.domain_failure_period.count() != 0)
            return;
        for (std::size_t index = 0; index < s_servers; index += 3)
            crash(m_servers[index]);
    }

    void crash(Server& server)
    {
        if (server.down_until)
            return;
        ++m_outcome.crashes;
        server.down_until = m_now + draw_time(2'000, 4'000);
        auto const index = static_cast<std::uint64_t>(&server - m_servers.data());
        for (auto const& run : std::exchange(server.runs, {})) {
            bool const has_just_started = run.start <= m_now && m_now - run.start <= s_just_started;
            m_pending_reports.push_back({m_now + s_report_delay,
                {run.request.identity.request, {server.incarnation, index, 1},
                    has_just_started ? Policy::Exposure::Fresh : Policy::Exposure::Weak, m_now,
                    run.request.identity.parts}});
            if (run.request.remaining_attempts > 0)
                m_delayed.push_back({m_now, run.request});
            else
                retry_by_caller(run.request);
        }
    }

    void run_servers()
    {
        for (std::size_t index = 0; index < s_servers; ++index) {
            auto& server = m_servers[index];
            auto const has_started = [&](auto const& run) { return run.start <= m_now; };
            bool const is_broken = index < m_scenario.broken_hosts && std::ranges::any_of(server.runs, has_started);
            auto const crashing_run = std::ranges::find_if(
                server.runs, [&](auto const& run) { return run.request.crashing && run.end <= m_now; });
            if (crashing_run != server.runs.end())
                m_caused_crashes[*crashing_run->request.crashing].push_back(m_now);
            if (is_broken || crashing_run != server.runs.end()) {
                crash(server);
                continue;
            }
            std::erase_if(server.runs, [&](auto& run) {
                if (!run.is_proven && m_now >= run.start + s_proof_time) {
                    run.is_proven = true;
                    m_strategy.note_progress(run.request.identity, m_now);
                }
                if (run.end > m_now)
                    return false;
                ++m_outcome.served;
                m_strategy.note_success(run.request.identity, m_now);
                return true;
            });
        }
    }

    CrashScenario m_scenario;
    std::mt19937 m_generator;
    Strategy m_strategy;
    Time m_now {s_start};
    std::uint64_t m_incarnations {0};
    int m_new_requests {0};
    std::vector<Server> m_servers;
    std::vector<DelayedRequest> m_delayed;
    std::vector<PendingReport> m_pending_reports;
    std::map<Core::RequestDigest, std::vector<Time>> m_caused_crashes;
    std::map<Core::RequestDigest, int> m_late_sends;
    CrashOutcome m_outcome;
};

}
