#pragma once

#include "FaultSeries.h"
#include "GatewayFleet.h"
#include "SignalBackend.h"
#include "SignalJudges.h"
#include "SoakBackend.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace GraniteField::Testing {

/// Runs gateways as separate processes under faults from outside them, drawn from a seed, and checks the promises from
/// what callers and backend servers see. Faults come in series and overlap.
class GatewaySoak {
public:
    enum class Drains {
        No,
        Yes,
    };

    enum class Signals {
        No,
        Yes,
    };

    /// Whether streams carry prompts, more than the backend servers can read in time.
    enum class Prompts {
        No,
        Yes,
    };

    /// Whether all gateways are killed at once now and then.
    enum class JointKills {
        No,
        Yes,
    };

    /// Whether servers are replaced by ones of other software versions, and callers resume their streams.
    enum class Releases {
        No,
        Yes,
    };

    /// Whether another writer leaves odd objects in the store, and servers stop inside the heads of their answers.
    enum class OddBytes {
        No,
        Yes,
    };

    struct Options {
        unsigned seed {1};
        Core::Milliseconds length {5'000};
        unsigned gateways {3};
        unsigned backends {4};
        unsigned callers {8};
        /// Whether failure domains are drained as well. Seeds from before draw the same without it.
        Drains drains {Drains::No};
        /// Whether backend servers also state things about themselves.
        Signals signals {Signals::No};
        Prompts prompts {Prompts::No};
        Releases releases {Releases::No};
        JointKills joint_kills {JointKills::No};
        OddBytes odd_bytes {OddBytes::No};
    };

    struct Report {
        /// Broken promises, each in a sentence with its request.
        std::vector<std::string> problems;
        std::map<std::string, unsigned> answers;
        std::map<std::string, unsigned> faults;
        /// Requests that were judged against a stated rate limit.
        std::size_t limited_arrivals {0};
        /// Servers that stated to a gateway that they leave.
        std::size_t left_alone {0};
        /// Rejections with Retry-After that were judged.
        std::size_t backoffs {0};
        /// Streams that callers resumed, and those of them that got further events.
        std::size_t resumed {0};
        std::size_t went_on {0};
        /// Odd objects that were put into the store.
        std::size_t odd_objects {0};
    };

    explicit GatewaySoak(Options);
    ~GatewaySoak();
    GatewaySoak(GatewaySoak const&) = delete;
    GatewaySoak& operator=(GatewaySoak const&) = delete;

    [[nodiscard]] Report run();

private:
    struct Slot {
        GatewayFleet::Gateway gateway;
        std::unique_ptr<FaultProxy> store;
        bool is_frozen {false};
    };

    struct Record {
        std::string id;
        std::string path;
        RawCaller::Answer answer;
        /// Further parts of the stream, each with the id of the request that received it.
        std::vector<std::pair<std::string, std::string>> resumptions {};
    };

    void start_gateway(std::size_t index);
    void call_until_stopped(unsigned caller);
    /// Returns the header fields of a prompt, or nothing for soaks without prompts.
    [[nodiscard]] std::string prompt_fields(unsigned number) const;
    void begin_fault();
    void begin(std::string const& name, std::function<void()> heal);
    void fault_gateway(Slot&, std::size_t index);
    void fault_store();
    void fault_backend(SoakBackend&);
    /// A server states something about itself for a while. Each kind is drawn apart, so that what else a seed draws
    /// stays the same.
    void begin_rate_limit();
    void begin_leaving();
    void begin_backoff();
    void begin_release();
    void begin_odd_bytes();
    /// Notes gateways that have ended by themselves, and starts them again.
    void check_processes();
    /// Kills all gateways at once, and at times the new ones again within a second.
    void kill_all_gateways();
    /// Takes a stream that ended early up again at other gateways.
    void resume(Record&, std::mt19937&);
    void check_versions(Record const&);
    void change_configuration();
    void check_recovery();
    void check_leaving();
    /// The domain that is drained, and the other one.
    static constexpr char const* s_drained = "there";
    static constexpr char const* s_other = "here";
    [[nodiscard]] bool has_drains() const { return m_options.drains == Drains::Yes; }
    /// Enters the server in the store. With drains every second one stands in the domain that is drained.
    void enter(std::size_t index, std::string const& state = "ready");
    void drain();
    void take_back();
    void check_draining();
    void check(Record const&);
    void note_problem(std::string);
    [[nodiscard]] std::uint16_t port_of(std::size_t index);

    Options m_options;
    std::mt19937 m_random;
    std::mt19937 m_limit_random;
    std::mt19937 m_leaving_random;
    std::mt19937 m_backoff_random;
    std::mt19937 m_release_random;
    std::mt19937 m_joint_random;
    std::mt19937 m_odd_random;
    RunLog m_runs;
    SignalJudges m_judges;
    GatewayFleet m_fleet;
    std::vector<std::unique_ptr<SoakBackend>> m_backends;
    std::vector<Slot> m_slots;
    std::mutex m_mutex;
    std::vector<std::uint16_t> m_ports;
    std::vector<Record> m_records;
    FaultSeries m_faults;
    unsigned m_version {0};
    std::atomic<bool> m_should_stop {false};
    Report m_report;
};

}
