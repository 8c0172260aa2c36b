#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace GraniteField::Observe {

/// A place in a trace, as the header `traceparent` carries it (W3C Trace Context, section 3.2).
struct TraceContext {
    /// 32 lower-case hexadecimal digits, not all zero.
    std::string trace_id;
    /// 16 lower-case hexadecimal digits, not all zero.
    std::string span_id;
    bool is_sampled {false};

    [[nodiscard]] static std::optional<TraceContext> from_header(std::string_view);
    [[nodiscard]] std::string to_header() const;

    /// A new trace.
    [[nodiscard]] static TraceContext make(bool is_sampled);
    /// A new span below this one.
    [[nodiscard]] TraceContext child() const;

    bool operator==(TraceContext const&) const = default;
};

}
