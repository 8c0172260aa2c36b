#pragma once

#include <LibCluster/SharedDuty.h>
#include <LibGateway/BackendAttempt.h>
#include <LibGateway/BackendFleet.h>
#include <LibGateway/CallerConnection.h>
#include <LibGateway/CrashWatch.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/LoadExchange.h>
#include <LibGateway/RoutedRequest.h>
#include <LibGateway/UnseenRuns.h>
#include <LibHTTP/EventFramer.h>
#include <LibObserve/EventLog.h>
#include <LibPolicy/Admission.h>
#include <LibPolicy/FleetRetryBudget.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

namespace GraniteField::Gateway {

/// How a gateway treats its requests.
struct ForwardingSettings {
    /// A connection to a backend server that is not up by then is given up; the request goes elsewhere.
    Core::Milliseconds connect_limit {400};
    /// Connections that one request may try to open without sending anything. A connection that was never made is no
    /// send, so that the next server is free to be asked; the bound only ends a request before a fleet that is gone. It
    /// lies well above the servers in a row that a crash of a quarter of them lets one request meet.
    unsigned max_connects {64};
    /// How long a request waits here while no backend server can be had, at most; never over a quarter of its target.
    Core::Milliseconds hold_limit {1'000};
    /// Bytes of an answer that is no stream, up to which it is kept until it is whole, so that it can be replaced.
    std::size_t max_buffered_response {1U << 20U};
    /// Bytes that a caller has not taken, above which its answer is read no further.
    std::size_t caller_window {256U << 10U};
    /// Bytes that all callers' connections hold together. Beyond them answers are read no further than the small
    /// window, and are handed on as they come: many callers that read slowly must not take the memory of those that are
    /// served.
    std::size_t held_limit {64U << 20U};
    std::size_t reduced_caller_window {16U << 10U};
    /// Told to callers of requests that did not run, where nothing better is known.
    Core::Milliseconds retry_after {300};
    Policy::RetryAllowance retries;
    /// A server that crashes so soon after it has begun a request may have crashed by it. A busy gateway reads some
    /// hundred milliseconds late.
    Core::Milliseconds recent_start_limit {1'000};
    /// A request that was at so many moments of crashes, and at no good end since, is not sent again by a gateway.
    std::size_t max_crash_moments_for_retry {2};

    // When a server that took a repeatable request and says nothing is given up for another one.
    /// So many times the wait that was predicted, and never before this part of the class's target is over.
    double stall_factor {3};
    double stall_min_target_share {0.5};
    /// The same for a stream's first event: a prompt that is read in vain costs more than a plain call.
    double stall_first_event_factor {6};
    double stall_first_event_min_target_share {1};
    /// At a server that is suspected to be dead: its silence since then. Whoever gets answers from it tells that within
    /// 150 ms.
    Core::Milliseconds stall_limit_if_suspected {300};
    /// Within a stream: so many times the class's target for a pause, and never before the least time.
    double stall_pause_factor {3};
    Core::Milliseconds stall_min_pause {1'000};
};

/// What all runs of a gateway share.
struct ForwardingContext {
    boost::asio::io_context& loop;
    ForwardingSettings settings;
    Dialect dialect;
    BackendFleet& fleet;
    LoadExchange& load;
    CrashWatch& crashes;
    /// Where requests that begin to run are counted; null where nobody reports them.
    Cluster::SharedDuty* usage;
    UnseenRuns unseen_runs;
    Policy::Admission admission;
    /// By service.
    std::map<std::string, Policy::FleetRetryBudget> budgets;
    std::size_t entry_count {1};
    /// Bytes that callers' connections held at the last tick.
    std::size_t held_bytes {0};
    Observe::EventLog& log;
    GatewayMetrics& metrics;

    [[nodiscard]] bool is_short_of_memory() const { return held_bytes > settings.held_limit; }
    [[nodiscard]] Policy::FleetRetryBudget& budget_of(std::string const& service);
};

/// A request from its arrival to its final answer: the attempts, one after the other, and what the caller has been
/// given. It keeps what is promised: a request that is not repeatable is sent at most once, an answer that is handed
/// on is one backend server's, and a refusal that says "not run" is true.
class RequestForwarder final : public BackendAttempt::Listener {
public:
    RequestForwarder(ForwardingContext&, RoutedRequest, std::shared_ptr<CallerConnection>);
    ~RequestForwarder() override;
    RequestForwarder(RequestForwarder const&) = delete;
    RequestForwarder& operator=(RequestForwarder const&) = delete;

    void start(Core::MonotonicTime now);
    /// Limits in time, and held requests.
    void tick(Core::MonotonicTime now);
    /// This process was away, and servers may have spoken meanwhile.
    void note_process_stall(Core::MonotonicTime now);
    /// The process ends: the caller gets what can be said.
    void abandon();

    /// Whether it waits for a backend server.
    [[nodiscard]] bool is_waiting() const { return !m_is_over && m_attempt == nullptr; }
    /// Whether the caller has its final answer or is gone.
    [[nodiscard]] bool is_over() const { return m_is_over; }
    [[nodiscard]] RoutedRequest const& request() const { return m_request; }

private:
    void handle_response_head(BackendAttempt&) override;
    void handle_response(BackendAttempt&) override;
    void handle_failure(BackendAttempt&, BackendAttempt::Failure, std::string const& reason) override;

    void dispatch(Core::MonotonicTime now);
    void hold(Core::MonotonicTime now);
    void send_to(Choice const&, Core::MonotonicTime now);
    /// The reason to reject a new prompt for this server, or nullopt to admit it.
    [[nodiscard]] std::optional<Policy::Rejection> check_admission(Choice const&, Core::MonotonicTime now);
    /// A random number of the request from 0 to 1.
    [[nodiscard]] double request_fraction() const;
    /// Delay to send as Retry-After when the request can be served at that opening.
    [[nodiscard]] Core::Milliseconds retry_delay(Opening const&, Core::MonotonicTime now) const;
    void log_rejection(Policy::Rejection const&) const;
    [[nodiscard]] std::string serialize_request(BackendView const&, Core::MonotonicTime now) const;

    /// Whom not to ask.
    [[nodiscard]] std::set<std::string> excluded_servers() const;
    /// The best server, away from places where servers crashed under this request while there are others.
    [[nodiscard]] Choice choose_server(Core::MonotonicTime now) const;
    /// Whether the request is known to crash whatever begins it.
    [[nodiscard]] bool is_quarantined(Core::MonotonicTime now) const;
    /// Whether that is about to be known.
    [[nodiscard]] bool is_in_doubt(Core::MonotonicTime now) const;
    /// Ends a request that is quarantined.
    void reject_quarantined();
    /// The same while it is at a server, which may not have begun it yet. One that has run for long is left there: its
    /// good end would clear the request.
    void reject_quarantined_attempt();
    [[nodiscard]] bool has_long_running_attempt(Core::MonotonicTime now) const;
    /// How the request is at its server.
    [[nodiscard]] Policy::Exposure exposure(Core::MonotonicTime now) const;
    void handle_not_run(Core::MonotonicTime now);
    void handle_broken_attempt(std::string const& reason, Core::MonotonicTime now);
    [[nodiscard]] bool may_retry(Core::MonotonicTime now);
    void retry(std::string_view why, Core::MonotonicTime now);

    /// Whether the answer belongs to this request, by the id that it echoes.
    [[nodiscard]] bool is_response_to_request(HTTP::AnswerHead const&) const;
    [[nodiscard]] bool is_valid_response(HTTP::AnswerHead const&, std::string& problem) const;
    void forward_stream(BackendAttempt&);
    void forward_response(BackendAttempt&);
    /// Reads on only as far as the caller keeps up.
    void throttle_reading(BackendAttempt&) const;
    /// Bytes that the caller may leave untaken before its answer is read no further.
    [[nodiscard]] std::size_t caller_window() const;
    void start_response(HTTP::AnswerHead const&);
    [[nodiscard]] HTTP::FieldList forwarded_fields(HTTP::AnswerHead const&) const;
    [[nodiscard]] bool must_hide_response(HTTP::AnswerHead const&) const;
    void send_buffered_response(BackendAttempt&);
    /// Result of an attempt for the estimate of its server's health.
    enum class AttemptResult {
        Success,
        Failure,
        /// The server requested a backoff, which does not count as a failure.
        Rejected,
    };
    void end_attempt(AttemptResult, Core::MonotonicTime now);
    /// Rejected during a backoff of the current attempt's server, otherwise Failure.
    [[nodiscard]] AttemptResult result_of_error(Core::MonotonicTime now) const;
    /// A backend server began to run the request then. It counts once, by the first server, also where that fails.
    void count_usage(Core::MonotonicTime started_at);
    /// The server ran the request to its end: it crashes nobody.
    void note_completed(Core::MonotonicTime now);
    /// The attempt in hand was sent and brought no whole answer. A plain service may have lost only its answer; of a
    /// stream without an event nobody knows.
    void count_unanswered_attempt();

    void drop_unsent_attempt();
    /// How long the attempt's server may be silent before another one is asked.
    [[nodiscard]] Core::Milliseconds stall_limit() const;
    [[nodiscard]] bool is_stalled(Core::MonotonicTime now) const;
    void replace_stalled_attempt(Core::MonotonicTime now);

    void handle_caller_gone();
    void fail_deadline(Core::MonotonicTime now);
    /// A final answer of the gateway's own: 503 where nothing ran, else 502 or 504.
    void fail(int status_if_may_have_run, std::string code, std::string message,
        std::optional<Core::Milliseconds> retry_after = std::nullopt);
    void abort_response(std::string_view reason);
    void finish(Entry::Outcome, int status, std::string_view reason);
    void log_end(Entry::Outcome, int status, std::string_view reason);

    ForwardingContext& m_context;
    RoutedRequest m_request;
    std::shared_ptr<CallerConnection> m_caller;
    std::shared_ptr<BackendAttempt> m_attempt;
    Choice m_choice;
    /// Servers that it was sent to.
    std::set<std::string> m_tried_servers;
    /// Servers that took no connection.
    std::set<std::string> m_unreachable_servers;
    unsigned m_sends {0};
    unsigned m_failed_connects {0};
    bool m_may_have_run {false};
    /// Whether it is counted as begun.
    std::shared_ptr<bool> m_is_usage_counted {std::make_shared<bool>(false)};
    bool m_is_over {false};
    std::optional<Core::MonotonicTime> m_held_since;

    bool m_has_started_response {false};
    std::string m_buffered_response;
    HTTP::EventFramer m_events;
    std::optional<Core::MonotonicTime> m_first_event_at;
    std::optional<Core::MonotonicTime> m_last_event_at;
    Core::Milliseconds m_longest_pause {0};
};

}
