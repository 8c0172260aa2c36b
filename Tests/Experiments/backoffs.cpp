// How a gateway may go on with a server that requests a backoff, each way before the same requests.
#include "BackoffWorld.h"

#include <array>
#include <iostream>

#include <absl/strings/str_format.h>

using namespace GraniteField;
using namespace GraniteField::Policy;

namespace {

constexpr std::uint32_t s_plays = 20;
constexpr std::array s_ways {BackoffWay::AfterThreeFailures, BackoffWay::BackoffOnly, BackoffWay::BackoffThenProbe};
constexpr std::array s_names {"after three failures", "backoff", "backoff, then probe"};

/// A cell: the most requests in a backoff, mean rejected requests, the longest time from the recovery to the first use.
void print_row(char const* name, BackoffSettings settings)
{
    std::cout << absl::StrFormat("%-32s", name);
    for (std::size_t index = 0; index < s_ways.size(); ++index) {
        std::size_t most = 0;
        double rejected = 0;
        Core::Milliseconds used_after {0};
        for (std::uint32_t seed = 1; seed <= s_plays; ++seed) {
            settings.seed = seed;
            auto const outcome = BackoffWorld(settings).play(s_ways.at(index));
            most = std::max(most, outcome.most_in_a_backoff);
            rejected += static_cast<double>(outcome.rejected) / s_plays;
            used_after = std::max(used_after, outcome.used_after.value_or(settings.length));
        }
        std::cout << absl::StrFormat(" | %s %u; %.1f; %d ms", s_names.at(index), most, rejected, used_after.count());
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
