#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace GraniteField::HTTP {

/// Cuts a stream of server-sent events (WHATWG HTML, section 9.2) into whole events and follows their ids, so that a
/// stream can go on behind the last event that was handed on.
class EventFramer {
public:
    /// Takes what came and gives the whole events in it, without those whose id is not above the last one's. A part
    /// of an event is kept until its end comes.
    [[nodiscard]] std::string add(std::string_view);

    /// The id of the last event that add() gave; nothing while none had a number as its id.
    [[nodiscard]] std::optional<std::uint64_t> last_id() const { return m_last_id; }
    void set_last_id(std::uint64_t id) { m_last_id = id; }

    /// Size of an event from which on its end is not waited for: such bytes are no event stream.
    static constexpr std::size_t s_max_event_bytes = 1U << 20U;
    /// Whether an event exceeds the limit.
    [[nodiscard]] bool has_oversized_event() const { return m_partial.size() > s_max_event_bytes; }

    /// Number of bytes allocated for an event whose end has not arrived.
    [[nodiscard]] std::size_t held_bytes() const { return m_partial.capacity(); }
    /// Whether part of an event waits for its end.
    [[nodiscard]] bool has_partial_event() const { return !m_partial.empty(); }
    /// Forgets the part of an event, for a stream that goes on elsewhere.
    void drop_partial_event() { m_partial.clear(); }

private:
    std::string m_partial;
    std::optional<std::uint64_t> m_last_id;
};

}
