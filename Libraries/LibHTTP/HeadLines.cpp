#include <LibHTTP/HeadLines.h>

#include <LibCore/Text.h>

namespace GraniteField::HTTP {

namespace {

constexpr std::string_view s_version = "HTTP/";

/// Whether the status line has a status of the class 1xx.
bool is_interim(std::string_view status_line)
{
    auto const space = status_line.find(' ');
    return space != std::string_view::npos && status_line.substr(space + 1).starts_with('1');
}

}

void HeadLines::add(std::string_view line)
{
    if (m_is_complete)
        return;
    if (line.starts_with(s_version)) {
        m_fields.clear();
        m_is_interim = is_interim(line);
        return;
    }
    // As libcurl does, which also ends a head at a bare line feed.
    if (line.starts_with('\r') || line.starts_with('\n')) {
        m_is_complete = !m_is_interim;
        return;
    }
    auto const colon = line.find(':');
    if (colon != std::string_view::npos)
        m_fields[Core::to_lower(line.substr(0, colon))] = Core::trim(line.substr(colon + 1));
}

}
