// What a cold backend server gets from many gateways, by the ways of sharing its rate: the most within a second, where
// it bears 5.9, and how much of the load cold servers took. docs/design/drained-domains.md has the figures.
#include "ColdWorld.h"

#include <cstdio>

using namespace GraniteField;

namespace {

constexpr int s_plays = 50;

void compare(char const* name, Policy::ColdSettings settings)
{
    std::printf("%-44s", name);
    for (auto const way : {Policy::ColdWay::Unbounded, Policy::ColdWay::EqualShares, Policy::ColdWay::NamedSenders}) {
        std::size_t most = 0;
        std::size_t taken = 0;
        std::size_t requests = 0;
        for (int play = 0; play < s_plays; ++play) {
            settings.seed = static_cast<std::uint32_t>(play);
            auto const outcome = Policy::ColdWorld(settings).play(way);
            most = std::max(most, outcome.most_in_a_second);
            taken += outcome.taken;
            requests += outcome.requests;
        }
        std::printf(" %5zu %5.3f", most, static_cast<double>(taken) / static_cast<double>(requests));
    }
    std::printf("\n");
}

}

int main()
{
    std::printf("%-44s %11s %11s %11s\n", "most in a second, part of the load taken", "unbounded", "equal", "named");
    compare("30 gateways, 14 servers, 120/s", {});
    compare("30 gateways, a tenth of the others unknown", {.unknown = 0.1});
    compare("30 gateways, half have just begun", {.begun = 0.5});
    compare("30 gateways, 400/s", {.load = 400});
    compare("357 gateways, 125 servers, 315/s", {.gateways = 357, .cold_servers = 125, .load = 315});
    compare("357 gateways, 125 servers, 1,000/s", {.gateways = 357, .cold_servers = 125, .load = 1'000});
    compare("357 gateways, half have just begun", {.gateways = 357, .cold_servers = 125, .load = 1'000, .begun = 0.5});
    return 0;
}
