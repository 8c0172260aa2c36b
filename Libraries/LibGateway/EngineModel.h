#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/ExpectedLoss.h>

#include <cstdint>

namespace GraniteField::Gateway {

/// How the engines of a service behave, learned from their answers: how quickly they read prompts, and how long their
/// streams pause meanwhile. An engine reads a prompt in pieces between the tokens of all others, so that each event
/// that comes meanwhile waits for several pieces; a reading that ends within them costs a stream only its own length.
class EngineModel {
public:
    using Time = Policy::FineTime;

    /// Where a reading is taken to last through a whole event, before the streams have told better; in tokens.
    static constexpr std::uint64_t s_initial_long_prefill = 8'000;
    /// Pauses that are seen before the estimate moves in its usual small steps.
    static constexpr unsigned s_initial_pause_count = 20;

    /// What is taken to hold until answers tell better.
    struct Prior {
        /// Prompt tokens that an engine reads in a millisecond.
        double prefill_rate {30};
        /// The pause of streams beside a long reading. Guards the streams of a gateway that has just begun and has seen
        /// no pause yet.
        Core::Milliseconds longest_pause {250};
    };

    explicit EngineModel(Prior const& prior)
        : m_prefill_rate(prior.prefill_rate)
        , m_longest_pause(prior.longest_pause)
    {
    }

    /// An engine gave the first event of a prompt of which it had to read so many tokens.
    void note_first_event(std::uint64_t unread_tokens, Core::Milliseconds wait);
    /// An event came after that pause, while its engine had so many prompt tokens to read.
    void note_pause(Time pause, std::uint64_t unread_tokens);

    /// Prompt tokens read in a millisecond.
    [[nodiscard]] double prefill_rate() const { return m_prefill_rate; }
    [[nodiscard]] Time prefill_time(double tokens) const { return Time(tokens / m_prefill_rate); }

    /// The pause beside a reading that outlasts an event, which most streams stay below.
    [[nodiscard]] Time longest_pause() const { return m_longest_pause; }
    /// Tokens from which a reading is that long.
    [[nodiscard]] std::uint64_t long_prefill() const;

    /// Probability that a stream with this target for pauses is late while the engine has so much to read.
    [[nodiscard]] double late_probability(Time target, std::uint64_t unread_tokens) const;
    /// Whether streams with this target are late beside long readings often enough to keep them apart.
    [[nodiscard]] bool is_sensitive(Time target) const;

private:
    unsigned m_pause_count {0};
    double m_prefill_rate;
    Time m_longest_pause;
};

}
