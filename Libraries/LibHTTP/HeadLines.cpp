#include <LibHTTP/HeadLines.h>

#include <LibCore/Text.h>
#include <LibHTTP/Status.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <absl/strings/ascii.h>

namespace GraniteField::HTTP {

namespace {

constexpr std::string_view s_version = "HTTP/";
constexpr std::size_t s_status_digits = 3;
/// What follows the status. Like libcurl, accepts a line without the space before the reason phrase.
constexpr std::string_view s_status_ends = " \r\n";

/// Returns the status of a status line, or nullopt if it has none (RFC 9112, section 4).
std::optional<int> status_of(std::string_view line)
{
    auto const space = line.find(' ');
    if (!line.starts_with(s_version) || space == std::string_view::npos)
        return std::nullopt;
    auto const rest = line.substr(space + 1);
    int status = 0;
    auto const read = std::from_chars(rest.data(), rest.data() + rest.size(), status);
    auto const digits = static_cast<std::size_t>(read.ptr - rest.data());
    bool const has_end = digits == rest.size() || s_status_ends.find(rest[digits]) != std::string_view::npos;
    if (digits != s_status_digits || !has_end || !Status::is_valid(status))
        return std::nullopt;
    return status;
}

/// Whether the text is a token, as the name of a field must be (RFC 9110, section 5.6.2).
bool is_token(std::string_view text)
{
    static constexpr std::string_view s_marks = "!#$%&'*+-.^_`|~";
    auto const is_allowed = [](char character) {
        return absl::ascii_isalnum(static_cast<unsigned char>(character))
            || s_marks.find(character) != std::string_view::npos;
    };
    return !text.empty() && std::ranges::all_of(text, is_allowed);
}

}

void HeadLines::read_status_line(std::string_view line)
{
    auto const status = status_of(line);
    m_fields.clear();
    m_is_invalid = !status;
    m_is_interim = status && Status::is_interim(*status);
}

void HeadLines::read_field_line(std::string_view line)
{
    auto const colon = line.find(':');
    auto const name = line.substr(0, colon);
    m_is_invalid = colon == std::string_view::npos || !is_token(name);
    if (!m_is_invalid)
        m_fields[Core::to_lower(name)] = Core::trim(line.substr(colon + 1));
}

void HeadLines::add(std::string_view line)
{
    if (m_is_complete || m_is_invalid)
        return;
    if (std::exchange(m_expects_status_line, false))
        return read_status_line(line);
    // As libcurl does, which also ends a head at a bare line feed.
    if (line.starts_with('\r') || line.starts_with('\n')) {
        m_is_complete = !m_is_interim;
        m_expects_status_line = m_is_interim;
        return;
    }
    read_field_line(line);
}

}
