#pragma once

#include <LibCore/BoundedRing.h>
#include <LibCore/WakeEvent.h>
#include <LibEntry/LinkSet.h>
#include <LibEntry/RequestRuns.h>
#include <LibEntry/SharedDrains.h>
#include <LibEntry/SharedMembership.h>
#include <LibEntry/SharedTable.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include <zmq.hpp>

namespace GraniteField::Entry {

/// The entry's routing thread: receives calls from the HTTP server through a bounded ring, communicates with the side
/// processes, and follows the table.
class Router {
public:
    struct Settings {
        LinkSet::Settings links;
        RequestRuns::Settings runs;
        std::size_t ring_capacity {8192};
        /// Minimum number of entries assumed to share the workspaces' rates, also while fewer are known.
        std::size_t min_entry_count {1};
    };

    Router(Settings, zmq::context_t&, SharedTable const&, SharedDrains const&, SharedMembership const&,
        Observe::MetricRegistry&, Observe::DecisionRing&, Observe::SpanExporter*);
    ~Router();
    Router(Router const&) = delete;
    Router& operator=(Router const&) = delete;

    struct Submission {
        Call call;
        std::shared_ptr<CallerExchange> exchange;
    };

    /// Passes a call to the router; returns false, leaving the submission untouched, if the ring is full. Thread-safe.
    [[nodiscard]] bool try_submit(std::unique_ptr<Submission>&);
    /// Makes the router check the table and the host list. Thread-safe.
    void wake() { m_wake.signal(); }

    /// Returns the number of requests without a final answer. Thread-safe.
    [[nodiscard]] std::size_t open_count() const { return m_open_count; }
    /// Returns whether at least one side process accepts new requests. Thread-safe.
    [[nodiscard]] bool has_backends() const { return m_has_backends; }
    /// Returns the status for operators, as JSON. Thread-safe.
    [[nodiscard]] std::string status();

private:
    void run();
    void wait_for_work();
    void receive_submissions();
    void receive_messages();
    void receive_messages(SideLink&);
    void apply(SideLink&, SideLink::Change);
    void follow_table();
    void tick();
    void publish_status();
    void publish_control_bytes();

    SharedTable const& m_shared_table;
    SharedDrains const& m_shared_drains;
    SharedMembership const& m_membership;
    std::size_t m_min_entry_count;
    Observe::MetricRegistry& m_metrics;
    LinkSet m_links;
    RequestRuns m_runs;
    Core::BoundedRing<Submission> m_submissions;
    Core::WakeEvent m_wake;
    std::optional<Core::TableVersion> m_followed_version;
    DrainsVersion m_followed_drains;
    std::vector<zmq::pollitem_t> m_poll_items;
    std::optional<std::uint64_t> m_poll_generation;
    Core::MonotonicTime m_last_tick;

    std::mutex m_mutex;
    std::condition_variable m_status_signal;
    std::uint64_t m_status_count {0};
    std::atomic<bool> m_is_status_wanted {false};
    std::string m_status;
    std::atomic<std::size_t> m_open_count {0};
    std::atomic<bool> m_has_backends {false};
    std::atomic<bool> m_should_stop {false};
    std::thread m_thread;
};

}
