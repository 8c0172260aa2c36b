#pragma once

#include <LibCore/Time.h>

#include <cstddef>

namespace GraniteField::Side {

inline constexpr char const* s_log_prefix = "side: ";
/// An answer of which this much is not acknowledged is paused at the engine.
inline constexpr std::size_t s_window_bytes = 1U << 20U;
inline constexpr std::size_t s_window_resume_bytes = s_window_bytes / 2;
inline constexpr Core::Milliseconds s_draining_retry_after {200};

}
