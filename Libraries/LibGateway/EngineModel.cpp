#include <LibGateway/EngineModel.h>

#include <algorithm>

namespace GraniteField::Gateway {

namespace {

/// Minimum number of prefilled tokens from which the prefill rate can be estimated.
constexpr std::uint64_t s_min_measured_tokens = 2'000;
constexpr double s_newest_rate_weight = 0.1;
constexpr double s_min_prefill_rate = 1;

/// Share of the pauses during long prefills that lies below the estimate.
constexpr double s_pause_quantile = 0.75;
/// Relative change of the estimate per observed pause.
constexpr double s_pause_step = 0.05;
/// Relative change until s_initial_pause_count pauses have been observed.
constexpr double s_initial_pause_step = 0.2;
/// Minimum estimate in milliseconds; relative steps could not leave zero.
constexpr EngineModel::Time s_min_pause {1};
/// Steepness of the distribution of pauses around the estimate. They vary little: if the estimate is a sixth below the
/// target, about one pause in ten exceeds the target.
constexpr double s_pause_steepness = 12;
/// Minimum probability of a late stream from which the stream counts as sensitive.
constexpr double s_min_late_probability = 0.1;
/// Minimum number of tokens of a long prefill; a shorter one ends between two events.
constexpr std::uint64_t s_min_long_prefill = 1'000;

}

void EngineModel::note_first_event(std::uint64_t unread_tokens, Core::Milliseconds wait)
{
    if (unread_tokens < s_min_measured_tokens || wait.count() <= 0)
        return;
    auto const measured = static_cast<double>(unread_tokens) / static_cast<double>(wait.count());
    // Most times to the first event include other delays, so a faster sample is more reliable than a slower one.
    auto const weight = measured > m_prefill_rate ? s_newest_rate_weight : s_newest_rate_weight / 10;
    m_prefill_rate = std::max(s_min_prefill_rate, m_prefill_rate + (measured - m_prefill_rate) * weight);
}

void EngineModel::note_pause(Time pause, std::uint64_t unread_tokens)
{
    if (unread_tokens < s_initial_long_prefill)
        return;
    auto const step = m_pause_count < s_initial_pause_count ? s_initial_pause_step : s_pause_step;
    m_pause_count = std::min(m_pause_count + 1, s_initial_pause_count);
    // With step sizes in this ratio, the estimate converges to the quantile.
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
