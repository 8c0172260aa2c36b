#pragma once

#include <LibCore/Hashing.h>
#include <LibCore/Time.h>
#include <LibEntry/Call.h>
#include <LibEntry/CallerExchange.h>
#include <LibHTTP/EventStream.h>
#include <LibProtocol/Conversions.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace GraniteField::Entry {

/// The entry's state of one attempt to run a request at a backend server.
struct AttemptView {
    enum class State {
        /// The dispatch was sent and not answered yet.
        Sent,
        /// The request waits in the queue of the side process.
        Accepted,
        /// The side process has sent the request to the backend server.
        Started,
    };

    Core::AttemptNumber number;
    std::string backend_server;
    State state {State::Sent};
    Core::MonotonicTime sent;
    /// Times of the last message about this attempt and of the last Resume message for it.
    Core::MonotonicTime last_heard;
    Core::MonotonicTime last_resume;
    /// Whether the side process's load reports include the attempt.
    bool is_in_load_report {false};
    bool is_revoked {false};

    // The answer received so far, without gaps.
    std::uint32_t chunks {0};
    std::uint32_t acknowledged {0};
    std::uint64_t payload_bytes {0};
    std::unique_ptr<Core::StreamHash> hash;
    std::uint32_t tokens {0};
    int status {0};
    std::string content_type;
};

/// Result of adding a chunk.
enum class ChunkResult {
    Added,
    /// The chunk was received before.
    Repeated,
    /// An earlier chunk is missing.
    Gap,
};

/// A request from its arrival to its final answer: the current attempt, the earlier ones, and what was sent to the
/// caller. Ensures that the caller receives chunks in order and of a single attempt only.
class RequestRun {
public:
    RequestRun(Call call, std::shared_ptr<CallerExchange> exchange)
        : m_call(std::move(call))
        , m_exchange(std::move(exchange))
    {
    }

    [[nodiscard]] Call const& call() const { return m_call; }
    [[nodiscard]] CallerExchange& exchange() { return *m_exchange; }

    /// Returns whether the caller keeps up, so that further chunks may be acknowledged.
    [[nodiscard]] bool can_caller_receive_more() const { return m_exchange->pending_bytes() < s_caller_window_bytes; }

    [[nodiscard]] AttemptView* attempt() { return m_attempt ? &*m_attempt : nullptr; }
    AttemptView& begin_attempt(std::string backend_server, Core::MonotonicTime now);
    /// Discards the current attempt, whose further messages are ignored.
    void drop_attempt();
    [[nodiscard]] Policy::AttemptKey key() const
    {
        return {m_call.id, m_attempt ? m_attempt->number : Core::AttemptNumber()};
    }
    [[nodiscard]] std::uint32_t attempt_count() const { return m_attempt_count; }

    [[nodiscard]] bool was_tried(std::string const& backend_server) const { return m_tried.contains(backend_server); }
    [[nodiscard]] std::size_t tried_count() const { return m_tried.size(); }

    void note_refusal(Core::Milliseconds retry_after);
    /// Allows every backend server to be tried again.
    void clear_tried() { m_tried.clear(); }
    [[nodiscard]] std::optional<Core::Milliseconds> smallest_retry_after() const { return m_smallest_retry_after; }
    /// Records that an attempt was lost or aborted without confirmation that it did not run.
    void note_may_have_run() { m_may_have_run = true; }
    [[nodiscard]] bool may_have_run() const { return m_may_have_run; }

    /// Records that the side process of the call's ticket has found the ticket unused: its request has not run before.
    void note_ticket_unused() { m_is_ticket_unused = true; }
    [[nodiscard]] bool is_ticket_unused() const { return m_is_ticket_unused; }

    /// Adds a chunk and forwards to the caller what may be forwarded.
    [[nodiscard]] ChunkResult add_chunk(Protocol::Message::Chunk const&, Core::MonotonicTime now);
    /// Returns whether the received answer equals what the side process sent.
    [[nodiscard]] bool is_whole(Protocol::Message::Finished const&) const;
    /// Returns whether a part of the current attempt's answer was sent to the caller.
    [[nodiscard]] bool has_forwarded() const { return m_has_forwarded; }
    /// Sends the rest of a complete answer to the caller.
    void complete(bool is_replay);
    /// Aborts an answer that was started and can't be completed.
    void cut(ErrorAnswer const&);
    /// Sends an error as the complete answer.
    void fail(ErrorAnswer const&);

    [[nodiscard]] std::optional<Core::MonotonicTime> first_token() const { return m_first_token; }
    /// Returns the time between the last two chunks with tokens and clears it; nullopt before the second.
    [[nodiscard]] std::optional<Core::Microseconds> take_token_gap();

private:
    /// Number of bytes not yet received by the caller above which it is considered slow.
    static constexpr std::size_t s_caller_window_bytes = 256U << 10U;

    void forward(std::string const& payload);

    Call m_call;
    std::shared_ptr<CallerExchange> m_exchange;
    std::optional<AttemptView> m_attempt;
    std::uint32_t m_attempt_count {0};
    std::set<std::string> m_tried;
    std::optional<Core::Milliseconds> m_smallest_retry_after;
    bool m_may_have_run {false};
    bool m_is_ticket_unused {false};

    bool m_has_forwarded {false};
    bool m_is_event_stream {false};
    std::string m_buffered;
    HTTP::EventStreamGate m_gate;
    std::optional<Core::MonotonicTime> m_first_token;
    std::optional<Core::MonotonicTime> m_last_token;
    std::optional<Core::Microseconds> m_token_gap;
};

}
