// Compares the strategies for sharing the rate of a cold backend server among many gateways: the maximum number of
// requests within a second at a rate of 5.9, and the fraction of the load sent to cold servers.
// docs/design/drained-domains.md has the results.
#include "ColdSimulation.h"

#include <cstdio>

using namespace GraniteField;

namespace {

constexpr int s_runs = 50;

void compare(char const* name, Policy::ColdSettings settings)
{
    std::printf("%-44s", name);
    for (auto const strategy :
        {Policy::ColdStrategy::Unbounded, Policy::ColdStrategy::EqualShares, Policy::ColdStrategy::RendezvousSenders}) {
        std::size_t max = 0;
        std::size_t sent_to_cold_servers = 0;
        std::size_t requests = 0;
        for (int run = 0; run < s_runs; ++run) {
            settings.seed = static_cast<std::uint32_t>(run);
            auto const outcome = Policy::ColdSimulation(settings).simulate(strategy);
            max = std::max(max, outcome.max_requests_per_second);
            sent_to_cold_servers += outcome.sent_to_cold_servers;
            requests += outcome.requests;
        }
        std::printf(" %5zu %5.3f", max, static_cast<double>(sent_to_cold_servers) / static_cast<double>(requests));
    }
    std::printf("\n");
}

}

int main()
{
    std::printf("%-44s %11s %11s %11s\n", "most in a second, part of the load taken", "unbounded", "equal", "named");
    compare("30 gateways, 14 servers, 120/s", {});
    compare("30 gateways, a tenth of the others unknown", {.unknown_fraction = 0.1});
    compare("30 gateways, half have just begun", {.restarted_fraction = 0.5});
    compare("30 gateways, 400/s", {.load = 400});
    compare("357 gateways, 125 servers, 315/s", {.gateways = 357, .cold_servers = 125, .load = 315});
    compare("357 gateways, 125 servers, 1,000/s", {.gateways = 357, .cold_servers = 125, .load = 1'000});
    compare("357 gateways, half have just begun",
        {.gateways = 357, .cold_servers = 125, .load = 1'000, .restarted_fraction = 0.5});
    return 0;
}
