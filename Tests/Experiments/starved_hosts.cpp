// How gateways judge silence while others take their processors: false elections, changes of the relay and datagrams by
// the mean wait for a processor, and the time until dead watchers are replaced.
#include "StarvedFleet.h"

#include <absl/strings/str_format.h>

int main()
{
    using namespace GraniteField;
    using namespace std::chrono_literals;
    using Gateway::StarvedFleet;
    constexpr unsigned seeds = 20;
    absl::PrintF("%9s %10s %13s %15s %13s %9s\n", "wait, ms", "step-ins", "relay changes", "datagrams/s",
        "replaced, ms", "longest");
    for (auto const wait : {0ms, 50ms, 100ms, 200ms, 400ms, 800ms, 1'600ms}) {
        double takeovers = 0, changes = 0, sent = 0, replaced = 0, longest = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            StarvedFleet fleet(seed, wait);
            fleet.advance(10s);
            auto const before = std::tuple(fleet.takeovers(), fleet.relay_changes(), fleet.sent());
            fleet.advance(60s);
            takeovers += fleet.takeovers() - std::get<0>(before);
            changes += fleet.relay_changes() - std::get<1>(before);
            sent += static_cast<double>(fleet.sent() - std::get<2>(before)) / 60;
            fleet.kill_elected();
            auto const killed = fleet.now();
            while (fleet.count_watching() == 0 && fleet.now() < killed + 120s)
                fleet.advance(5ms);
            auto const passed = static_cast<double>(Core::elapsed(killed, fleet.now()).count());
            replaced += passed;
            longest = std::max(longest, passed);
        }
        absl::PrintF("%9d %10.1f %13.1f %15.0f %13.0f %9.0f\n", wait.count(), takeovers / seeds, changes / seeds,
            sent / seeds, replaced / seeds, longest);
    }
}
