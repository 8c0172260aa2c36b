#pragma once

#include <LibPolicy/ExpectedLoss.h>
#include <LibPolicy/FirstSamples.h>

#include <algorithm>

namespace GraniteField::Policy {

/// What predicted waits came to, for one class of requests. Predictions count all that lies before a request, whatever
/// its rank, and know others' load a moment late: requests of the lowest rank begin after half as much again as
/// predicted, the most urgent after a tenth of it. So each class learns two factors from what it saw: that of the
/// middle, and that of eight in ten. The first samples give both at once: by small steps alone a gateway that has just
/// begun would take engines for several times slower than they are for seconds.
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
        if (m_first.is_full()) {
            m_middle = move(m_middle, ratio, s_middle_part);
            m_most = std::max(m_middle, move(m_most, ratio, s_most_part));
            return;
        }
        m_first.add(ratio);
        if (!is_proven())
            return;
        m_middle = m_first.quantile(s_middle_part);
        m_most = m_first.quantile(s_most_part);
    }

    /// Whether the factors rest on what was seen.
    [[nodiscard]] bool is_proven() const { return m_first.count() >= s_enough; }

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
    /// Samples from which the factors are first taken, and that are kept for it.
    static constexpr std::size_t s_enough = 5;
    static constexpr std::size_t s_few = 10;

    /// Steps whose sizes stand in the ratio of the quantile's two sides settle where they cancel out.
    [[nodiscard]] static double move(double estimate, double ratio, double part)
    {
        auto const change = ratio > estimate ? s_step * part : -s_step * (1 - part);
        return std::clamp(estimate * (1 + change), s_least, s_greatest);
    }

    FirstSamples<s_few> m_first;
    double m_middle {s_first_middle};
    double m_most {s_first_most};
};

}
