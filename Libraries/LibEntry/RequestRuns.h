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

/// The ways to choose a backend server that a setting can name.
enum class ChooserName {
    PredictedWait,
    RoundRobin,
    LeastOutstanding,
};

/// All requests of an entry that have no final answer yet, and the rules by which they get one. On the
/// router's thread only.
class RequestRuns {
public:
    struct Settings {
        ChooserName chooser {ChooserName::PredictedWait};
        /// What a missed prefix costs for each kilobyte of the prompt; bounds how far a warm cache may outweigh a
        /// shorter wait.
        Core::Milliseconds missed_prefix_cost_per_kilobyte {5};
        /// Side processes that a request is offered to before it is refused.
        std::size_t largest_tries {3};
        /// How long a request waits here while no backend server of its service can be reached.
        Core::Milliseconds hold_limit {2'000};
        /// Requests that wait here at once.
        std::size_t largest_held_count {1'000};
        /// An attempt of which nothing is heard for this long is asked about.
        Core::Milliseconds question_interval {500};
        /// How much longer than the request's own limit the entry waits for the side process's word.
        Core::Milliseconds give_up_grace {250};
        /// A begun answer whose side process is silent for this long is cut.
        Core::Milliseconds stall_limit {10'000};
    };

    RequestRuns(Settings, LinkSet&, Observe::MetricRegistry&, Observe::DecisionRing&, Observe::SpanExporter*);

    /// Takes a call on, or gives it its final answer at once.
    void begin(Call, std::shared_ptr<CallerExchange>, Core::MonotonicTime now);
    /// A message about an attempt.
    void handle(SideLink&, Protocol::Message::Envelope const&, Core::MonotonicTime now);
    /// The link's side process is another run, or has forgotten this entry.
    void handle_replaced(SideLink&, Core::MonotonicTime now);
    /// The link's side process went silent.
    void handle_lost(SideLink&, Core::MonotonicTime now);
    /// The link's side process is there again and remembers.
    void handle_came_back(SideLink&, Core::MonotonicTime now);
    /// Limits in time, questions, and callers who are gone.
    void tick(Core::MonotonicTime now);
    /// Gives every request its final answer; for the process's end.
    void abandon_all();

    /// Entries that share the workspaces' rates.
    void set_entry_count(std::size_t count) { m_limits.set_entry_count(count); }
    [[nodiscard]] std::size_t entry_count() const { return m_limits.entry_count(); }

    [[nodiscard]] std::size_t count() const { return m_runs.size(); }

private:
    using Runs = absl::node_hash_map<Core::RequestId, RequestRun>;

    void give_ticket(Call const&, CallerExchange&);
    /// Offers the request to the best backend server that has not refused it; `otherwise` is the final
    /// answer when there is none.
    void dispatch(RequestRun&, ErrorAnswer otherwise, Core::MonotonicTime now);
    /// Like dispatch(), but where the cause is that nothing can be reached, the request waits here for a
    /// while.
    void dispatch_or_hold(RequestRun&, ErrorAnswer otherwise, Core::MonotonicTime now);
    [[nodiscard]] bool try_dispatch(RequestRun&, Core::MonotonicTime now);
    void dispatch_held(Core::MonotonicTime now);
    void dispatch_ticket(RequestRun&, Core::MonotonicTime now);
    [[nodiscard]] SideLink* choose(RequestRun const&);
    [[nodiscard]] bool send_dispatch(RequestRun&, SideLink&, Core::MonotonicTime now);
    void leave_attempt(RequestRun&);
    /// The present attempt did not run.
    void retry_unstarted(RequestRun&, ErrorAnswer, Core::MonotonicTime now);
    /// The present attempt did not run because its side process could not be reached or leaves.
    void retry_unreached(RequestRun&, ErrorAnswer, Core::MonotonicTime now);
    /// The present attempt may have run and will bring no answer.
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
    void ask(SideLink&, RequestRun&, Core::MonotonicTime now);
    void revoke(SideLink&, RequestRun&);

    void tick_run(RequestRun&, Core::MonotonicTime now);
    void give_up(RequestRun&, Core::MonotonicTime now);
    void finish(RequestRun&, Outcome);
    void fail(RequestRun&, ErrorAnswer);
    void cut(RequestRun&, std::string const& code, std::string const& message);
    void record_attainment(RequestRun&, Outcome);
    [[nodiscard]] ClassMetrics& metrics_of(RequestRun const&);
    void decide(RequestRun const&, std::string what);
    [[nodiscard]] RequestRun* find(Policy::AttemptKey const&, SideLink const&);
    [[nodiscard]] std::vector<Core::RequestId> runs_at(SideLink const&);
    void send_waiting_revocations(SideLink&);

    /// Held requests in the order in which they are sent: by tier, then by arrival.
    struct HeldPlace {
        unsigned tier {0};
        Core::MonotonicTime received;
        Core::RequestId request;

        auto operator<=>(HeldPlace const&) const = default;
    };

    static HeldPlace held_place(RequestRun const&);

    Settings m_settings;
    LinkSet& m_links;
    Runs m_runs;
    std::map<HeldPlace, ErrorAnswer> m_held;
    /// Revocations that could not be sent, by backend server; s_largest_waiting_revocations at most.
    std::map<std::string, std::vector<Protocol::Message::Envelope>> m_waiting_revocations;
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
