#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/ExpectedLoss.h>

#include <cstdint>

namespace GraniteField::Gateway {

/// Estimates, from the responses of a service's engines, how fast they prefill prompts and how long streams pause
/// meanwhile. An engine prefills a prompt in chunks between the decoding steps of all other streams, so that each event
/// of a stream waits for several chunks. A prefill that ends within these chunks delays a stream only by its own
/// duration.
class EngineModel {
public:
    using Time = Policy::FractionalMilliseconds;

    /// Number of prompt tokens whose prefill is assumed to last through a whole event, until pauses have been observed.
    static constexpr std::uint64_t s_initial_long_prefill = 8'000;
    /// Number of observed pauses after which the estimate changes in its usual small steps.
    static constexpr unsigned s_initial_pause_count = 20;

    /// Values used until responses have been observed.
    struct Prior {
        /// Prompt tokens that an engine prefills per millisecond.
        double prefill_rate {30};
        /// Pause of streams during a long prefill. Protects the streams of a gateway that has just started and has
        /// observed no pause.
        Core::Milliseconds longest_pause {250};
    };

    explicit EngineModel(Prior const& prior)
        : m_prefill_rate(prior.prefill_rate)
        , m_longest_pause(prior.longest_pause)
    {
    }

    /// Records the time to the first event for a prompt with this number of tokens to prefill.
    void note_first_event(std::uint64_t unread_tokens, Core::Milliseconds wait);
    /// Records a pause between two events while the engine had this number of prompt tokens to prefill.
    void note_pause(Time pause, std::uint64_t unread_tokens);

    /// Prompt tokens prefilled per millisecond.
    [[nodiscard]] double prefill_rate() const { return m_prefill_rate; }
    [[nodiscard]] Time prefill_time(double tokens) const { return Time(tokens / m_prefill_rate); }

    /// Returns the upper quantile of the pauses during a prefill that lasts longer than an event.
    [[nodiscard]] Time longest_pause() const { return m_longest_pause; }
    /// Returns the number of tokens from which a prefill causes such a pause.
    [[nodiscard]] std::uint64_t long_prefill() const;

    /// Returns the probability that a stream with this pause target is late while the engine has this number of tokens
    /// to prefill.
    [[nodiscard]] double late_probability(Time target, std::uint64_t unread_tokens) const;
    /// Whether long prefills delay streams with this pause target often enough to keep both on different engines.
    [[nodiscard]] bool is_sensitive(Time target) const;

private:
    unsigned m_pause_count {0};
    double m_prefill_rate;
    Time m_longest_pause;
};

}
