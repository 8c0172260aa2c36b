#pragma once

#include "BudgetBackend.h"
#include "ContactBook.h"
#include "FaultProxy.h"
#include "FaultSeries.h"
#include "GatewayFleet.h"
#include "ProcessorShares.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace GraniteField::Testing {

/// A fleet of gateways as processes, with the settings and the number of servers of a deployment, before servers that
/// crash, stall, fail and ask for backoff while gateways are killed, stopped and cut off. Judges all along what the
/// servers receive.
class BudgetSoak {
public:
    /// What a deployment has.
    struct Shape {
        unsigned gateways;
        unsigned engines;
        unsigned plain_servers;
        double slack;
    };
    static constexpr Shape s_hrubec_pay {4, 9, 3, 54};
    static constexpr Shape s_pwani_charts {5, 9, 4, 56};

    /// How deadly requests crash servers, and how often they come.
    struct DeadlyRequests {
        BudgetBackend::CrashMoment moment {BudgetBackend::CrashMoment::AfterHead};
        bool is_framed {true};
        bool are_plain {false};
        /// One of so many requests of their kind is deadly.
        unsigned period {4};
    };

    struct Options {
        unsigned seed {1};
        Core::Milliseconds length {20'000};
        Shape shape {s_hrubec_pay};
        unsigned callers {30};
        /// Mean pause of a caller between two requests.
        Core::Milliseconds pause {800};
        /// Share of a core that each gateway gets; 0 for all that it wants.
        double processor_share {0.19};
        /// Whether each server that crashes is started again at once, as by a supervisor.
        bool has_immediate_restarts {false};
        /// How deadly requests and parts crash servers; if not set, drawn for each series of them.
        std::optional<DeadlyRequests> deadly {};
        /// Whether faults are drawn. Without, only a script disturbs.
        bool has_faults {true};
    };

    struct Report {
        std::vector<std::string> problems;
        std::map<std::string, unsigned> answers;
        std::map<std::string, unsigned> faults;
        std::map<std::string, RepeatedSendJudge::Peak> peaks;
        std::size_t late_repeats {0};
        std::size_t backoffs {0};
        std::size_t crashing_subjects {0};
    };

    explicit BudgetSoak(Options);
    ~BudgetSoak();
    BudgetSoak(BudgetSoak const&) = delete;
    BudgetSoak& operator=(BudgetSoak const&) = delete;

    /// Draws faults for the length of the options.
    [[nodiscard]] Report run();
    /// The same for a script, which draws nothing.
    [[nodiscard]] Report run(std::function<void()> const& script);

    // Steps of a script.
    void pass(Core::Milliseconds);
    /// All servers of the service stop reading for so long, and stay listed.
    void stall_service(std::string const& service, Core::Milliseconds);
    /// One gateway after the other is killed and started again at once, with that pause between two.
    void kill_gateways_in_turn(Core::Milliseconds pause, Core::Milliseconds length);
    /// Callers send one request, or requests with one part, that crash each server that begins them.
    void send_deadly_requests(DeadlyRequests const&, Core::Milliseconds);
    void send_deadly_parts(DeadlyRequests const&, Core::Milliseconds);

    static constexpr char const* s_engine_service = "engines";
    static constexpr char const* s_plain_service = "payments";

private:
    struct Slot {
        GatewayFleet::Gateway gateway;
        std::unique_ptr<FaultProxy> store;
        std::unique_ptr<FaultProxy> peers;
        Json settings;
        /// A fault holds the process already.
        bool is_busy {false};
        std::atomic<std::uint16_t> callers {0};
    };

    void make_settings(std::size_t index);
    [[nodiscard]] std::uint16_t draw_load_port();
    void start_gateway(std::size_t index);
    void put_configuration();
    void enter(BudgetBackend const&);

    void draw_until_over();
    void begin_fault();
    void fault_gateway(std::size_t index);
    void kill_gateway(std::size_t index, Core::Milliseconds down);
    void cut_gateway(std::size_t index);
    void fault_service();
    void crash_server(BudgetBackend&);
    void begin_backoff();
    void trouble_store();
    [[nodiscard]] Core::Milliseconds draw_time(unsigned least_ms, unsigned most_ms);
    [[nodiscard]] Core::Milliseconds draw_restart_delay();
    [[nodiscard]] DeadlyRequests draw_deadly_requests();
    /// Sets how deadly requests crash servers; returns it in words.
    std::string set_crashes(DeadlyRequests const&);
    [[nodiscard]] BudgetBackend& draw_server();
    [[nodiscard]] std::vector<BudgetBackend*> servers_of(std::string const& service);
    /// Disturbs a gateway until a drawn time has passed.
    void disturb(std::size_t index, std::string const& what, Core::Milliseconds, std::function<void()> heal);

    void call_until_stopped(unsigned caller);
    void call_on_one_connection(std::size_t gateway, unsigned caller, std::mt19937&, unsigned& number);

    Options m_options;
    std::mt19937 m_random;
    /// Apart from the other draws, so that a seed draws the same faults whether or not the crashes are set.
    std::mt19937 m_crash_random;
    BudgetJudges m_judges;
    ContactBook m_contact;
    GatewayFleet m_fleet;
    ProcessorShares m_shares;
    std::vector<std::unique_ptr<BudgetBackend>> m_servers;
    std::deque<Slot> m_slots;
    FaultSeries m_faults;
    std::set<std::uint16_t> m_load_ports;
    /// How many times their usual rate callers send at.
    std::atomic<unsigned> m_rate_factor {1};
    std::atomic<bool> m_sends_deadly_requests {false};
    std::atomic<bool> m_are_deadly_requests_plain {false};
    std::atomic<unsigned> m_deadly_period {1};
    std::atomic<bool> m_sends_deadly_parts {false};
    std::atomic<bool> m_should_stop {false};
    std::mutex m_mutex;
    Report m_report;
};

}
