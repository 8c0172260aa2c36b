// How gateways may divide the rate limit of a backend server, each way before the same callers.
#include "LimitWorld.h"

#include <array>
#include <iostream>

#include <absl/strings/str_format.h>

using namespace GraniteField;
using namespace GraniteField::Policy;

namespace {

constexpr std::uint32_t s_plays = 20;
constexpr std::array s_ways {
    LimitWay::Unbounded, LimitWay::Alone, LimitWay::EqualShares, LimitWay::FixedSenders, LimitWay::ChangingSenders};
constexpr std::array s_names {"unbounded", "alone", "equal", "fixed", "changing"};

/// A cell: the most requests in 4 s, the mean part of the limit that was used, and the plays that broke the promise.
void print_row(char const* name, LimitSettings settings)
{
    std::cout << absl::StrFormat("%-52s", name);
    for (std::size_t index = 0; index < s_ways.size(); ++index) {
        std::size_t most = 0;
        std::size_t broken = 0;
        double used = 0;
        std::size_t found = 0;
        Core::Milliseconds found_after {0};
        for (std::uint32_t seed = 1; seed <= s_plays; ++seed) {
            settings.seed = seed;
            auto const outcome = LimitWorld(settings).play(s_ways.at(index));
            most = std::max(most, outcome.most_in_window);
            used += outcome.used / s_plays;
            broken += outcome.findings.empty() ? 0 : 1;
            if (outcome.found_after) {
                ++found;
                found_after = std::max(found_after, *outcome.found_after);
            }
        }
        std::cout << absl::StrFormat(" | %s %u; %.2f; %u", s_names.at(index), most, used, broken);
        if (settings.limited < settings.length)
            std::cout << absl::StrFormat("; found %u, %d ms", found, found_after.count());
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
    unknown.unknown = 0.1;
    print_row("the same, a tenth of the others unknown", unknown);
    print_row("300 gateways, 1/s, 1,000 requests/s", make(300, 1, 1'000));
    print_row("300 gateways, 12.5/s, 1,000 requests/s", make(300, 12.5, 1'000));
    auto large_unknown = make(300, 12.5, 1'000);
    large_unknown.unknown = 0.1;
    print_row("the same, a tenth of the others unknown", large_unknown);
    print_row("30 gateways, 1/s, 1 request/s", make(30, 1, 1));
    auto ending = make(30, 1, 60);
    ending.limited = Core::Milliseconds(20'000);
    print_row("30 gateways, 1/s until 20 s, 60 requests/s", ending);
    ending.active = 0.1;
    print_row("the same, 3 gateways with requests", ending);
    return 0;
}
