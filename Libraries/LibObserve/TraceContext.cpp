#include <LibObserve/TraceContext.h>

#include <LibCore/Identifiers.h>
#include <LibCore/Text.h>

#include <algorithm>
#include <random>

#include <absl/strings/ascii.h>

namespace GraniteField::Observe {

namespace {

// W3C Trace Context, section 3.2.2: version, trace-id, parent-id and trace-flags, joined by dashes.
constexpr std::size_t s_version_length = 2;
constexpr std::size_t s_trace_id_length = 32;
constexpr std::size_t s_span_id_length = 16;
constexpr std::size_t s_header_length = s_version_length + s_trace_id_length + s_span_id_length + 2 + 3;

bool is_lower_hexadecimal(std::string_view text)
{
    return std::ranges::all_of(text, [](char character) {
        auto const byte = static_cast<unsigned char>(character);
        return absl::ascii_isdigit(byte) || (character >= 'a' && character <= 'f');
    });
}

bool is_all_zero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

std::string random_hex()
{
    // NOTE: Spans need to be unique, not secret, so a generator for each thread is enough.
    static thread_local std::mt19937_64 s_generator {std::random_device {}()};
    return Core::to_hex(s_generator() | 1U);
}

}

std::optional<TraceContext> TraceContext::from_header(std::string_view text)
{
    if (text.size() < s_header_length || text[2] != '-' || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    auto const version = text.substr(0, s_version_length);
    auto const flags = text.substr(53, 2);
    // Section 3.2.2.1: version ff is not valid; a later version may append fields behind a dash.
    if (!is_lower_hexadecimal(version) || version == "ff" || !is_lower_hexadecimal(flags))
        return std::nullopt;
    if (text.size() > s_header_length && (version == "00" || text[s_header_length] != '-'))
        return std::nullopt;
    TraceContext context;
    context.trace_id = std::string(text.substr(3, s_trace_id_length));
    context.span_id = std::string(text.substr(36, s_span_id_length));
    bool const is_valid = is_lower_hexadecimal(context.trace_id) && is_lower_hexadecimal(context.span_id)
        && !is_all_zero(context.trace_id) && !is_all_zero(context.span_id);
    if (!is_valid)
        return std::nullopt;
    auto const last = flags[1];
    auto const last_value = last <= '9' ? last - '0' : last - 'a' + 10;
    context.is_sampled = (last_value & 1) != 0;
    return context;
}

std::string TraceContext::to_header() const
{
    return Core::concat("00-", trace_id, "-", span_id, is_sampled ? "-01" : "-00");
}

TraceContext TraceContext::make(bool is_sampled)
{
    return {random_hex() + random_hex(), random_hex(), is_sampled};
}

TraceContext TraceContext::child() const
{
    return {trace_id, random_hex(), is_sampled};
}

}
