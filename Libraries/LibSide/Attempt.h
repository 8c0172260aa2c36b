#pragma once

#include <LibCore/Hashing.h>
#include <LibCore/Time.h>
#include <LibProtocol/Conversions.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace GraniteField::Side {

/// One attempt that this side process has taken, from its dispatch until the entry has all of it.
///
/// It numbers the pieces of the answer, keeps those that the entry has not acknowledged, and sums up the
/// whole so that the entry can check what it put together.
class Attempt {
public:
    enum class State {
        Waiting,
        Running,
        /// It has begun, and waits for a slot to go on.
        Suspended,
        Ended,
    };

    Attempt(std::string entry_route, Protocol::Message::Dispatch dispatch, Core::MonotonicTime now)
        : m_entry_route(std::move(entry_route))
        , m_dispatch(std::move(dispatch))
        , m_received(now)
    {
    }

    [[nodiscard]] State state() const { return m_state; }
    [[nodiscard]] std::string const& entry_route() const { return m_entry_route; }
    [[nodiscard]] Protocol::Message::Dispatch const& dispatch() const { return m_dispatch; }
    [[nodiscard]] Core::MonotonicTime received() const { return m_received; }
    [[nodiscard]] Core::MonotonicTime started() const { return m_started; }
    [[nodiscard]] std::optional<Core::MonotonicTime> first_piece() const { return m_first_piece; }
    [[nodiscard]] Core::MonotonicTime ended() const { return m_ended; }
    [[nodiscard]] std::uint32_t tokens() const { return m_tokens; }
    [[nodiscard]] std::uint32_t chunk_count() const { return m_chunk_count; }
    [[nodiscard]] std::size_t unacknowledged_bytes() const { return m_unacknowledged_bytes; }

    void start(Core::MonotonicTime now)
    {
        if (m_state == State::Waiting)
            m_started = now;
        m_state = State::Running;
        // The body goes to the backend server; what is left of the dispatch is small. What may be suspended
        // sends it again when it goes on.
        if (!is_preemptible)
            m_dispatch.clear_body();
    }

    void suspend() { m_state = State::Suspended; }

    /// Numbers a piece and keeps it. The reference holds until the next call.
    Protocol::Message::Envelope const& add_chunk(
        int status, std::string content_type, std::string payload, std::uint32_t tokens, Core::MonotonicTime now);
    /// The whole answer has come; gives the summary.
    Protocol::Message::Finished summary() const;
    /// The last message about the attempt, whatever it says.
    Protocol::Message::Envelope const& end(Protocol::Message::Envelope, Core::MonotonicTime now);

    void acknowledge(std::uint32_t sequence, bool is_final);
    /// The entry has everything, so the attempt can be forgotten.
    [[nodiscard]] bool is_settled() const { return m_is_settled; }

    /// Chunks after this sequence number that are still kept, in order.
    [[nodiscard]] std::vector<Protocol::Message::Envelope const*> chunks_after(std::uint32_t sequence) const;
    [[nodiscard]] Protocol::Message::Envelope const* last_message() const { return m_end ? &*m_end : nullptr; }

    /// Keeps the payload besides, up to a limit, for a ticket's answer.
    void keep_answer(std::size_t largest_bytes) { m_answer_limit = largest_bytes; }
    [[nodiscard]] std::optional<std::string> kept_answer() const;
    [[nodiscard]] int status() const { return m_status; }
    [[nodiscard]] std::string const& content_type() const { return m_content_type; }

    bool is_paused {false};
    bool is_preemptible {false};
    /// The engine client was told to stop it, and it goes on later.
    bool is_being_suspended {false};
    bool is_cancelled {false};

private:
    std::string m_entry_route;
    Protocol::Message::Dispatch m_dispatch;
    State m_state {State::Waiting};
    Core::MonotonicTime m_received;
    Core::MonotonicTime m_started;
    Core::MonotonicTime m_ended;
    std::optional<Core::MonotonicTime> m_first_piece;
    std::deque<Protocol::Message::Envelope> m_unacknowledged;
    std::size_t m_unacknowledged_bytes {0};
    std::uint32_t m_chunk_count {0};
    std::uint64_t m_payload_bytes {0};
    std::uint32_t m_tokens {0};
    Core::StreamHash m_hash;
    std::optional<Protocol::Message::Envelope> m_end;
    bool m_is_settled {false};
    int m_status {0};
    std::string m_content_type;
    std::size_t m_answer_limit {0};
    std::string m_answer;
};

}
