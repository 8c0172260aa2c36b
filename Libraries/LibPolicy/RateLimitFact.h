#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/LimitShares.h>
#include <LibPolicy/ServerFacts.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace GraniteField::Policy {

/// What answers of a backend server have shown of its rate limit. Each part merges by itself, by the least or the
/// greatest value, so that the order of reports does not matter.
struct RateLimitFact {
    /// When a limit was first stated.
    Core::MonotonicTime first_limited {Core::MonotonicTime::max()};
    /// When one was last stated, and requests per second from all gateways by it.
    Core::MonotonicTime last_limited {Core::MonotonicTime::min()};
    double rate {0};
    /// When the server last stated none.
    Core::MonotonicTime last_unlimited {Core::MonotonicTime::min()};

    /// An answer that states a limit proves it for the time of its receipt.
    [[nodiscard]] static RateLimitFact limited(double rate, Core::MonotonicTime received)
    {
        return {received, received, rate, Core::MonotonicTime::min()};
    }

    /// An answer without a limit proves this for the time of its request only: answers on different connections
    /// overtake each other.
    [[nodiscard]] static RateLimitFact unlimited(Core::MonotonicTime sent)
    {
        return {Core::MonotonicTime::max(), Core::MonotonicTime::min(), 0, sent};
    }

    [[nodiscard]] bool is_limited() const
    {
        return last_limited != Core::MonotonicTime::min() && last_limited >= last_unlimited;
    }

    [[nodiscard]] std::optional<SharedRateLimit> limit() const
    {
        if (!is_limited())
            return std::nullopt;
        return SharedRateLimit {rate, std::max(first_limited, last_unlimited)};
    }

    [[nodiscard]] Core::MonotonicTime observed() const { return std::max(last_limited, last_unlimited); }
    [[nodiscard]] bool is_over() const { return !is_limited(); }

    FactChange merge(RateLimitFact const& other)
    {
        auto const before = *this;
        first_limited = std::min(first_limited, other.first_limited);
        last_unlimited = std::max(last_unlimited, other.last_unlimited);
        // Of two rates for the same time the lower one is kept to.
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
