#include <LibGateway/EngineModel.h>

#include <algorithm>

namespace GraniteField::Gateway {

namespace {

/// A shorter reading says too little of an engine's rate, in tokens.
constexpr std::uint64_t s_min_measured_tokens = 2'000;
constexpr double s_newest_rate_weight = 0.1;
constexpr double s_min_prefill_rate = 1;

/// The part of the pauses beside long readings that lie below the estimate.
constexpr double s_pause_quantile = 0.75;
/// How far the estimate moves with one pause, as a part of itself.
constexpr double s_pause_step = 0.05;
/// The same while little is known.
constexpr double s_initial_pause_step = 0.2;
/// The estimate stays above this, since it moves by parts of itself.
constexpr EngineModel::Time s_min_pause {1};
/// Pauses spread little around what the reading beside them makes them: one a sixth below the target exceeds it in
/// about one case of ten.
constexpr double s_pause_steepness = 12;
/// Streams that are late beside a long reading less often than this are left out of account.
constexpr double s_min_late_probability = 0.1;
/// A shorter reading ends between two events.
constexpr std::uint64_t s_min_long_prefill = 1'000;

}

void EngineModel::note_first_event(std::uint64_t unread_tokens, Core::Milliseconds wait)
{
    if (unread_tokens < s_min_measured_tokens || wait.count() <= 0)
        return;
    auto const measured = static_cast<double>(unread_tokens) / static_cast<double>(wait.count());
    // Most waits hold more than the reading itself, so a faster reading says more than a slower one.
    auto const weight = measured > m_prefill_rate ? s_newest_rate_weight : s_newest_rate_weight / 10;
    m_prefill_rate = std::max(s_min_prefill_rate, m_prefill_rate + (measured - m_prefill_rate) * weight);
}

void EngineModel::note_pause(Time pause, std::uint64_t unread_tokens)
{
    if (unread_tokens < s_initial_long_prefill)
        return;
    auto const step = m_pause_count < s_initial_pause_count ? s_initial_pause_step : s_pause_step;
    m_pause_count = std::min(m_pause_count + 1, s_initial_pause_count);
    // Steps whose sizes stand in the ratio of the quantile's two sides settle where they cancel out.
    if (pause > m_longest_pause)
        m_longest_pause += m_longest_pause * step * s_pause_quantile;
    else
        m_longest_pause = std::max(m_longest_pause - m_longest_pause * step * (1 - s_pause_quantile), s_min_pause);
}

std::uint64_t EngineModel::long_prefill() const
{
    auto const tokens = static_cast<std::uint64_t>(m_longest_pause.count() * m_prefill_rate);
    return std::clamp(tokens, s_min_long_prefill, s_initial_long_prefill);
}

double EngineModel::late_probability(Time target, std::uint64_t unread_tokens) const
{
    auto const fraction = static_cast<double>(unread_tokens) / static_cast<double>(long_prefill());
    return Policy::probability_of_exceeding(m_longest_pause * std::min(1.0, fraction), target, s_pause_steepness);
}

bool EngineModel::is_sensitive(Time target) const
{
    return late_probability(target, long_prefill()) >= s_min_late_probability;
}

}
