#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace GraniteField::HTTP {

/// Reads a stream of server-sent events (WHATWG HTML, section 9.2) as it comes, only as far as the router
/// needs: how many events carry a token, and whether the stream has said that it is whole.
class EventStreamScanner {
public:
    /// Gives the number of events with data that this piece ended, without the end marker.
    std::uint32_t add(std::string_view);

    /// Whether `data: [DONE]` was seen.
    [[nodiscard]] bool is_done() const { return m_is_done; }

private:
    void end_line();

    std::string m_line;
    bool m_is_line_too_long {false};
    bool m_has_data {false};
    bool m_is_done {false};
    std::uint32_t m_events {0};
};

/// Passes on a stream of server-sent events but keeps back an unfinished last event, and everything from
/// `data: [DONE]` on, until the answer is known to be whole.
class EventStreamGate {
public:
    /// Gives what may be passed on now.
    [[nodiscard]] std::string add(std::string_view);
    /// Gives what was kept back; for an answer that is whole.
    [[nodiscard]] std::string take_rest() { return std::move(m_held); }

private:
    std::string m_held;
    bool m_has_seen_end {false};
};

/// The length of the whole events at the text's beginning; what follows is part of one.
[[nodiscard]] std::size_t whole_events_length(std::string_view);

inline constexpr std::string_view s_event_stream_end = "data: [DONE]";

}
