#include <LibHTTP/EventFramer.h>

#include <LibCore/Text.h>

#include <charconv>

namespace GraniteField::HTTP {

namespace {

constexpr std::string_view s_id_field = "id:";

/// The length of the first event with the blank line that ends it, or nothing when it is not whole.
std::optional<std::size_t> first_event_length(std::string_view text)
{
    std::size_t line_start = 0;
    for (auto end = text.find('\n'); end != std::string_view::npos; end = text.find('\n', line_start)) {
        auto const line = text.substr(line_start, end - line_start);
        line_start = end + 1;
        if (line.empty() || line == "\r")
            return line_start;
    }
    return std::nullopt;
}

std::optional<std::uint64_t> id_of(std::string_view event)
{
    std::optional<std::uint64_t> id;
    while (!event.empty()) {
        auto const end = event.find('\n');
        auto const line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.starts_with(s_id_field))
            continue;
        auto const text = Core::trim(line.substr(s_id_field.size()));
        std::uint64_t value = 0;
        auto const result = std::from_chars(text.data(), text.data() + text.size(), value);
        if (result.ec == std::errc {} && result.ptr == text.data() + text.size())
            id = value;
    }
    return id;
}

}

std::string EventFramer::add(std::string_view text)
{
    m_partial += text;
    std::string whole;
    std::string_view rest = m_partial;
    while (auto const length = first_event_length(rest)) {
        auto const event = rest.substr(0, *length);
        rest.remove_prefix(*length);
        auto const id = id_of(event);
        bool const was_given = id && m_last_id && *id <= *m_last_id;
        if (was_given)
            continue;
        if (id)
            m_last_id = id;
        whole += event;
    }
    // A copy of its own size: a string keeps the capacity of its largest content.
    m_partial = std::string(rest);
    return whole;
}

}
