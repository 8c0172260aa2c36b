#include <LibEntry/PullSchedule.h>

#include <algorithm>
#include <utility>

namespace GraniteField::Entry {

void PullSchedule::note_offer(PeerOrigin origin, StateVersions const& versions)
{
    auto const known = std::ranges::find(m_offers, origin, &Offer::origin);
    if (known != m_offers.end()) {
        // Its newer word is a reason to ask it again.
        known->was_pulled = known->was_pulled && !versions.is_ahead_of(known->versions);
        known->versions = versions;
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

bool PullSchedule::has_delay_passed(StateVersions const& own, Core::MonotonicTime now, Core::Milliseconds patience)
{
    remove_satisfied_offers(own);
    if (m_offers.empty() && !m_newest_known.is_ahead_of(own)) {
        m_behind_since.reset();
        return false;
    }
    if (!m_behind_since)
        m_behind_since = now;
    return Core::elapsed(*m_behind_since, now) >= patience;
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
    StateVersions const& own, Core::MonotonicTime now, Core::Milliseconds patience)
{
    if (!has_delay_passed(own, now, patience))
        return std::nullopt;
    bool const is_under_way = m_pulled_at && Core::elapsed(*m_pulled_at, now) < s_pull_timeout;
    if (is_under_way)
        return std::nullopt;
    auto* const offer = best_offer();
    if (offer == nullptr)
        return std::nullopt;
    offer->was_pulled = true;
    m_pulled_at = now;
    return offer->origin;
}

bool PullSchedule::should_query_neighbours(
    StateVersions const& own, Core::MonotonicTime now, Core::Milliseconds patience)
{
    if (!has_delay_passed(own, now, std::max(patience, s_query_interval)))
        return false;
    bool const has_somebody = std::ranges::any_of(m_offers, [](auto const& offer) { return !offer.was_pulled; });
    if (has_somebody || (m_queried_at && Core::elapsed(*m_queried_at, now) < s_query_interval))
        return false;
    m_queried_at = now;
    return true;
}

}
