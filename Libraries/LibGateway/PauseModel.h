#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace GraniteField::Gateway {

/// How long the streams of a service's engines pause while these read long prompts, learned from the streams
/// themselves. An engine reads a prompt in pieces between the tokens of all others, so that each event that comes
/// meanwhile is late by several pieces; how long that is depends on the engine and on how many tokens an event holds.
/// A class whose pause target lies below misses it whenever a long prompt is read beside it.
class PauseModel {
public:
    using Time = std::chrono::duration<double, std::milli>;

    /// Unread prompt tokens at an engine from which it is taken to read through a whole event: the pieces of a few
    /// steps. Shorter readings end within an event and say nothing.
    static constexpr std::uint64_t s_long_reading_tokens = 8'000;
    /// Pauses that are seen before anything is concluded.
    static constexpr unsigned s_enough_pauses = 20;

    /// An event came after that pause, while its engine had so many prompt tokens to read.
    void note_pause(Time pause, std::uint64_t unread_tokens);

    /// Whether streams with this target for pauses are late beside a long reading.
    [[nodiscard]] bool is_sensitive(Core::Milliseconds target) const
    {
        return m_count >= s_enough_pauses && Time(target) < m_pause * s_margin;
    }

    /// The pause beside a long reading that most streams stay below.
    [[nodiscard]] Time pause() const { return m_pause; }

private:
    /// The part of the pauses that lie below the estimate.
    static constexpr double s_quantile = 0.75;
    /// How far the estimate moves with one pause, as a part of itself.
    static constexpr double s_step = 0.05;
    /// The estimate stays above this, since it moves by parts of itself.
    static constexpr Time s_least_pause {1};
    /// Pauses grow with what else runs at the engine; a target this close is missed often.
    static constexpr double s_margin = 1.2;

    unsigned m_count {0};
    Time m_pause {0};
};

}
