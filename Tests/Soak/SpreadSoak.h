#pragma once

#include "ConfigurationTrail.h"
#include "ContactBook.h"
#include "FakeBackend.h"
#include "FaultProxy.h"
#include "FaultSeries.h"
#include "GatewayFleet.h"
#include "ProcessorShares.h"
#include "RotatingBackend.h"
#include "SignalBackend.h"
#include "SignalJudges.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace GraniteField::Testing {

/// A fleet of gateways as processes, with the settings that they are deployed with, whose configuration and backend
/// servers change while faults from a seed come and go. Judges as the users do, all the while, from what callers get
/// and backend servers receive: each added, moved and removed route, each key given and taken, and each server that
/// leaves, at every gateway in touch from the promised time after the store's answer on; and that no gateway goes back
/// within a life.
class SpreadSoak {
public:
    struct Options {
        unsigned seed {1};
        Core::Milliseconds length {30'000};
        unsigned gateways {12};
        /// Routes that a large configuration has.
        unsigned most_routes {300};
        /// By how many routes each change lets the configuration grow up to that; 0 lets the seed draw its size.
        unsigned growth {0};
        /// The pause between two changes, from the least to the most.
        Core::Milliseconds least_pause {200};
        Core::Milliseconds most_pause {4'500};
        /// The share of a core that four gateways in five get, the fifth has half a core; 0 for all that they want.
        double processor_share {0};
        /// What the link of such a host carries, in bytes a second and each direction; 0 for no limit.
        std::size_t link_rate {0};
        /// Without faults only changes come.
        bool has_faults {true};
        /// Whether backend servers state things about themselves.
        bool has_signals {false};
        /// Whether backend servers leave in overlapping series, while the watchers and relays among the gateways fail
        /// together and many gateways are killed at once.
        bool has_leaving_series {false};
        /// Backend servers of each of the two services.
        std::size_t backends {4};
        /// Connections on which callers ask each gateway at once.
        unsigned callers {1};
        /// The promise: how long after the store's answer a change holds, and a leaving server is left alone.
        Core::Milliseconds apply_bound {3'000};
        Core::Milliseconds leave_bound {3'000};
    };

    struct Report {
        std::vector<std::string> problems;
        std::map<std::string, unsigned> faults;
        /// Answers by status, and how many of them were judged.
        std::map<std::string, unsigned> answers;
        unsigned changes {0};
        /// Requests that were judged against a stated rate limit.
        std::size_t limited_arrivals {0};
        /// Servers that stated to a gateway that they leave.
        std::size_t left_alone {0};
        /// Rejections with Retry-After that were judged.
        std::size_t backoffs {0};
        /// How long after the store's answer each gateway in touch was first seen to have each version, sorted.
        std::vector<Core::Milliseconds> delays;
    };

    explicit SpreadSoak(Options);
    ~SpreadSoak();
    SpreadSoak(SpreadSoak const&) = delete;
    SpreadSoak& operator=(SpreadSoak const&) = delete;

    /// Draws changes, faults and leaving servers for the length of the options.
    [[nodiscard]] Report run();
    /// The same for a script, which draws nothing. It is called once callers ask all gateways.
    [[nodiscard]] Report run(std::function<void()> const& script);

    // Steps of a script.
    void pass(Core::Milliseconds);
    void change_configuration();
    /// All gateways that watch the store end, and are not started again within that time.
    void lose_watchers(Core::Milliseconds down) { kill(watchers(), down, down); }
    /// The store gives no answer any more to the gateways that watch it, for that time.
    void silence_store_for_watchers(Core::Milliseconds);
    enum class Leaving {
        Stated,
        EntryRemoved,
    };
    /// The first server of a service that is not leaving yet leaves.
    void let_server_leave(std::string const& service, Leaving);

private:
    using Indices = std::vector<std::size_t>;

    struct Slot {
        GatewayFleet::Gateway gateway;
        std::unique_ptr<FaultProxy> store;
        std::unique_ptr<FaultProxy> peers;
        Json settings;
        double share {0};
        /// It is stopped, killed or ending: no further fault hits the process.
        bool is_busy {false};
        std::atomic<std::uint16_t> callers {0};
        /// The life of the process, for what it was seen to have.
        std::atomic<unsigned> life {0};
        Core::MonotonicTime begun;
    };

    /// What a gateway was seen to have in its present life.
    struct Seen {
        unsigned life {0};
        /// The oldest version that its answers allow, and since when.
        unsigned version {0};
        Core::MonotonicTime since;
        unsigned version_before {0};
    };

    void make_settings(std::size_t index);
    [[nodiscard]] std::uint16_t draw_load_port();
    [[nodiscard]] GatewayFleet::Gateway start_process(std::size_t index);
    void start_gateway(std::size_t index);
    void rotate_backends();
    /// The server states that it leaves, or its entry goes. It is replaced some time after the bound.
    void leave(RotatingBackend&, Leaving, Core::Milliseconds served_on);
    /// Some servers of a service leave at once or one after the other. A few always stay.
    void begin_leaving_series();
    /// The gateways on which the others depend fail together, or many gateways are killed at once.
    void begin_joint_fault();
    void judge_arrivals();
    /// Another instance takes the place of that one, if none has done so yet.
    void replace(RotatingBackend&, std::string const& instance);
    /// A server states something about itself for a while. Each kind is drawn apart, so that what else a seed draws
    /// stays the same.
    void begin_rate_limit();
    void begin_leaving();
    void begin_backoff();

    void begin_fault();
    /// Ends them, each for a time between the two.
    void kill(Indices const&, Core::Milliseconds least_down, Core::Milliseconds most_down);
    void terminate(Indices const&);
    void freeze(Indices const&);
    void slow_down(Indices const&);
    void cut_from_store(Indices const&);
    void cut_off(Indices const&);
    void reset_connections(Indices const&);
    void trouble_store();
    /// Notes the disturbance and how it ends.
    void disturb(std::string const& what, Indices const&, Core::Milliseconds length, std::function<void(Slot&)> begin,
        std::function<void(Slot&)> end);
    [[nodiscard]] Indices draw_gateways();
    void draw_until_over();
    [[nodiscard]] Core::Milliseconds draw_time(unsigned least, unsigned most);
    [[nodiscard]] unsigned draw_filler_routes();
    [[nodiscard]] Indices watchers() const { return gateways_with("granitefield_store_watching"); }
    [[nodiscard]] Indices relays() const { return gateways_with("granitefield_load_relay"); }
    /// The gateways of which that metric is 1, without those under a fault.
    [[nodiscard]] Indices gateways_with(std::string const& metric) const;

    void call_until_stopped(std::size_t index, unsigned caller);
    /// Asks until the gateway closes the connection or the soak ends.
    void ask_on_one_connection(std::size_t index, std::mt19937&, unsigned& number);
    enum class ConnectionState {
        Open,
        Closed,
    };
    [[nodiscard]] ConnectionState ask_round(
        std::size_t index, unsigned life, RawCaller&, std::mt19937&, unsigned& number);
    struct Question {
        Sighting sighting;
        std::string path;
        std::string key;
    };
    [[nodiscard]] std::vector<Question> questions(std::mt19937&) const;
    void judge(std::size_t index, unsigned life, Sighting const&, std::string const& id);
    void note_delay(std::size_t index, unsigned version, Core::MonotonicTime now);
    void note_problem(std::string);
    [[nodiscard]] std::string at(Core::MonotonicTime) const;

    Options m_options;
    std::mt19937 m_random;
    std::mt19937 m_limit_random;
    std::mt19937 m_leaving_random;
    std::mt19937 m_backoff_random;
    std::mt19937 m_series_random;
    Core::MonotonicTime m_begun {Core::monotonic_now()};
    ContactBook m_contact;
    SignalJudges m_judges;
    ConfigurationTrail m_trail;
    GatewayFleet m_fleet;
    ProcessorShares m_shares;
    std::vector<std::unique_ptr<RotatingBackend>> m_backends;
    std::deque<Slot> m_slots;
    FaultSeries m_faults;
    unsigned m_next_life {0};
    std::set<std::uint16_t> m_load_ports;

    // The configuration.
    unsigned m_version {0};
    std::deque<std::string> m_paths;
    std::deque<std::string> m_keys;
    unsigned m_filler_routes {0};
    bool m_moves_to_second {false};

    mutable std::mutex m_mutex;
    std::deque<std::string> m_removed_paths;
    std::deque<std::string> m_removed_keys;
    std::vector<Seen> m_seen;
    Report m_report;
    std::atomic<bool> m_should_stop {false};
};

}
