#pragma once

#include <LibCluster/SharedDuty.h>
#include <LibGateway/BackendAttempt.h>
#include <LibGateway/BackendFleet.h>
#include <LibGateway/CallerConnection.h>
#include <LibGateway/CrashDetector.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/LoadExchange.h>
#include <LibGateway/MemoryGuard.h>
#include <LibGateway/RoutedRequest.h>
#include <LibGateway/UnconfirmedRuns.h>
#include <LibGateway/UnreadSends.h>
#include <LibHTTP/EventFramer.h>
#include <LibObserve/EventLog.h>
#include <LibPolicy/Admission.h>
#include <LibPolicy/FleetRetryBudget.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace GraniteField::Gateway {

/// Limits and timeouts for forwarding a request to backend servers.
struct ForwardingSettings {
    /// Timeout for connecting to a backend server; afterwards another server is tried.
    Core::Milliseconds connect_limit {400};
    /// Number of failed connects after which a request is answered with an error. A failed connect does not count as a
    /// send, since nothing was sent. The limit only ends a request while the whole service is unreachable: it exceeds
    /// the number of dead servers that one request meets in a row after a crash of a quarter of all servers.
    unsigned max_connects {64};
    /// Maximum time that a request waits while no backend server is available; never more than a quarter of its target
    /// for the first token.
    Core::Milliseconds hold_limit {1'000};
    /// Number of bytes of a non-streaming response that are buffered, so that a retry can still replace an incomplete
    /// response.
    std::size_t max_buffered_response {1U << 20U};
    /// Number of bytes not yet read by the caller above which reading from the backend server is paused.
    std::size_t caller_window {256U << 10U};
    /// Number of bytes buffered for all callers together above which each response is forwarded as it arrives, with the
    /// reduced caller window. Slow readers must not use up the memory needed for other callers.
    std::size_t held_limit {64U << 20U};
    std::size_t reduced_caller_window {16U << 10U};
    /// Number of bytes held for all callers together, the bodies of requests included, above which new requests are
    /// refused.
    std::size_t memory_limit {128U << 20U};
    /// Retry-After for requests that did not run, unless a backend server's backoff gives a better value.
    Core::Milliseconds retry_after {300};
    Policy::RetryAllowance retries;
    Policy::AdmissionSettings admission;
    /// Time after the start of a request at a backend server during which a crash of the server may have been caused by
    /// the request. Includes some hundred milliseconds by which a busy gateway reads late.
    Core::Milliseconds recent_start_limit {1'000};
    /// Time after the first event of a stream during which a part of its prompt may crash the server. Includes some
    /// hundred milliseconds by which a busy gateway reads late.
    Core::Milliseconds part_proof_time {500};
    /// Number of crash moments at which a request was running, without having completed since, from which on it is not
    /// retried.
    std::size_t max_crash_moments_for_retry {2};

    // Conditions under which a repeatable request is moved to another backend server because the current one is silent.
    /// Multiple of the predicted wait, and at least this share of the class's target for the first token.
    double stall_factor {3};
    double stall_min_target_share {0.5};
    /// The same for the first event of a stream. The limits are higher, since a discarded prefill costs more than a
    /// plain call.
    double stall_first_event_factor {6};
    double stall_first_event_min_target_share {1};
    /// Time since a server was suspected to be dead. Gateways that still get responses from the server report so within
    /// 150 ms.
    Core::Milliseconds stall_limit_if_suspected {300};
    /// Multiple of the class's target for a pause between two events, and at least the minimum pause.
    double stall_pause_factor {3};
    Core::Milliseconds stall_min_pause {1'000};
};

/// State shared by all requests of a gateway.
struct ForwardingContext {
    boost::asio::io_context& loop;
    ForwardingSettings settings;
    Dialect dialect;
    BackendFleet& fleet;
    LoadExchange& load;
    StreamOriginSharing& streams;
    CrashDetector& crashes;
    /// Counts requests that start to run; null if usage is not reported.
    Cluster::SharedDuty* usage;
    UnconfirmedRuns unconfirmed_runs;
    Policy::Admission& admission;
    /// Retry budgets by service.
    std::map<std::string, Policy::FleetRetryBudget> budgets;
    UnreadSends unread_sends;
    std::size_t entry_count {1};
    MemoryAccount& memory;
    Observe::EventLog& log;
    GatewayMetrics& metrics;
    /// Applies the newest list of backend servers, which another thread may have stored since the last event.
    std::function<void()> apply_server_list {[] {}};

    /// Whether responses take up too much memory. The bodies of requests have no part in it, since smaller windows for
    /// responses would not release them.
    [[nodiscard]] bool is_short_of_memory() const
    {
        return memory.held_for(MemoryUse::CallerBuffers) + memory.held_for(MemoryUse::BufferedResponses)
            > settings.held_limit;
    }
    [[nodiscard]] Policy::FleetRetryBudget& budget_of(std::string const& service);
};

/// Forwards one request from its arrival to its final response, in one or more consecutive attempts. Guarantees that a
/// request that is not repeatable is sent at most once, that a forwarded response comes from a single backend server,
/// and that a request refused as "not run" did not run.
class RequestForwarder final : public BackendAttempt::Listener {
public:
    RequestForwarder(ForwardingContext&, RoutedRequest, std::shared_ptr<CallerConnection>);
    ~RequestForwarder() override;
    RequestForwarder(RequestForwarder const&) = delete;
    RequestForwarder& operator=(RequestForwarder const&) = delete;

    void start(Core::MonotonicTime now);
    /// Enforces the timeouts and dispatches a request that waits for a backend server.
    void tick(Core::MonotonicTime now);
    /// Restarts the silence timer after a stall of this process, during which responses may have arrived unread.
    void note_process_stall(Core::MonotonicTime now);
    /// Sends the final response before the process ends.
    void abandon();

    /// Whether the request waits for a backend server.
    [[nodiscard]] bool is_waiting() const { return !m_is_over && m_attempt == nullptr; }
    /// Whether the final response was sent or the caller has disconnected.
    [[nodiscard]] bool is_over() const { return m_is_over; }
    [[nodiscard]] RoutedRequest const& request() const { return m_request; }

private:
    [[nodiscard]] std::optional<BackendAttempt::OutgoingRequest> handle_connected(BackendAttempt&) override;
    void handle_sent(BackendAttempt&) override { release_unneeded_body(); }
    void handle_response_head(BackendAttempt&) override;
    void handle_response(BackendAttempt&) override;
    void handle_failure(BackendAttempt&, BackendAttempt::Failure, std::string const& reason) override;

    void dispatch(Core::MonotonicTime now);
    void hold(Core::MonotonicTime now);
    /// Whether the software version that began the stream is known, or none is needed. If not, the request waits for
    /// other gateways or was rejected.
    [[nodiscard]] bool has_stream_version(Core::MonotonicTime now);
    void log_stream_version(StreamOriginSharing::Resolution const&, Core::MonotonicTime now);
    /// Whether the attempt, of which nothing was sent yet, may still be sent to its server.
    [[nodiscard]] bool may_send_attempt(Core::MonotonicTime now) const;
    /// Cancels an attempt of which nothing was sent, and dispatches the request to another server.
    void withdraw_attempt(Core::MonotonicTime now);
    void send_to(Choice const&, Core::MonotonicTime now);
    /// Returns the reason to reject a new prompt, or nullopt to admit it.
    [[nodiscard]] std::optional<Policy::Rejection> check_admission(Choice const&, Core::MonotonicTime now);
    /// Returns the work that the request causes at the chosen engine, in tokens read.
    [[nodiscard]] double work_of(Choice const&) const;
    /// Identifies the request when its caller returns after a rejection; 0 if callers have no place in line.
    [[nodiscard]] Policy::ReturnLine::Fingerprint fingerprint() const;
    /// Returns a number from 0 to 1 derived from the request's id.
    [[nodiscard]] double request_fraction() const;
    /// Returns the delay to send as Retry-After for a request that can be sent at this time.
    [[nodiscard]] Core::Milliseconds retry_delay(EarliestSend const&, Core::MonotonicTime now) const;
    void log_rejection(Policy::Rejection const&) const;
    /// Returns the head of the request as the server receives it.
    [[nodiscard]] std::string serialize_head(BackendView const&, Core::MonotonicTime now) const;
    /// Releases a large body once the request cannot be sent again.
    void release_unneeded_body();
    [[nodiscard]] bool may_be_sent_again() const;

    /// Returns the servers that this request must not be sent to.
    [[nodiscard]] std::set<std::string> excluded_servers() const;
    /// Returns the best server, preferring places where no server has crashed while running this request.
    [[nodiscard]] Choice choose_server(Core::MonotonicTime now) const;
    /// Whether the request is quarantined for crashing the servers that run it.
    [[nodiscard]] bool is_quarantined(Core::MonotonicTime now) const;
    /// Whether a decision about quarantine is pending.
    [[nodiscard]] bool is_quarantine_pending(Core::MonotonicTime now) const;
    /// Sends the final response to a quarantined request.
    void reject_quarantined();
    /// Withdraws a quarantined request from a server that may not have started it yet. A request that has been running
    /// for long stays at its server, since its completion would clear it.
    void reject_quarantined_attempt();
    [[nodiscard]] bool has_long_running_attempt(Core::MonotonicTime now) const;
    /// Returns how likely it is that a crash of the current server was caused by this request.
    [[nodiscard]] Policy::Exposure exposure(Core::MonotonicTime now) const;
    void handle_not_run(Core::MonotonicTime now);
    void handle_broken_attempt(std::string const& reason, Core::MonotonicTime now);
    [[nodiscard]] bool may_retry(Core::MonotonicTime now);
    void retry(std::string_view why, Core::MonotonicTime now);

    /// Whether the request id echoed by the response is that of this request.
    [[nodiscard]] bool is_response_to_request(HTTP::AnswerHead const&) const;
    [[nodiscard]] bool is_valid_response(HTTP::AnswerHead const&, std::string& problem) const;
    /// Records the software version that begins the stream, and an event of another one.
    void note_event_version(BackendView const&);
    void forward_stream(BackendAttempt&);
    void forward_response(BackendAttempt&);
    /// Pauses reading from the backend server while the caller does not keep up.
    void throttle_reading(BackendAttempt&) const;
    /// Returns the number of unread bytes above which reading from the backend server is paused.
    [[nodiscard]] std::size_t caller_window() const;
    void start_response(HTTP::AnswerHead const&);
    [[nodiscard]] HTTP::FieldList forwarded_fields(HTTP::AnswerHead const&) const;
    [[nodiscard]] bool must_hide_response(HTTP::AnswerHead const&) const;
    void send_buffered_response(BackendAttempt&);
    void drop_buffered_response();
    /// Counts what is held of an incomplete response.
    void update_response_charge();
    /// Result of an attempt for the estimate of its server's health.
    enum class AttemptResult {
        Success,
        Failure,
        /// The server requested a backoff, which does not count as a failure.
        Rejected,
    };
    void end_attempt(AttemptResult, Core::MonotonicTime now);
    /// Returns Rejected during a backoff of the current attempt's server, otherwise Failure.
    [[nodiscard]] AttemptResult result_of_error(Core::MonotonicTime now) const;
    /// Counts the request as started, once, for the first server that runs it, even if that server fails.
    void count_usage(Core::MonotonicTime started_at);
    /// Clears the parts of the prompt of crashes once a server has been writing for long enough.
    void note_progress(BackendAttempt&, Core::MonotonicTime now);
    /// Clears the request of crashes: the server of the current attempt ran it to completion.
    void note_completed(Core::MonotonicTime now);
    /// Counts a sent attempt that ended without a complete response. A plain service may have lost only its response;
    /// whether a stream without an event ran is unknown.
    void count_unanswered_attempt();
    /// Reason why an attempt is abandoned.
    enum class AbandonReason {
        /// The server did not answer in time.
        Silence,
        /// The answer is not wanted any more.
        Unwanted,
    };
    /// Records that the attempt is abandoned, unless its server has answered or nothing was sent.
    void note_abandoned_attempt(AbandonReason, Core::MonotonicTime now);

    void drop_unsent_attempt();
    /// Returns how long the server may be silent before the request is moved to another one.
    [[nodiscard]] Core::Milliseconds stall_limit() const;
    [[nodiscard]] bool is_stalled(Core::MonotonicTime now) const;
    void replace_stalled_attempt(Core::MonotonicTime now);

    void handle_caller_disconnect();
    void handle_deadline(Core::MonotonicTime now);
    /// Sends an error response of the gateway itself: 503 if nothing ran, otherwise the given status.
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
    /// Instances that the request was sent to.
    std::set<std::string> m_tried_servers;
    /// Instances that refused the connection or did not accept it in time.
    std::set<std::string> m_unreachable_servers;
    unsigned m_send_count {0};
    /// Charges of the repeated sends that may be unread.
    std::vector<Policy::RetryCharge> m_charges;
    unsigned m_failed_connects {0};
    /// Whether an attempt was withdrawn before it was sent.
    bool m_was_withdrawn {false};
    /// Whether a server was silent for longer than the stall limit.
    bool m_was_stalled {false};
    bool m_may_have_run {false};
    /// Whether the request was counted as started; shared with UnconfirmedRuns.
    std::shared_ptr<bool> m_is_usage_counted {std::make_shared<bool>(false)};
    bool m_is_over {false};
    std::optional<Core::MonotonicTime> m_held_since;

    /// Framing of the response of the last attempt that ended.
    std::string_view m_framing;
    bool m_has_started_response {false};
    /// Whether the response of the current attempt is forwarded as it arrives, rather than as a stream of events.
    bool m_is_forwarding_body {false};
    std::string m_buffered_response;
    MemoryCharge m_response_charge;
    HTTP::EventFramer m_events;
    std::optional<Core::MonotonicTime> m_first_event_at;
    std::optional<Core::MonotonicTime> m_last_event_at;
    bool m_has_cleared_parts {false};
    Core::Milliseconds m_longest_pause {0};
};

}
