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

/// How requests are judged that were at servers when these crashed.
template <typename T>
concept CrashJudge
    = requires(T judge, Policy::CrashWitness const& witness, Core::RequestDigest const& digest, Core::MonotonicTime now)
{
    judge.note_crash(witness, now);
    judge.note_good_end(digest, now);
    judge.turn(now);
    {
        judge.is_held(digest, now)
        } -> std::same_as<bool>;
    /// Whether it should wait for a moment.
    {
        judge.is_in_doubt(digest, now)
        } -> std::same_as<bool>;
    {
        judge.places_crashed(digest)
        } -> std::same_as<std::vector<std::uint64_t>>;
};

/// Counts crashes: three, and the request is held. What ends well is cleared.
class CountingJudge {
public:
    void note_crash(Policy::CrashWitness const& witness, Core::MonotonicTime)
    {
        m_crashes[witness.digest].insert(witness.server.life);
    }
    void note_good_end(Core::RequestDigest const& digest, Core::MonotonicTime) { m_crashes.erase(digest); }
    void turn(Core::MonotonicTime) { }
    bool is_held(Core::RequestDigest const& digest, Core::MonotonicTime)
    {
        auto const found = m_crashes.find(digest);
        return found != m_crashes.end() && found->second.size() >= 3;
    }
    bool is_in_doubt(Core::RequestDigest const&, Core::MonotonicTime) { return false; }
    std::vector<std::uint64_t> places_crashed(Core::RequestDigest const&) { return {}; }

private:
    std::map<Core::RequestDigest, std::set<std::uint64_t>> m_crashes;
};

/// Parts the blame for each crash among all that were there; a whole server's worth in three crashes, and the request
/// is held. What ends well is cleared.
class SharingJudge {
public:
    void note_crash(Policy::CrashWitness const& witness, Core::MonotonicTime)
    {
        m_present[witness.server.life].insert(witness.digest);
        m_crashes[witness.digest].insert(witness.server.life);
    }
    void note_good_end(Core::RequestDigest const& digest, Core::MonotonicTime)
    {
        for (auto const life : m_crashes[digest])
            m_present[life].erase(digest);
        m_crashes.erase(digest);
    }
    void turn(Core::MonotonicTime) { }
    bool is_held(Core::RequestDigest const& digest, Core::MonotonicTime)
    {
        auto const found = m_crashes.find(digest);
        if (found == m_crashes.end() || found->second.size() < 3)
            return false;
        double blame = 0;
        for (auto const life : found->second)
            blame += 1.0 / static_cast<double>(m_present[life].size());
        return blame >= 1;
    }
    bool is_in_doubt(Core::RequestDigest const&, Core::MonotonicTime) { return false; }
    std::vector<std::uint64_t> places_crashed(Core::RequestDigest const&) { return {}; }

private:
    std::map<std::uint64_t, std::set<Core::RequestDigest>> m_present;
    std::map<Core::RequestDigest, std::set<std::uint64_t>> m_crashes;
};

/// The product's own way.
class LedgerJudge {
public:
    void note_crash(Policy::CrashWitness const& witness, Core::MonotonicTime now) { m_ledger.note_crash(witness, now); }
    void note_good_end(Core::RequestDigest const& digest, Core::MonotonicTime now)
    {
        m_ledger.note_good_end(digest, now);
    }
    void turn(Core::MonotonicTime now) { m_ledger.turn(now); }
    bool is_held(Core::RequestDigest const& digest, Core::MonotonicTime now)
    {
        return m_ledger.is_quarantined(digest, now);
    }
    bool is_in_doubt(Core::RequestDigest const& digest, Core::MonotonicTime now)
    {
        return m_ledger.is_in_doubt(digest, now);
    }
    std::vector<std::uint64_t> places_crashed(Core::RequestDigest const& digest)
    {
        return m_ledger.places_crashed(digest);
    }

private:
    Policy::CrashLedger m_ledger;
};

/// What goes wrong in a CrashWorld.
struct CrashTrouble {
    /// Requests that crash each server that begins them, and how often each comes.
    int deadly {0};
    double arrivals_of_each {3};
    /// How many copies of it come at once.
    int copies {1};
    /// Crashes a second that no request causes, at any server.
    double own_crashes {0};
    /// A third of the servers goes at one moment, every so often; never at 0.
    Core::Milliseconds domain_period {0};
    /// Servers that crash whatever they begin.
    std::size_t broken_hosts {0};
    /// Share of the harmless requests that are one and the same.
    double popular {0};
};

struct CrashOutcome {
    /// Sends of deadly requests later than the contact time after their third crash, the most of one of them.
    int late_sends {0};
    /// Harmless requests that were held, and their callers' whole number.
    int held_harmless {0};
    int harmless {0};
    int served {0};
    int crashes {0};
};

/// A minute before nine servers, played by simulated time: harmless streams of 0.3 to 2 s, of which a broken one is
/// sent once more and its caller comes back once, and requests that crash what begins them 20 to 100 ms later. Servers
/// are back after two to four seconds. What a judge is told it knows 150 ms later, as far as gateways are apart.
template <CrashJudge Judge>
class CrashWorld {
public:
    CrashWorld(CrashTrouble trouble, unsigned seed)
        : m_trouble(trouble)
        , m_generator(seed)
    {
        m_servers.resize(s_servers);
        for (std::size_t place = 0; place < s_servers; ++place)
            m_servers[place].life = ++m_lives;
    }

    CrashOutcome play()
    {
        for (m_now = s_start; m_now < s_start + s_duration; m_now += s_step) {
            tell_judge();
            begin_servers();
            take_arrivals();
            crash_by_themselves();
            run_servers();
            m_judge.turn(m_now);
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
    static constexpr Milliseconds s_telling {150};
    static constexpr Milliseconds s_contact {3'000};
    static constexpr double s_harmless_a_second = 25;
    static constexpr Milliseconds s_just_begun {1'000};
    static constexpr Milliseconds s_doubt_tick {25};

    struct Request {
        Core::RequestDigest digest;
        bool is_deadly {false};
        /// Sends that are left in this asking, and askings that are left.
        int tries {2};
        int askings {2};
    };
    struct Run {
        Request request;
        Time begins;
        Time ends;
    };
    struct Server {
        std::uint64_t life {0};
        std::optional<Time> down_until;
        std::vector<Run> runs;
    };
    struct Later {
        Time at;
        Request request;
    };
    struct Word {
        Time at;
        Policy::CrashWitness witness;
    };

    double draw(double from, double to) { return std::uniform_real_distribution<double>(from, to)(m_generator); }
    Milliseconds draw_time(int from, int to)
    {
        return Milliseconds(std::uniform_int_distribution<int>(from, to)(m_generator));
    }
    bool happens(double a_second) { return draw(0, 1) < a_second * std::chrono::duration<double>(s_step).count(); }

    static Core::RequestDigest digest_of(std::string_view kind, int number)
    {
        return Core::RequestDigest::of(Core::concat("/", kind, "/", number), "caller", "");
    }

    void tell_judge()
    {
        std::erase_if(m_words, [&](auto const& word) {
            if (word.at > m_now)
                return false;
            m_judge.note_crash(word.witness, m_now);
            return true;
        });
    }

    void begin_servers()
    {
        for (auto& server : m_servers) {
            if (!server.down_until || *server.down_until > m_now)
                continue;
            server.down_until.reset();
            server.life = ++m_lives;
        }
    }

    void take_arrivals()
    {
        if (happens(s_harmless_a_second)) {
            ++m_outcome.harmless;
            bool const is_popular = draw(0, 1) < m_trouble.popular;
            send({is_popular ? digest_of("popular", 0) : digest_of("harmless", m_outcome.harmless), false});
        }
        for (int number = 0; number < m_trouble.deadly; ++number) {
            if (!happens(m_trouble.arrivals_of_each))
                continue;
            for (int copy = 0; copy < m_trouble.copies; ++copy)
                send({digest_of("deadly", number), true});
        }
        std::vector<Later> due;
        std::erase_if(m_later, [&](auto const& item) {
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
        if (m_judge.is_in_doubt(request.digest, m_now)) {
            m_later.push_back({m_now + s_doubt_tick, request});
            return;
        }
        if (m_judge.is_held(request.digest, m_now)) {
            m_outcome.held_harmless += request.is_deadly ? 0 : 1;
            return;
        }
        auto* const server = choose(request.digest);
        if (server == nullptr)
            return come_back(request);
        --request.tries;
        if (request.is_deadly)
            count_send(request.digest);
        auto const begins = m_now + draw_time(20, 150);
        auto const lasts = request.is_deadly ? draw_time(20, 100) : draw_time(300, 2'000);
        server->runs.push_back({request, begins, begins + lasts});
    }

    Server* choose(Core::RequestDigest const& digest)
    {
        auto const avoided = m_judge.places_crashed(digest);
        std::vector<Server*> up;
        std::vector<Server*> better;
        for (std::size_t place = 0; place < s_servers; ++place) {
            if (m_servers[place].down_until)
                continue;
            up.push_back(&m_servers[place]);
            if (std::ranges::find(avoided, place) == avoided.end())
                better.push_back(&m_servers[place]);
        }
        auto const& among = better.empty() ? up : better;
        if (among.empty())
            return nullptr;
        return among[std::uniform_int_distribution<std::size_t>(0, among.size() - 1)(m_generator)];
    }

    void come_back(Request request)
    {
        if (--request.askings <= 0)
            return;
        request.tries = 2;
        m_later.push_back({m_now + draw_time(100, 500), request});
    }

    void count_send(Core::RequestDigest const& digest)
    {
        auto const& times = m_deadly_crashes[digest];
        if (times.size() >= 3 && m_now > times[2] + s_contact)
            ++m_late_sends[digest];
    }

    void crash_by_themselves()
    {
        for (auto& server : m_servers) {
            if (happens(m_trouble.own_crashes / s_servers))
                crash(server);
        }
        auto const passed = Core::elapsed(s_start, m_now);
        if (m_trouble.domain_period.count() == 0 || passed.count() % m_trouble.domain_period.count() != 0)
            return;
        for (std::size_t place = 0; place < s_servers; place += 3)
            crash(m_servers[place]);
    }

    void crash(Server& server)
    {
        if (server.down_until)
            return;
        ++m_outcome.crashes;
        server.down_until = m_now + draw_time(2'000, 4'000);
        auto const place = static_cast<std::uint64_t>(&server - m_servers.data());
        for (auto const& run : std::exchange(server.runs, {})) {
            bool const has_just_begun = run.begins <= m_now && m_now - run.begins <= s_just_begun;
            m_words.push_back({m_now + s_telling,
                {run.request.digest, {server.life, place, 1},
                    has_just_begun ? Policy::Exposure::Fresh : Policy::Exposure::Weak, m_now}});
            if (run.request.tries > 0)
                m_later.push_back({m_now, run.request});
            else
                come_back(run.request);
        }
    }

    void run_servers()
    {
        for (std::size_t place = 0; place < s_servers; ++place) {
            auto& server = m_servers[place];
            auto const has_begun = [&](auto const& run) { return run.begins <= m_now; };
            bool const is_broken = place < m_trouble.broken_hosts && std::ranges::any_of(server.runs, has_begun);
            auto const killer = std::ranges::find_if(
                server.runs, [&](auto const& run) { return run.request.is_deadly && run.ends <= m_now; });
            if (killer != server.runs.end())
                m_deadly_crashes[killer->request.digest].push_back(m_now);
            if (is_broken || killer != server.runs.end()) {
                crash(server);
                continue;
            }
            std::erase_if(server.runs, [&](auto const& run) {
                if (run.ends > m_now)
                    return false;
                ++m_outcome.served;
                m_judge.note_good_end(run.request.digest, m_now);
                return true;
            });
        }
    }

    CrashTrouble m_trouble;
    std::mt19937 m_generator;
    Judge m_judge;
    Time m_now {s_start};
    std::uint64_t m_lives {0};
    std::vector<Server> m_servers;
    std::vector<Later> m_later;
    std::vector<Word> m_words;
    std::map<Core::RequestDigest, std::vector<Time>> m_deadly_crashes;
    std::map<Core::RequestDigest, int> m_late_sends;
    CrashOutcome m_outcome;
};

}
