#include <LibEntry/PullSchedule.h>

#include <algorithm>
#include <utility>

namespace GraniteField::Entry {

void PullSchedule::note_offer(PeerOrigin origin, StateVersions const& versions)
{
    auto const existing = std::ranges::find(m_offers, origin, &Offer::origin);
    if (existing != m_offers.end()) {
        // A newer announcement is a reason to pull from it again.
        existing->was_pulled = existing->was_pulled && !versions.is_ahead_of(existing->versions);
        existing->versions = versions;
        return;
    }
    if (m_offers.size() < s_max_offers)
        m_offers.push_back({std::move(origin), versions});
}

void PullSchedule::note_update()
{
    m_behind_since.reset();
    m_pulled_at.reset();
    m_queried_at.reset();
}

void PullSchedule::remove_satisfied_offers(StateVersions const& own)
{
    std::erase_if(m_offers, [&](auto const& offer) { return !offer.versions.is_ahead_of(own); });
}

bool PullSchedule::has_delay_passed(StateVersions const& own, Core::MonotonicTime now, Core::Milliseconds delay)
{
    remove_satisfied_offers(own);
    if (m_offers.empty() && !m_newest_known.is_ahead_of(own)) {
        m_behind_since.reset();
        return false;
    }
    if (!m_behind_since)
        m_behind_since = now;
    return Core::elapsed(*m_behind_since, now) >= delay;
}

PullSchedule::Offer* PullSchedule::best_offer()
{
    if (std::ranges::all_of(m_offers, &Offer::was_pulled))
        std::ranges::for_each(m_offers, [](auto& offer) { offer.was_pulled = false; });
    Offer* best = nullptr;
    for (auto& offer : m_offers) {
        bool const is_better = best == nullptr || offer.versions > best->versions;
        if (!offer.was_pulled && is_better)
            best = &offer;
    }
    return best;
}

std::optional<PeerOrigin> PullSchedule::next(
    StateVersions const& own, Core::MonotonicTime now, Core::Milliseconds delay)
{
    if (!has_delay_passed(own, now, delay))
        return std::nullopt;
    bool const is_in_flight = m_pulled_at && Core::elapsed(*m_pulled_at, now) < s_pull_timeout;
    if (is_in_flight)
        return std::nullopt;
    auto* const offer = best_offer();
    if (offer == nullptr)
        return std::nullopt;
    offer->was_pulled = true;
    m_pulled_at = now;
    return offer->origin;
}

bool PullSchedule::should_query_neighbours(StateVersions const& own, Core::MonotonicTime now, Core::Milliseconds delay)
{
    if (!has_delay_passed(own, now, std::max(delay, s_query_interval)))
        return false;
    bool const has_offer = std::ranges::any_of(m_offers, [](auto const& offer) { return !offer.was_pulled; });
    if (has_offer || (m_queried_at && Core::elapsed(*m_queried_at, now) < s_query_interval))
        return false;
    m_queried_at = now;
    return true;
}

}
