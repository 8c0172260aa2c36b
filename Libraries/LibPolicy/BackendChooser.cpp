#include <LibPolicy/BackendChooser.h>

#include <algorithm>

namespace GraniteField::Policy {

namespace {

constexpr std::int64_t s_bytes_per_kilobyte = 1024;

std::size_t choose_by_prefix(std::uint64_t prefix_hash, std::span<BackendView const> candidates)
{
    std::size_t best = 0;
    std::uint64_t best_weight = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        auto const weight = Core::hash_bytes(candidates[index].name, prefix_hash);
        if (index == 0 || weight > best_weight) {
            best = index;
            best_weight = weight;
        }
    }
    return best;
}

/// Returns the index with the lowest cost. Among equal costs the first one from `first` on wins, so that a different
/// `first` for each call distributes the load.
template <typename Cost>
std::size_t index_of_min(std::size_t count, std::uint64_t first, Cost cost)
{
    auto best = first % count;
    auto best_cost = cost(best);
    for (std::size_t step = 1; step < count; ++step) {
        auto const index = (first + step) % count;
        auto const own_cost = cost(index);
        if (own_cost < best_cost) {
            best = index;
            best_cost = own_cost;
        }
    }
    return best;
}

}

Core::Microseconds predicted_wait(BackendView const& backend, unsigned tier)
{
    unsigned waiting_ahead = 0;
    unsigned sent_ahead = 0;
    unsigned sent = 0;
    for (unsigned other = 1; other <= s_tier_count; ++other) {
        sent += backend.sent_by_tier[other - 1];
        if (other > tier)
            continue;
        waiting_ahead += backend.waiting_by_tier[other - 1];
        sent_ahead += backend.sent_by_tier[other - 1];
    }
    auto const headroom = tier == s_urgent_tier ? 0 : backend.headroom_slots;
    auto const taken = backend.running + sent + headroom;
    if (waiting_ahead == 0 && taken < backend.slots)
        return Core::Microseconds(0);
    auto const rounds = static_cast<double>(waiting_ahead + sent_ahead + 1) / std::max(backend.slots, 1U);
    auto const service
        = static_cast<double>(std::chrono::duration_cast<Core::Microseconds>(backend.mean_service).count());
    return Core::Microseconds(static_cast<std::int64_t>(rounds * service));
}

std::size_t PredictedWaitChooser::choose(ChoiceQuery const& query, std::span<BackendView const> candidates)
{
    std::optional<std::size_t> preferred;
    if (query.prefix_hash != 0)
        preferred = choose_by_prefix(query.prefix_hash, candidates);
    Core::Microseconds const missed_prefix_cost = Core::Microseconds(m_missed_prefix_cost_per_kilobyte)
        * static_cast<std::int64_t>(query.prompt_bytes) / s_bytes_per_kilobyte;
    auto const cost = [&](std::size_t index) {
        auto const& backend = candidates[index];
        Core::Microseconds total = predicted_wait(backend, query.tier) + backend.mean_first_token;
        if (preferred && *preferred != index)
            total += missed_prefix_cost;
        // Ties are broken by the current load, in percent of the slots.
        auto const load = (backend.running + backend.open) * 100U / std::max(backend.slots, 1U);
        return std::pair(total, load);
    };
    return index_of_min(candidates.size(), m_rotation++, cost);
}

std::size_t LeastOutstandingChooser::choose(ChoiceQuery const&, std::span<BackendView const> candidates)
{
    return index_of_min(candidates.size(), m_rotation++, [&](std::size_t index) { return candidates[index].open; });
}

}
