#pragma once

#include <LibPolicy/FleetDemand.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Policy {

/// Ratio of an actual to a predicted wait at some gateway.
struct WaitSample {
    /// Hash of the service and the request class.
    NameHash key {0};
    /// In thousandths.
    std::uint32_t ratio_permille {0};

    bool operator==(WaitSample const&) const = default;
};

/// Samples of waits to report to the other gateways, so that all of them correct their predictions alike: a gateway
/// with few requests would take a minute for what the fleet observes in a second. No I/O and no clock.
class WaitSamples {
public:
    /// Number of samples in one datagram; further ones are not reported.
    static constexpr std::size_t s_max_reported {8};
    static constexpr std::uint32_t s_max_ratio_permille {100'000};

    [[nodiscard]] static NameHash key_of(std::string const& service, std::string const& request_class)
    {
        return hash_name(service + '\n' + request_class);
    }

    /// Records a sample of this gateway.
    void add(NameHash key, double ratio)
    {
        constexpr double permille = 1'000;
        auto const limited = std::min(ratio * permille, static_cast<double>(s_max_ratio_permille));
        if (m_unreported.size() < s_max_reported)
            m_unreported.push_back({key, static_cast<std::uint32_t>(limited)});
    }

    [[nodiscard]] std::vector<WaitSample> take_unreported() { return std::exchange(m_unreported, {}); }

private:
    std::vector<WaitSample> m_unreported;
};

}
