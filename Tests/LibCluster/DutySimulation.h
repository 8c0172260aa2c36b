#pragma once

// Simulates gateways, an object store and a recipient of usage reports in simulated time, with injected faults.
#include "NullDescriptor.h"

#include <LibCluster/UsageReporter.h>
#include <LibCore/Text.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace GraniteField::Cluster::Testing {

/// A call that reached the recipient.
struct Arrival {
    Core::MonotonicTime at;
    std::string host;
    std::uint64_t token {0};
    UsageReport report;
    bool is_accepted {false};
};

/// Faults that are injected at present.
struct Faults {
    bool is_store_down {false};
    /// Probability that a write takes effect but its answer is lost, and that it takes effect seconds later.
    double lost_answers {0};
    double late_writes {0};
    bool is_recipient_down {false};
    double lost_report_answers {0};
    double over_rate {0};
    /// Longest time for which a process is suspended between reading its clock and sending.
    Core::Milliseconds longest_sleep {0};
};

class Simulation;

/// The environment of one gateway's reporter: its clock, the store and the recipient.
class Host {
public:
    Host(Simulation& the_simulation, std::size_t number);

    // Interface of the store.
    std::optional<Platform::Object> read(std::string_view kind, std::string_view name);
    Platform::ObjectVersion create(std::string_view kind, std::string_view name, Platform::Json const&);
    Platform::ObjectVersion update(
        std::string_view kind, std::string_view name, Platform::ObjectVersion, Platform::Json const&);
    // Interface of the recipient.
    ReportOutcome send(UsageReport const&, DutyCredentials const&, Core::Milliseconds limit);

    Simulation& simulation;
    std::string name;
    /// Time until which the process is blocked in a call or suspended.
    Core::MonotonicTime now;
    bool is_cut_from_peers {false};
    bool is_cut_from_store {false};
    bool is_cut_from_recipient {false};
    /// Error of this host's wall clock.
    Core::Milliseconds clock_error {0};

private:
    Platform::ObjectVersion write(std::uint64_t expected, Platform::Json const&);
};

/// One gateway process. A restarted gateway is a new object.
class Node {
public:
    Node(Simulation& simulation, std::size_t number, std::uint64_t incarnation);

    void tick(Core::MonotonicTime now);

    Host host;
    std::uint64_t incarnation;
    GraniteField::Testing::NullDescriptor descriptor;
    Observe::MetricRegistry metrics;
    Observe::EventLog log;
    SharedDuty shared;
    UsageReporter<Host, Host> reporter;

private:
    [[nodiscard]] static DutySettings settings_of(std::size_t number);
};

/// The whole simulation. Calls take effect when they are made, except for late writes; their answers take time.
class Simulation {
public:
    static constexpr Core::Milliseconds s_step {10};
    static constexpr Core::Milliseconds s_exchange_interval {100};
    static constexpr Core::Milliseconds s_latency {2};
    static constexpr Core::Milliseconds s_call_time {4};
    static constexpr Core::Milliseconds s_timeout {800};
    /// Number of workspaces; each gateway counts one request of each in every exchange interval.
    static constexpr std::size_t s_workspaces = 3;

    explicit Simulation(std::size_t count, std::uint64_t seed = 1)
        : generator(seed)
    {
        for (std::size_t number = 0; number < count; ++number)
            nodes.push_back(std::make_unique<Node>(*this, number, ++m_incarnations));
    }

    /// Advances the simulated time; `counts` says whether gateways count requests meanwhile.
    void play(Core::Milliseconds duration, bool counts = true)
    {
        for (auto const end = now + duration; now < end; now += s_step) {
            std::erase_if(m_late_writes, [this](auto const& late) {
                bool const is_due = late.first <= now;
                if (is_due)
                    late.second();
                return is_due;
            });
            if ((now - s_start) % s_exchange_interval == Core::MonotonicTime::duration::zero())
                exchange(counts);
            for (auto& node : nodes) {
                if (node && node->host.now <= now)
                    node->tick(now);
            }
        }
    }

    void kill(std::size_t number) { nodes.at(number).reset(); }
    void start(std::size_t number)
    {
        if (nodes.at(number))
            return;
        m_has_newcomer = true;
        nodes[number] = std::make_unique<Node>(*this, number, ++m_incarnations);
    }

    /// Returns the index of the gateway that considers itself the holder, or the number of gateways if there is none.
    [[nodiscard]] std::size_t holder() const
    {
        auto const found
            = std::ranges::find_if(nodes, [](auto const& node) { return node && node->reporter.is_holding(); });
        return static_cast<std::size_t>(found - nodes.begin());
    }

    [[nodiscard]] bool happens(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(generator) < probability;
    }

    [[nodiscard]] WallTime true_time(Core::MonotonicTime time) const
    {
        return WallTime(std::chrono::duration_cast<Core::Milliseconds>(time.time_since_epoch()) + s_epoch);
    }

    /// Applies a write to the store; returns nullopt if its condition does not hold.
    std::optional<std::uint64_t> apply(std::uint64_t expected, Platform::Json const& spec)
    {
        if (version != expected)
            return std::nullopt;
        version = ++revision;
        object = spec;
        return version;
    }
    void apply_later(std::uint64_t expected, Platform::Json const& spec, Core::MonotonicTime at)
    {
        m_late_writes.emplace_back(at, [this, expected, spec] { apply(expected, spec); });
    }

    [[nodiscard]] std::vector<Arrival> arrivals_in_order() const
    {
        auto sorted = arrivals;
        std::ranges::stable_sort(sorted, {}, &Arrival::at);
        return sorted;
    }

    static inline Core::MonotonicTime const s_start {std::chrono::hours(1)};
    static constexpr Core::Milliseconds s_epoch {std::chrono::hours(24 * 365 * 50)};
    Core::MonotonicTime now {s_start};
    std::mt19937_64 generator;
    Faults faults;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Arrival> arrivals;
    std::uint64_t store_calls {0};
    std::uint64_t version {0};
    std::uint64_t revision {100};
    Platform::Json object;
    /// The actual counts.
    std::map<UsageWindow, UsageCounts> truth;

private:
    void exchange(bool counts)
    {
        bool has_newcomer = std::exchange(m_has_newcomer, false);
        for (auto& node : nodes) {
            if (!node)
                continue;
            node->shared.tick(true_time(now) + node->host.clock_error, now);
            if (counts)
                count(*node);
        }
        for (auto& from : nodes) {
            if (!from || from->host.is_cut_from_peers)
                continue;
            auto usage = from->shared.take_changes(s_max_counts);
            // A gateway that has just started receives all counts.
            if (std::exchange(has_newcomer, false))
                usage = from->shared.usage_snapshot(s_max_counts);
            auto status = from->shared.status();
            status.version_seen += s_latency;
            for (auto& to : nodes) {
                if (!to || to == from || to->host.is_cut_from_peers)
                    continue;
                to->shared.merge_status(status);
                to->shared.add_clock_reading(from->incarnation, {true_time(now) + from->host.clock_error}, now);
                to->shared.follow_clock_readings(now);
                for (auto const& item : usage)
                    to->shared.merge_usage(item, UsageLedger::Relaying::No);
            }
        }
    }

    void count(Node& node)
    {
        auto const window = window_at(true_time(now), node.shared.settings().window);
        for (std::size_t number = 0; number < s_workspaces; ++number) {
            auto const workspace = Core::concat("workspace-", number);
            node.shared.count(workspace, now);
            ++truth[window][workspace];
        }
    }

    static constexpr std::size_t s_max_counts = 10'000;
    bool m_has_newcomer {false};
    std::uint64_t m_incarnations {0};
    std::deque<std::pair<Core::MonotonicTime, std::function<void()>>> m_late_writes;
};

inline DutySettings Node::settings_of(std::size_t number)
{
    DutySettings settings;
    settings.name = Core::concat("gateway-", number);
    settings.address = Core::concat("10.0.0.", number, ":1");
    return settings;
}

inline Host::Host(Simulation& the_simulation, std::size_t number)
    : simulation(the_simulation)
    , name(Core::concat("gateway-", number))
    , now(the_simulation.now)
{
}

inline Node::Node(Simulation& simulation, std::size_t number, std::uint64_t the_incarnation)
    : host(simulation, number)
    , incarnation(the_incarnation)
    , log(descriptor.number(), host.name, Core::Incarnation(the_incarnation), metrics)
    , shared({}, the_incarnation, simulation.now)
    , reporter(
          settings_of(number), the_incarnation, static_cast<double>(number % 8) / 8, [this] { return host.now; },
          shared, host, host, log, metrics)
{
    reporter.set_watching(number < 4);
}

inline void Node::tick(Core::MonotonicTime time)
{
    host.now = time;
    auto const pause = reporter.step();
    host.now += std::max(pause, Simulation::s_step);
}

inline std::optional<Platform::Object> Host::read(std::string_view, std::string_view object_name)
{
    ++simulation.store_calls;
    if (simulation.faults.is_store_down || is_cut_from_store) {
        now += Simulation::s_timeout;
        throw Platform::PlatformUnavailable("down");
    }
    now += Simulation::s_call_time;
    if (simulation.version == 0)
        return std::nullopt;
    return Platform::Object {std::string(object_name), Platform::ObjectVersion(simulation.version), simulation.object};
}

inline Platform::ObjectVersion Host::write(std::uint64_t expected, Platform::Json const& spec)
{
    ++simulation.store_calls;
    if (simulation.faults.is_store_down || is_cut_from_store) {
        now += Simulation::s_timeout;
        throw Platform::PlatformUnavailable("down");
    }
    if (simulation.happens(simulation.faults.late_writes)) {
        auto const delay = std::uniform_int_distribution<std::int64_t>(200, 6'000)(simulation.generator);
        simulation.apply_later(expected, spec, now + Core::Milliseconds(delay));
        now += Simulation::s_timeout;
        throw Platform::PlatformUnavailable("no answer");
    }
    auto const version = simulation.apply(expected, spec);
    if (simulation.happens(simulation.faults.lost_answers)) {
        now += Simulation::s_timeout;
        throw Platform::PlatformUnavailable("no answer");
    }
    now += Simulation::s_call_time;
    if (!version)
        throw Platform::VersionConflict("another version");
    return Platform::ObjectVersion(*version);
}

inline Platform::ObjectVersion Host::create(std::string_view, std::string_view, Platform::Json const& spec)
{
    return write(0, spec);
}

inline Platform::ObjectVersion Host::update(
    std::string_view, std::string_view, Platform::ObjectVersion expected, Platform::Json const& spec)
{
    return write(expected.value(), spec);
}

inline ReportOutcome Host::send(UsageReport const& report, DutyCredentials const& credentials, Core::Milliseconds limit)
{
    auto const longest = simulation.faults.longest_sleep.count();
    now += Core::Milliseconds(std::uniform_int_distribution<std::int64_t>(0, longest)(simulation.generator));
    if (simulation.faults.is_recipient_down || is_cut_from_recipient) {
        now += limit;
        return ReportOutcome::Failed;
    }
    bool const is_refused = simulation.happens(simulation.faults.over_rate);
    simulation.arrivals.push_back({now, name, credentials.token, report, !is_refused});
    if (is_refused) {
        now += Simulation::s_call_time;
        return ReportOutcome::OverRate;
    }
    bool const is_lost = simulation.happens(simulation.faults.lost_report_answers);
    now += is_lost ? limit : Simulation::s_call_time;
    return is_lost ? ReportOutcome::Failed : ReportOutcome::Accepted;
}

}
