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

/// One try to run a request at one backend server, as the entry sees it.
struct AttemptView {
    enum class State {
        /// The dispatch is out; no answer yet.
        Sent,
        /// It waits at the side process.
        Accepted,
        /// The side process has handed it to the backend server.
        Started,
    };

    Core::AttemptNumber number;
    std::string backend_server;
    State state {State::Sent};
    Core::MonotonicTime sent;
    /// Last message about this attempt, and the last time that the entry asked for one.
    Core::MonotonicTime last_heard;
    Core::MonotonicTime last_asked;
    /// The load report of the side process includes it.
    bool is_in_load_report {false};
    bool is_revoked {false};

    // The answer as far as it has come, without gaps.
    std::uint32_t chunks {0};
    std::uint32_t acknowledged {0};
    std::uint64_t payload_bytes {0};
    std::unique_ptr<Core::StreamHash> hash;
    std::uint32_t tokens {0};
    int status {0};
    std::string content_type;
};

/// What adding a chunk did.
enum class ChunkResult {
    Added,
    /// It was there already.
    Repeated,
    /// One before it is missing.
    Gap,
};

/// A request from its arrival to its final answer: the present attempt, what came before it, and what the
/// caller has been given. It keeps the answer whole: a caller gets chunks in order, of one attempt only.
class RequestRun {
public:
    RequestRun(Call call, std::shared_ptr<CallerExchange> exchange)
        : m_call(std::move(call))
        , m_exchange(std::move(exchange))
    {
    }

    [[nodiscard]] Call const& call() const { return m_call; }
    [[nodiscard]] CallerExchange& exchange() { return *m_exchange; }

    /// Whether the caller keeps up, so that the side process may be told to go on.
    [[nodiscard]] bool can_caller_take_more() const { return m_exchange->pending_bytes() < s_caller_window_bytes; }

    [[nodiscard]] AttemptView* attempt() { return m_attempt ? &*m_attempt : nullptr; }
    AttemptView& begin_attempt(std::string backend_server, Core::MonotonicTime now);
    /// The present attempt is over and was not the last word.
    void drop_attempt();
    [[nodiscard]] Policy::AttemptKey key() const
    {
        return {m_call.id, m_attempt ? m_attempt->number : Core::AttemptNumber()};
    }
    [[nodiscard]] std::uint32_t attempt_count() const { return m_attempt_count; }

    [[nodiscard]] bool was_tried(std::string const& backend_server) const { return m_tried.contains(backend_server); }
    [[nodiscard]] std::size_t tried_count() const { return m_tried.size(); }

    void note_refusal(Core::Milliseconds retry_after);
    /// Every backend server may be tried again.
    void forget_tries() { m_tried.clear(); }
    [[nodiscard]] std::optional<Core::Milliseconds> smallest_retry_after() const { return m_smallest_retry_after; }
    /// An attempt was lost or broken off without a word that it did not run.
    void note_may_have_run() { m_may_have_run = true; }
    [[nodiscard]] bool may_have_run() const { return m_may_have_run; }

    /// The side process that the call's ticket names has looked the ticket up: it has not run before.
    void note_ticket_unused() { m_is_ticket_unused = true; }
    [[nodiscard]] bool is_ticket_unused() const { return m_is_ticket_unused; }

    /// Takes a chunk and hands on to the caller what may be handed on.
    [[nodiscard]] ChunkResult add_chunk(Protocol::Message::Chunk const&, Core::MonotonicTime now);
    /// Whether what came is what the side process says it sent.
    [[nodiscard]] bool is_whole(Protocol::Message::Finished const&) const;
    /// The caller has got a part of the present attempt's answer.
    [[nodiscard]] bool has_forwarded() const { return m_has_forwarded; }
    /// Gives the caller the rest of a whole answer.
    void complete(bool is_replay);
    /// Tells the caller that a begun answer can't be finished.
    void cut(ErrorAnswer const&);
    /// Gives the caller an error as the whole answer.
    void fail(ErrorAnswer const&);

    [[nodiscard]] std::optional<Core::MonotonicTime> first_token() const { return m_first_token; }
    /// Time between the last two pieces with tokens; nothing before the second.
    [[nodiscard]] std::optional<Core::Microseconds> take_token_gap();

private:
    /// Bytes that a caller has not taken yet, above which it is behind.
    static constexpr std::size_t s_caller_window_bytes = 256U << 10U;

    void hand_on(std::string const& payload);

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
