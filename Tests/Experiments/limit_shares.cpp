// Compares the strategies for dividing the rate limit of a backend server among gateways, with the same callers.
#include "LimitSimulation.h"

#include <array>
#include <iostream>

#include <absl/strings/str_format.h>

using namespace GraniteField;
using namespace GraniteField::Policy;

namespace {

constexpr std::uint32_t s_runs = 20;
constexpr std::array s_strategies {LimitStrategy::Unbounded, LimitStrategy::PerGateway, LimitStrategy::EqualShares,
    LimitStrategy::FixedSenders, LimitStrategy::RotatingSenders};
constexpr std::array s_names {"unbounded", "alone", "equal", "fixed", "changing"};

/// Prints for each strategy the maximum number of requests in 4 s, the mean fraction of the limit that was used, and
/// the number of runs that exceeded the limit.
void print_row(char const* name, LimitSettings settings)
{
    std::cout << absl::StrFormat("%-52s", name);
    for (std::size_t index = 0; index < s_strategies.size(); ++index) {
        std::size_t max = 0;
        std::size_t runs_with_violations = 0;
        double used_fraction = 0;
        std::size_t found = 0;
        Core::Milliseconds detection_time {0};
        for (std::uint32_t seed = 1; seed <= s_runs; ++seed) {
            settings.seed = seed;
            auto const outcome = LimitSimulation(settings).simulate(s_strategies.at(index));
            max = std::max(max, outcome.max_requests_in_window);
            used_fraction += outcome.used_fraction / s_runs;
            runs_with_violations += outcome.findings.empty() ? 0 : 1;
            if (outcome.detection_time) {
                ++found;
                detection_time = std::max(detection_time, *outcome.detection_time);
            }
        }
        std::cout << absl::StrFormat(" | %s %u; %.2f; %u", s_names.at(index), max, used_fraction, runs_with_violations);
        if (settings.limit_time < settings.length)
            std::cout << absl::StrFormat("; found %u, %d ms", found, detection_time.count());
    }
    std::cout << '\n';
}

LimitSettings make(std::size_t gateways, double rate, double load)
{
    LimitSettings settings;
    settings.gateways = gateways;
    settings.rate = rate;
    settings.load = load;
    return settings;
}

}

int main()
{
    print_row("4 gateways, 1/s, 40 requests/s", make(4, 1, 40));
    print_row("4 gateways, 0.5/s, 40 requests/s", make(4, 0.5, 40));
    print_row("4 gateways, 12.5/s, 40 requests/s", make(4, 12.5, 40));
    print_row("30 gateways, 0.5/s, 60 requests/s", make(30, 0.5, 60));
    print_row("30 gateways, 3.7/s, 60 requests/s", make(30, 3.7, 60));
    auto unknown = make(30, 3.7, 60);
    unknown.unknown_fraction = 0.1;
    print_row("the same, a tenth of the others unknown", unknown);
    print_row("300 gateways, 1/s, 1,000 requests/s", make(300, 1, 1'000));
    print_row("300 gateways, 12.5/s, 1,000 requests/s", make(300, 12.5, 1'000));
    auto large_unknown = make(300, 12.5, 1'000);
    large_unknown.unknown_fraction = 0.1;
    print_row("the same, a tenth of the others unknown", large_unknown);
    print_row("30 gateways, 1/s, 1 request/s", make(30, 1, 1));
    auto ending = make(30, 1, 60);
    ending.limit_time = Core::Milliseconds(20'000);
    print_row("30 gateways, 1/s until 20 s, 60 requests/s", ending);
    ending.active_fraction = 0.1;
    print_row("the same, 3 gateways with requests", ending);
    return 0;
}
