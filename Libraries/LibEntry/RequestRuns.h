#pragma once

#include <LibEntry/ClassMetrics.h>
#include <LibEntry/LinkSet.h>
#include <LibEntry/RequestRun.h>
#include <LibEntry/WorkspaceLimits.h>
#include <LibObserve/DecisionRing.h>
#include <LibObserve/Metrics.h>
#include <LibObserve/SpanExporter.h>
#include <LibPolicy/BackendChooser.h>
#include <LibPolicy/RetryBudget.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/container/node_hash_map.h>

namespace GraniteField::Entry {

/// Strategies for choosing a backend server; a setting names one.
enum class ChooserStrategy {
    PredictedWait,
    RoundRobin,
    LeastOutstanding,
};

/// All requests of an entry without a final answer, and the rules by which they get one. Used on the router's thread
/// only.
class RequestRuns {
public:
    struct Settings {
        ChooserStrategy chooser {ChooserStrategy::PredictedWait};
        /// Cost of a missed prefix for each kilobyte of the prompt; bounds the wait that is accepted for a warm cache.
        Core::Milliseconds missed_prefix_cost_per_kilobyte {5};
        /// Maximum number of side processes to which a request is offered before it is refused.
        std::size_t max_tries {3};
        /// Maximum time for which a request waits in the entry while no backend server of its service is reachable.
        Core::Milliseconds hold_limit {2'000};
        /// Maximum number of requests that wait in the entry.
        std::size_t max_held_requests {1'000};
        /// Time without messages about an attempt after which a Resume message is sent.
        Core::Milliseconds resume_interval {500};
        /// Additional time beyond the request's own limit for which the entry waits for the side process's answer.
        Core::Milliseconds timeout_grace {250};
        /// Time without messages from the side process after which an attempt is abandoned; an answer that has started
        /// is cut.
        Core::Milliseconds stall_limit {10'000};
    };

    RequestRuns(Settings, LinkSet&, Observe::MetricRegistry&, Observe::DecisionRing&, Observe::SpanExporter*);

    /// Accepts a call, or sends its final answer at once.
    void begin(Call, std::shared_ptr<CallerExchange>, Core::MonotonicTime now);
    /// Handles a message about an attempt.
    void handle(SideLink&, Protocol::Message::Envelope const&, Core::MonotonicTime now);
    /// Handles a side process that has restarted or has forgotten this entry.
    void handle_replaced(SideLink&, Core::MonotonicTime now);
    /// Handles a side process that does not respond any more.
    void handle_lost(SideLink&, Core::MonotonicTime now);
    /// Handles a side process that is reachable for the first time, or again with its state kept.
    void handle_reconnected(SideLink&, Core::MonotonicTime now);
    /// Enforces time limits, sends Resume messages and detects callers that have disconnected.
    void tick(Core::MonotonicTime now);
    /// Sends every request its final answer, for the shutdown of the process.
    void abandon_all();

    /// Sets the number of entries that share the workspaces' rates.
    void set_entry_count(std::size_t count) { m_limits.set_entry_count(count); }
    [[nodiscard]] std::size_t entry_count() const { return m_limits.entry_count(); }

    [[nodiscard]] std::size_t count() const { return m_runs.size(); }

private:
    using Runs = absl::node_hash_map<Core::RequestId, RequestRun>;

    void issue_ticket(Call const&, CallerExchange&);
    /// Sends the request to the best backend server that has not refused it; `fallback` is the final answer if there is
    /// none.
    void dispatch(RequestRun&, ErrorAnswer fallback, Core::MonotonicTime now);
    /// Like dispatch(), but the request waits in the entry for a limited time if no backend server is reachable.
    void dispatch_or_hold(RequestRun&, ErrorAnswer fallback, Core::MonotonicTime now);
    [[nodiscard]] bool try_dispatch(RequestRun&, Core::MonotonicTime now);
    void dispatch_held(Core::MonotonicTime now);
    void dispatch_ticket(RequestRun&, Core::MonotonicTime now);
    [[nodiscard]] SideLink* choose(RequestRun const&);
    [[nodiscard]] bool send_dispatch(RequestRun&, SideLink&, Core::MonotonicTime now);
    void close_attempt(RequestRun&);
    /// Retries after an attempt that did not run.
    void retry_unstarted(RequestRun&, ErrorAnswer, Core::MonotonicTime now);
    /// Retries after an attempt that did not run because its side process is unreachable or leaving.
    void retry_unreached(RequestRun&, ErrorAnswer, Core::MonotonicTime now);
    /// Retries after an attempt that may have run and will bring no answer.
    void retry_lost(RequestRun&, ErrorAnswer, Core::MonotonicTime now);

    void handle_accepted(SideLink&, RequestRun&, Protocol::Message::Accepted const&);
    void handle_refused(SideLink&, RequestRun&, Protocol::Message::Refused const&, Core::MonotonicTime now);
    void handle_started(SideLink&, RequestRun&, Protocol::Message::Started const&);
    void handle_chunk(SideLink&, RequestRun&, Protocol::Message::Chunk const&, Core::MonotonicTime now);
    void handle_finished(SideLink&, RequestRun&, Protocol::Message::Finished const&, Core::MonotonicTime now);
    void handle_failed(SideLink&, RequestRun&, Protocol::Message::Failed const&, Core::MonotonicTime now);
    void handle_unknown(SideLink&, RequestRun&, Core::MonotonicTime now);
    void handle_stray(SideLink&, Protocol::Message::Envelope const&);
    void note_in_load_report(SideLink&, RequestRun&, Protocol::Message::LoadReport const&);

    void acknowledge(SideLink&, RequestRun&, bool is_final);
    void acknowledge_stray(SideLink&, Policy::AttemptKey const&);
    void send_resume(SideLink&, RequestRun&, Core::MonotonicTime now);
    void revoke(SideLink&, RequestRun&);

    void tick_run(RequestRun&, Core::MonotonicTime now);
    void time_out(RequestRun&, Core::MonotonicTime now);
    void finish(RequestRun&, Outcome);
    void fail(RequestRun&, ErrorAnswer);
    void cut(RequestRun&, std::string const& code, std::string const& message);
    void record_attainment(RequestRun&, Outcome);
    [[nodiscard]] ClassMetrics& metrics_of(RequestRun const&);
    void record_decision(RequestRun const&, std::string what);
    [[nodiscard]] RequestRun* find(Policy::AttemptKey const&, SideLink const&);
    [[nodiscard]] std::vector<Core::RequestId> runs_at(SideLink const&);
    void send_pending_revocations(SideLink&);

    /// Sort key of requests that wait in the entry: by tier, then by arrival.
    struct HeldKey {
        unsigned tier {0};
        Core::MonotonicTime received;
        Core::RequestId request;

        auto operator<=>(HeldKey const&) const = default;
    };

    static HeldKey held_key(RequestRun const&);

    Settings m_settings;
    LinkSet& m_links;
    Runs m_runs;
    std::map<HeldKey, ErrorAnswer> m_held;
    /// Revocations that could not be sent yet, by backend server; at most s_max_pending_revocations for each.
    std::map<std::string, std::vector<Protocol::Message::Envelope>> m_pending_revocations;
    WorkspaceLimits m_limits;
    Policy::RetryBudget m_retry_budget;
    std::variant<Policy::PredictedWaitChooser, Policy::RoundRobinChooser, Policy::LeastOutstandingChooser> m_chooser;
    Observe::MetricRegistry& m_metrics;
    Observe::Counter& m_tokens;
    absl::node_hash_map<std::string, ClassMetrics> m_class_metrics;
    Observe::DecisionRing& m_decisions;
    Observe::SpanExporter* m_spans;
};

}
