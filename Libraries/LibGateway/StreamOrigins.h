#pragma once

#include <LibCore/StrongInteger.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Gateway {

/// Identifies a stream by the request that received its first event.
using StreamKey = Core::StrongInteger<struct StreamKeyTag>;

/// The key depends on the workspace, so that no caller can name a stream of another workspace.
[[nodiscard]] StreamKey stream_key(std::string_view workspace, std::string_view request_id);

/// The servers that can continue a stream.
struct StreamOrigin {
    std::string service;
    std::string software_version;

    auto operator<=>(StreamOrigin const&) const = default;
};

/// Remembers at which software version streams began, for a limited number of streams and time. No I/O and no clock.
class StreamOrigins {
public:
    /// Exceeds the time limits of routes, since a caller resumes a stream after it has ended early.
    static constexpr Core::Milliseconds s_retention {600'000};
    static constexpr std::size_t s_max_streams = 65'536;

    /// Records a stream unless it is known.
    void note(StreamKey, StreamOrigin const&, Core::MonotonicTime now);
    /// Returns null for unknown streams.
    [[nodiscard]] StreamOrigin const* find(StreamKey) const;
    [[nodiscard]] std::size_t size() const { return m_streams.size(); }
    void forget_old(Core::MonotonicTime now);

private:
    void forget_oldest();

    /// Few values, shared by many streams.
    std::set<StreamOrigin> m_origins;
    absl::flat_hash_map<StreamKey, StreamOrigin const*> m_streams;
    std::deque<std::pair<StreamKey, Core::MonotonicTime>> m_order;
};

}
