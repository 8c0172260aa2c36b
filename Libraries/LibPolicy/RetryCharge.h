#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace GraniteField::Policy {

/// Counts of a budget's charges.
struct RetryChargeCounts {
    /// Charges that are not settled, by what they were charged to.
    std::size_t earned {0};
    std::size_t slack {0};
    /// Charges to the earned allowance that were settled and are not recorded in a window yet.
    unsigned settled {0};
};

/// A repeated send that was charged to a retry budget. Copies stand for the same send. Destroying the last copy settles
/// the charge: the send has arrived, or can't arrive any more. May outlive its budget. For one thread.
class RetryCharge {
public:
    enum class Source {
        /// Earned by requests of the last window.
        Earned,
        Slack,
    };

    RetryCharge(std::shared_ptr<RetryChargeCounts> charges, Source source)
        : m_guard(std::make_shared<Guard>(std::move(charges), source))
    {
    }

private:
    struct Guard {
        Guard(std::shared_ptr<RetryChargeCounts> charges, Source source)
            : charges(std::move(charges))
            , source(source)
        {
            ++(source == Source::Earned ? this->charges->earned : this->charges->slack);
        }
        ~Guard()
        {
            --(source == Source::Earned ? charges->earned : charges->slack);
            charges->settled += source == Source::Earned ? 1 : 0;
        }
        Guard(Guard const&) = delete;
        Guard& operator=(Guard const&) = delete;

        std::shared_ptr<RetryChargeCounts> charges;
        Source source;
    };

    std::shared_ptr<Guard> m_guard;
};

}
