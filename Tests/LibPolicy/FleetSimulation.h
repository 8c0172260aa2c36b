#pragma once

// Simulates gateways that admit requests of several workspaces to one service with a fixed capacity. The service works
// off its backlog at a constant rate, and gateways know the backlog 150 ms late.
#include <LibPolicy/Admission.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace GraniteField::Policy::Testing {

using namespace std::chrono_literals;

struct FleetLoad {
    std::size_t gateways {20};
    std::size_t workspaces {24};
    /// Requests per second of all workspaces together, each of 100 units of work.
    double requests_per_second {500};
    /// Work per second that the service does.
    double capacity {55'000};
    /// Factor for the requests of the last workspace between s_flood_start and s_flood_end.
    double flood {1};
    /// Factor for the requests of all workspaces in the first three seconds from s_flood_start.
    double burst {1};
    /// Part of the flooding workspace's requests that arrive at the first gateway.
    double flood_at_first_gateway {0};
    /// Part of all requests that arrive at the first half of the gateways.
    double first_half {0.5};
    AdmissionSettings settings;
    /// Whether gateways receive each other's reports.
    bool is_connected {true};
    /// Time at which every second gateway restarts, without any knowledge.
    Core::Milliseconds restart {0};
    std::uint32_t seed {1};
};

struct FleetOutcome {
    struct Counts {
        unsigned requested {0};
        unsigned in_time {0};
        unsigned rejected {0};
        unsigned rejected_again {0};
    };

    /// During the flood.
    std::map<std::size_t, Counts> workspaces;
    std::map<std::size_t, Counts> gateways;
    /// From four seconds after the flood, when callers that were rejected have returned.
    Counts flooding_after;

    [[nodiscard]] Counts others(std::size_t flooding) const
    {
        Counts sum;
        for (auto const& [workspace, counts] : workspaces) {
            if (workspace == flooding)
                continue;
            sum.requested += counts.requested;
            sum.in_time += counts.in_time;
            sum.rejected += counts.rejected;
            sum.rejected_again += counts.rejected_again;
        }
        return sum;
    }
};

class FleetSimulation {
public:
    static constexpr Core::Milliseconds s_flood_start {5'000};
    static constexpr Core::Milliseconds s_flood_end {20'000};
    static constexpr Core::Milliseconds s_end {27'000};
    static constexpr Core::Milliseconds s_report_interval {250};
    static constexpr Core::Milliseconds s_report_delay {150};
    static constexpr FractionalMilliseconds s_target {1'000};
    static constexpr FractionalMilliseconds s_patience {8'000};
    static constexpr double s_work {100};

    explicit FleetSimulation(FleetLoad const& load)
        : m_load(load)
        , m_random(load.seed)
    {
        for (std::size_t number = 0; number < load.gateways; ++number)
            m_gateways.push_back(make_gateway());
    }

    [[nodiscard]] FleetOutcome simulate()
    {
        for (; m_now < s_end; m_now += 1ms) {
            m_backlog = std::max(0.0, m_backlog - m_load.capacity / 1'000);
            m_known_backlogs.push_back(m_backlog);
            if (m_load.restart.count() > 0 && m_now == m_load.restart)
                restart_half();
            exchange_reports();
            start_waiting();
            arrive();
            return_callers();
        }
        return m_outcome;
    }

    [[nodiscard]] std::size_t flooding() const { return m_load.workspaces - 1; }

private:
    struct Caller {
        std::size_t workspace {0};
        ReturnLine::Fingerprint fingerprint {0};
        Core::Milliseconds received {0};
        bool has_returned {false};
    };

    [[nodiscard]] std::unique_ptr<Admission> make_gateway() const
    {
        auto admission = std::make_unique<Admission>();
        admission->set_settings(m_load.settings);
        return admission;
    }

    [[nodiscard]] static Core::MonotonicTime at(Core::Milliseconds time) { return Core::MonotonicTime(1h) + time; }
    [[nodiscard]] bool is_flood() const { return m_now >= s_flood_start && m_now < s_flood_end; }
    [[nodiscard]] bool draw(double probability) { return std::bernoulli_distribution(probability)(m_random); }

    void restart_half()
    {
        for (std::size_t number = 0; number < m_gateways.size(); number += 2)
            m_gateways[number] = make_gateway();
    }

    /// Sums up all reports, as relays do, and hands them to all gateways.
    void exchange_reports()
    {
        if (!m_load.is_connected || m_now.count() % s_report_interval.count() != 0)
            return;
        FleetDemand relay;
        for (std::size_t number = 0; number < m_gateways.size(); ++number) {
            auto& gateway = *m_gateways[number];
            relay.receive_from_gateway(number, gateway.demand().own_report(at(m_now)), at(m_now));
            for (auto const& place : gateway.return_line().take_unreported())
                m_places.push_back(place);
            for (auto const& sample : gateway.wait_samples().take_unreported())
                m_samples.push_back({number, sample});
        }
        auto const report = relay.relayed_report(at(m_now));
        for (std::size_t number = 0; number < m_gateways.size(); ++number) {
            auto& gateway = *m_gateways[number];
            gateway.demand().remove_silent(at(m_now));
            gateway.demand().receive_from_relay(1, report, at(m_now));
            for (auto const& place : m_places)
                gateway.return_line().receive(place);
            for (auto const& [source, sample] : m_samples) {
                if (source != number)
                    gateway.receive(sample, at(m_now));
            }
        }
        m_places.clear();
        m_samples.clear();
    }

    [[nodiscard]] double rate_of(std::size_t workspace) const
    {
        bool const is_burst = m_now >= s_flood_start && m_now < s_flood_start + 3s;
        auto const even
            = m_load.requests_per_second / static_cast<double>(m_load.workspaces) * (is_burst ? m_load.burst : 1);
        return workspace == flooding() && is_flood() ? even * m_load.flood : even;
    }

    void arrive()
    {
        for (std::size_t workspace = 0; workspace < m_load.workspaces; ++workspace) {
            auto const count = std::poisson_distribution<unsigned>(rate_of(workspace) / 1'000)(m_random);
            for (unsigned number = 0; number < count; ++number)
                ask({workspace, ++m_last_fingerprint, m_now, false});
        }
    }

    void return_callers()
    {
        auto const end = m_returning.upper_bound(m_now);
        std::vector<Caller> due;
        for (auto item = m_returning.begin(); item != end; ++item)
            due.push_back(item->second);
        m_returning.erase(m_returning.begin(), end);
        for (auto& caller : due) {
            caller.has_returned = true;
            ask(caller);
        }
    }

    [[nodiscard]] std::size_t pick_gateway(Caller const& caller)
    {
        if (caller.workspace == flooding() && draw(m_load.flood_at_first_gateway))
            return 0;
        auto const half = m_gateways.size() / 2;
        auto const first = draw(m_load.first_half) ? 0 : half;
        return first + std::uniform_int_distribution<std::size_t>(0, half - 1)(m_random);
    }

    void ask(Caller const& caller)
    {
        auto const number = pick_gateway(caller);
        auto& gateway = *m_gateways[number];
        auto const known = m_known_backlogs.size() > static_cast<std::size_t>(s_report_delay.count())
            ? m_known_backlogs[m_known_backlogs.size() - static_cast<std::size_t>(s_report_delay.count())]
            : 0;
        FractionalMilliseconds const predicted(known / m_load.capacity * 1'000);
        auto const workspace = "workspace-" + std::to_string(caller.workspace);
        AdmissionRequest const request {m_service, m_class, 2, FractionalMilliseconds(0), predicted, s_target,
            s_patience - (m_now - caller.received), workspace, s_work, caller.fingerprint};
        auto const rejection
            = gateway.check(request, std::uniform_real_distribution<double>(0, 1)(m_random), at(m_now));
        FractionalMilliseconds const wait(m_backlog / m_load.capacity * 1'000);
        count(caller, number, rejection.has_value(), wait <= s_target);
        if (!rejection) {
            m_backlog += s_work;
            m_waiting.emplace(m_now + std::chrono::ceil<Core::Milliseconds>(wait), Started {number, predicted, wait});
        } else if (!caller.has_returned)
            m_returning.emplace(m_now + rejection->retry_after, caller);
    }

    void start_waiting()
    {
        auto const end = m_waiting.upper_bound(m_now);
        for (auto item = m_waiting.begin(); item != end; ++item) {
            auto const& [gateway, predicted, wait] = item->second;
            m_gateways[gateway]->note_wait(m_service, m_class, predicted, wait, at(m_now));
        }
        m_waiting.erase(m_waiting.begin(), end);
    }

    void count(Caller const& caller, std::size_t gateway, bool is_rejected, bool is_in_time)
    {
        auto const add = [&](FleetOutcome::Counts& counts) {
            counts.requested += caller.has_returned ? 0 : 1;
            counts.in_time += !is_rejected && is_in_time && !caller.has_returned ? 1 : 0;
            counts.rejected += is_rejected && !caller.has_returned ? 1 : 0;
            counts.rejected_again += is_rejected && caller.has_returned ? 1 : 0;
        };
        if (is_flood()) {
            add(m_outcome.workspaces[caller.workspace]);
            add(m_outcome.gateways[gateway]);
        }
        if (m_now >= s_flood_end + 4s && caller.workspace == flooding())
            add(m_outcome.flooding_after);
    }

    struct Started {
        std::size_t gateway {0};
        FractionalMilliseconds predicted {0};
        FractionalMilliseconds wait {0};
    };

    FleetLoad m_load;
    std::mt19937 m_random;
    std::string m_service {"svc"};
    std::string m_class {"case"};
    std::vector<std::unique_ptr<Admission>> m_gateways;
    Core::Milliseconds m_now {0};
    double m_backlog {0};
    std::vector<double> m_known_backlogs;
    std::multimap<Core::Milliseconds, Caller> m_returning;
    std::multimap<Core::Milliseconds, Started> m_waiting;
    std::vector<ReturnLine::Place> m_places;
    std::vector<std::pair<std::size_t, WaitSample>> m_samples;
    ReturnLine::Fingerprint m_last_fingerprint {0};
    FleetOutcome m_outcome;
};

}
