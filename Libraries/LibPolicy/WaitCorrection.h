#pragma once

#include <LibPolicy/ExpectedLoss.h>
#include <LibPolicy/InitialSamples.h>

#include <algorithm>

namespace GraniteField::Policy {

/// Correction factors from the predicted to the actual wait of a class of requests. Predictions count all requests
/// ahead, whatever their rank, and the load of other gateways is known late: requests of the lowest rank start after
/// 1.5 times the predicted wait, the most urgent ones after a tenth of it. Each class therefore estimates two factors
/// from its samples, the median and the 80th percentile. The first samples set both directly: with small steps alone a
/// gateway that has just started would overestimate the waits at its engines several times over for seconds.
class WaitCorrection {
public:
    /// Factors used while there are too few samples.
    static constexpr double s_initial_median_factor = 1.5;
    static constexpr double s_initial_percentile_80_factor = 2.6;

    /// Records the predicted and the actual wait of a request.
    void note(FractionalMilliseconds predicted, FractionalMilliseconds actual)
    {
        // Short waits consist mostly of time that is not predicted, such as network latency.
        if (!is_sample(predicted))
            return;
        note_ratio(actual / predicted);
    }

    /// Whether a wait with this prediction yields a sample.
    [[nodiscard]] static bool is_sample(FractionalMilliseconds predicted) { return predicted >= s_min_predicted; }

    /// Records the ratio of an actual to a predicted wait. `weight`, up to 1, scales the step of the estimates.
    void note_ratio(double unlimited_ratio, double weight = 1)
    {
        auto const ratio = std::clamp(unlimited_ratio, s_min_factor, s_max_factor);
        if (m_initial_samples.is_full()) {
            m_median_factor = step_towards(m_median_factor, ratio, s_median, weight);
            m_percentile_80_factor
                = std::max(m_median_factor, step_towards(m_percentile_80_factor, ratio, s_percentile_80, weight));
            return;
        }
        m_initial_samples.add(ratio);
        if (!has_enough_samples())
            return;
        m_median_factor = m_initial_samples.quantile(s_median);
        m_percentile_80_factor = m_initial_samples.quantile(s_percentile_80);
    }

    /// Whether the factors are based on samples.
    [[nodiscard]] bool has_enough_samples() const { return m_initial_samples.count() >= s_min_samples; }

    /// Estimated median of the waits with this prediction.
    [[nodiscard]] FractionalMilliseconds median(FractionalMilliseconds predicted) const
    {
        return predicted * m_median_factor;
    }
    /// Estimated 80th percentile of the waits with this prediction.
    [[nodiscard]] FractionalMilliseconds percentile_80(FractionalMilliseconds predicted) const
    {
        return predicted * m_percentile_80_factor;
    }

private:
    static constexpr FractionalMilliseconds s_min_predicted {50};
    static constexpr double s_min_factor = 0.02;
    static constexpr double s_max_factor = 10;
    static constexpr double s_median = 0.5;
    static constexpr double s_percentile_80 = 0.8;
    /// Relative step for one sample: about thirty samples double the estimate.
    static constexpr double s_step = 0.05;
    /// Number of samples from which the factors are first estimated, and number that are kept for it.
    static constexpr std::size_t s_min_samples = 5;
    static constexpr std::size_t s_initial_sample_count = 10;

    /// Moves the estimate up by a step in proportion to the quantile, or down in proportion to its complement. These
    /// steps balance at the quantile.
    [[nodiscard]] static double step_towards(double estimate, double ratio, double quantile, double weight)
    {
        auto const change = ratio > estimate ? s_step * quantile : -s_step * (1 - quantile);
        return std::clamp(estimate * (1 + change * weight), s_min_factor, s_max_factor);
    }

    InitialSamples<s_initial_sample_count> m_initial_samples;
    double m_median_factor {s_initial_median_factor};
    double m_percentile_80_factor {s_initial_percentile_80_factor};
};

}
