#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/LimitShares.h>
#include <LibPolicy/ServerFacts.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace GraniteField::Policy {

/// Evidence from answers about a backend server's rate limit. Each member merges to its minimum or maximum, so that
/// the order of reports does not matter.
struct RateLimitFact {
    using Time = std::optional<Core::MonotonicTime>;

    /// When a limit was first stated.
    Time first_limited;
    /// When a limit was last stated, and its requests per second from all gateways.
    Time last_limited;
    double rate {0};
    /// When an answer last stated no limit.
    Time last_unlimited;

    /// An answer with a limit is evidence for the time of its receipt.
    [[nodiscard]] static RateLimitFact limited(double rate, Core::MonotonicTime received)
    {
        return {received, received, rate, std::nullopt};
    }

    /// An answer without a limit is evidence only for the time when its request was sent: answers on different
    /// connections overtake each other.
    [[nodiscard]] static RateLimitFact unlimited(Core::MonotonicTime sent)
    {
        return {std::nullopt, std::nullopt, 0, sent};
    }

    [[nodiscard]] bool is_limited() const { return last_limited && last_limited >= last_unlimited; }

    /// The limit in force, or nullopt.
    [[nodiscard]] std::optional<SharedRateLimit> limit() const
    {
        if (!is_limited())
            return std::nullopt;
        auto const first = first_limited.value_or(*last_limited);
        return SharedRateLimit {rate, std::max(first, last_unlimited.value_or(first))};
    }

    [[nodiscard]] Core::MonotonicTime observed() const
    {
        return std::max(last_limited, last_unlimited).value_or(Core::MonotonicTime());
    }
    [[nodiscard]] bool is_over() const { return !is_limited(); }

    FactChange merge(RateLimitFact const& other)
    {
        auto const before = *this;
        if (other.first_limited)
            first_limited = std::min(*other.first_limited, first_limited.value_or(*other.first_limited));
        last_unlimited = std::max(last_unlimited, other.last_unlimited);
        // Of two rates stated at the same time the lower one applies.
        if (std::pair(other.last_limited, -other.rate) > std::pair(last_limited, -rate)) {
            last_limited = other.last_limited;
            rate = other.rate;
        }
        bool const is_same = is_limited() == before.is_limited() && (rate == before.rate || !is_limited());
        if (!is_same)
            return FactChange::Changed;
        return observed() > before.observed() ? FactChange::Confirmed : FactChange::None;
    }

    bool operator==(RateLimitFact const&) const = default;
};

using RateLimitFacts = ServerFacts<RateLimitFact>;

}
