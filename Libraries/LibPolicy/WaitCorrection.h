#pragma once

#include <LibPolicy/ExpectedLoss.h>

#include <algorithm>

namespace GraniteField::Policy {

/// What predicted waits came to, for one class of requests. Predictions count all that lies before a request, whatever
/// its rank, and know others' load a moment late: requests of the lowest rank begin after half as much again as
/// predicted, the most urgent after a tenth of it. So each class learns two factors from what it saw: that of the
/// middle, and that of eight in ten.
class WaitCorrection {
public:
    /// Where nothing is known yet.
    static constexpr double s_first_middle = 1.5;
    static constexpr double s_first_most = 2.6;

    /// A request that was predicted to wait so long did wait so long.
    void note(FineTime predicted, FineTime actual)
    {
        // A short wait is made of what no prediction knows, such as the ways there and back.
        if (predicted < s_least_predicted)
            return;
        auto const ratio = std::clamp(actual / predicted, s_least, s_greatest);
        m_middle = move(m_middle, ratio, s_middle_part);
        m_most = std::max(m_middle, move(m_most, ratio, s_most_part));
        m_count = std::min(m_count + 1, s_few);
    }

    /// The wait that half of the requests stay below.
    [[nodiscard]] FineTime middle(FineTime predicted) const { return predicted * m_middle; }
    /// The wait that eight in ten stay below.
    [[nodiscard]] FineTime most(FineTime predicted) const { return predicted * m_most; }

private:
    static constexpr FineTime s_least_predicted {50};
    static constexpr double s_least = 0.02;
    static constexpr double s_greatest = 10;
    static constexpr double s_middle_part = 0.5;
    static constexpr double s_most_part = 0.8;
    /// How far an estimate moves with one request, as a part of itself: some thirty requests double it.
    static constexpr double s_step = 0.05;
    /// The same while few have been seen; a gateway of thirty sees two urgent prompts a second.
    static constexpr double s_first_step = 0.3;
    static constexpr unsigned s_few = 10;

    /// Steps whose sizes stand in the ratio of the quantile's two sides settle where they cancel out.
    [[nodiscard]] double move(double estimate, double ratio, double part) const
    {
        auto const step = m_count < s_few ? s_first_step : s_step;
        auto const change = ratio > estimate ? step * part : -step * (1 - part);
        return std::clamp(estimate * (1 + change), s_least, s_greatest);
    }

    unsigned m_count {0};
    double m_middle {s_first_middle};
    double m_most {s_first_most};
};

}
