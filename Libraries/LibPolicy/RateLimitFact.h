#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/LimitShares.h>
#include <LibPolicy/ServerFacts.h>

#include <algorithm>
#include <optional>

namespace GraniteField::Policy {

/// What answers of a backend server have shown of its rate limit. Each member merges by itself, by the least, the
/// greatest or the newest value, so that the order of reports does not matter.
struct RateLimitFact {
    /// Requests per second from all gateways, by the newest answer; nullopt for no limit.
    std::optional<double> rate;
    /// When a limit was first stated.
    Core::MonotonicTime first_limited {Core::MonotonicTime::max()};
    /// When the server last stated none.
    Core::MonotonicTime last_unlimited {Core::MonotonicTime::min()};
    /// The time for which `rate` is known.
    Core::MonotonicTime observed;

    /// An answer that states a limit proves it for the time of its receipt.
    [[nodiscard]] static RateLimitFact limited(double rate, Core::MonotonicTime received)
    {
        RateLimitFact fact;
        fact.rate = rate;
        fact.first_limited = received;
        fact.observed = received;
        return fact;
    }

    /// An answer without a limit proves this for the time of its request only: answers on different connections
    /// overtake each other.
    [[nodiscard]] static RateLimitFact unlimited(Core::MonotonicTime sent)
    {
        RateLimitFact fact;
        fact.last_unlimited = sent;
        fact.observed = sent;
        return fact;
    }

    [[nodiscard]] std::optional<SharedRateLimit> limit() const
    {
        return rate ? std::optional(SharedRateLimit {*rate, std::max(first_limited, last_unlimited)}) : std::nullopt;
    }

    [[nodiscard]] bool is_over() const { return !rate; }

    FactChange merge(RateLimitFact const& other)
    {
        first_limited = std::min(first_limited, other.first_limited);
        last_unlimited = std::max(last_unlimited, other.last_unlimited);
        bool const is_newer
            = other.observed > observed || (other.observed == observed && is_stricter(other.rate, rate));
        if (!is_newer)
            return FactChange::None;
        bool const is_same = rate == other.rate;
        rate = other.rate;
        observed = other.observed;
        return is_same ? FactChange::Confirmed : FactChange::Changed;
    }

    bool operator==(RateLimitFact const&) const = default;

private:
    [[nodiscard]] static bool is_stricter(std::optional<double> const& left, std::optional<double> const& right)
    {
        return left && (!right || *left < *right);
    }
};

using RateLimitFacts = ServerFacts<RateLimitFact>;

}
