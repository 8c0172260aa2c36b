// Compares the strategies of a gateway towards a server that requests a backoff, with the same requests.
#include "BackoffSimulation.h"

#include <array>
#include <iostream>

#include <absl/strings/str_format.h>

using namespace GraniteField;
using namespace GraniteField::Policy;

namespace {

constexpr std::uint32_t s_runs = 20;
constexpr std::array s_strategies {
    BackoffStrategy::AfterThreeFailures, BackoffStrategy::BackoffOnly, BackoffStrategy::BackoffThenProbe};
constexpr std::array s_names {"after three failures", "backoff", "backoff, then probe"};

/// Prints for each strategy the maximum number of requests in a backoff, the mean number of rejected requests, and the
/// longest time from the recovery to the first use.
void print_row(char const* name, BackoffSettings settings)
{
    std::cout << absl::StrFormat("%-32s", name);
    for (std::size_t index = 0; index < s_strategies.size(); ++index) {
        std::size_t max = 0;
        double rejected = 0;
        Core::Milliseconds recovery_time {0};
        for (std::uint32_t seed = 1; seed <= s_runs; ++seed) {
            settings.seed = seed;
            auto const outcome = BackoffSimulation(settings).simulate(s_strategies.at(index));
            max = std::max(max, outcome.max_requests_in_backoff);
            rejected += static_cast<double>(outcome.rejected) / s_runs;
            recovery_time = std::max(recovery_time, outcome.recovery_time.value_or(settings.length));
        }
        std::cout << absl::StrFormat(" | %s %u; %.1f; %d ms", s_names.at(index), max, rejected, recovery_time.count());
    }
    std::cout << '\n';
}

}

int main()
{
    for (double const load : {5.0, 50.0, 500.0}) {
        BackoffSettings settings;
        settings.load = load;
        print_row(absl::StrFormat("backoff of 1.7 s, %.0f requests/s", load).c_str(), settings);
        settings.backoff = Core::Milliseconds(700);
        print_row(absl::StrFormat("backoff of 0.7 s, %.0f requests/s", load).c_str(), settings);
    }
    return 0;
}
