#include <LibGateway/RateLimitSharing.h>

#include <LibGateway/MessageAge.h>

#include <algorithm>
#include <cmath>

namespace GraniteField::Gateway {

namespace {

bool is_sound(granitefield::protocol::RateLimitReport const& message)
{
    return !message.has_rate() || (std::isfinite(message.rate()) && message.rate() >= 0);
}

}

bool RateLimitSharing::is_within_bounds(Messages const& messages)
{
    // To a newcomer all that is known goes with the news.
    constexpr auto most = static_cast<int>(2 * Policy::RateLimitFacts::s_most_told);
    return messages.size() <= most && std::ranges::all_of(messages, is_sound);
}

void RateLimitSharing::write(Messages& messages, Reports const& reports, Core::MonotonicTime now)
{
    for (auto const& [server, fact] : reports) {
        auto& message = *messages.Add();
        message.set_server(server);
        message.set_observed_age_ms(age_of(fact.observed, now));
        if (fact.rate)
            message.set_rate(*fact.rate);
        if (fact.first_limited != Core::MonotonicTime::max())
            message.set_first_limited_age_ms(age_of(fact.first_limited, now));
        if (fact.last_unlimited != Core::MonotonicTime::min())
            message.set_last_unlimited_age_ms(age_of(fact.last_unlimited, now));
    }
}

RateLimitSharing::Reports RateLimitSharing::read(Messages const& messages, Core::MonotonicTime now)
{
    Reports reports;
    for (auto const& message : messages) {
        Policy::RateLimitFact fact;
        fact.observed = time_of(message.observed_age_ms(), now);
        if (message.has_rate())
            fact.rate = message.rate();
        if (message.has_first_limited_age_ms())
            fact.first_limited = time_of(message.first_limited_age_ms(), now);
        if (message.has_last_unlimited_age_ms())
            fact.last_unlimited = time_of(message.last_unlimited_age_ms(), now);
        reports.push_back({message.server(), fact});
    }
    return reports;
}

}
