#include <LibHTTP/EventStream.h>

#include <algorithm>

namespace GraniteField::HTTP {

namespace {

/// Only the start of a line matters here, so that a line without an end can't fill the memory.
constexpr std::size_t s_longest_kept_line = 64;
constexpr std::string_view s_data_field = "data:";

}

std::uint32_t EventStreamScanner::add(std::string_view text)
{
    m_events = 0;
    while (!text.empty()) {
        auto const end = text.find('\n');
        auto const piece = text.substr(0, end);
        auto const room = s_longest_kept_line - m_line.size();
        m_line.append(piece.substr(0, room));
        m_is_line_too_long = m_is_line_too_long || piece.size() > room;
        if (end == std::string_view::npos)
            break;
        end_line();
        text.remove_prefix(end + 1);
    }
    return m_events;
}

void EventStreamScanner::end_line()
{
    if (m_line.ends_with('\r'))
        m_line.pop_back();
    bool const is_blank = m_line.empty() && !m_is_line_too_long;
    if (is_blank) {
        if (m_has_data)
            ++m_events;
        m_has_data = false;
    } else if (m_line == s_event_stream_end) {
        m_is_done = true;
    } else if (m_line.starts_with(s_data_field)) {
        m_has_data = true;
    }
    m_line.clear();
    m_is_line_too_long = false;
}

std::size_t whole_events_length(std::string_view text)
{
    // An event ends with a blank line, and a line with LF or CRLF.
    std::size_t length = 0;
    for (std::string_view const end : {"\n\n", "\n\r\n"}) {
        auto const found = text.rfind(end);
        if (found != std::string_view::npos)
            length = std::max(length, found + end.size());
    }
    return length;
}

std::string EventStreamGate::add(std::string_view text)
{
    m_held += text;
    if (m_has_seen_end)
        return {};
    auto boundary = whole_events_length(m_held);
    // The end marker counts only at the start of a line.
    auto const end
        = m_held.starts_with(s_event_stream_end) ? 0 : m_held.find(std::string("\n") + std::string(s_event_stream_end));
    if (end != std::string::npos) {
        m_has_seen_end = true;
        boundary = end == 0 && m_held.starts_with(s_event_stream_end) ? 0 : end + 1;
    }
    auto passed = m_held.substr(0, boundary);
    m_held.erase(0, boundary);
    return passed;
}

}
