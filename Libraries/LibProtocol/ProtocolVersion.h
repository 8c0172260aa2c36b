#pragma once

#include <cstdint>

namespace GraniteField::Protocol {

/// Version of the messages between the system's processes. A peer of another version is refused by name.
inline constexpr std::uint32_t s_protocol_version = 1;

/// Waiting messages that a socket holds for one peer before it takes no more.
inline constexpr int s_high_water_mark = 20'000;

/// A larger message closes the connection that it came on. Bodies and answers are far smaller.
inline constexpr std::int64_t s_largest_message_bytes = 32 << 20;

}
