// Compares strategies for detecting the requests that crash servers, with the same scenarios and seeds.
#include "CrashSimulation.h"

#include <iostream>
#include <string>

namespace {

using namespace GraniteField::Testing;
using GraniteField::Core::Milliseconds;

constexpr unsigned s_seeds = 20;

template <typename Strategy>
void print(std::string const& scenario_name, std::string const& strategy_name, CrashScenario const& scenario)
{
    CrashOutcome sum;
    int max_late_sends = 0;
    int runs_over_limit = 0;
    for (unsigned seed = 1; seed <= s_seeds; ++seed) {
        auto const outcome = CrashSimulation<Strategy>(scenario, seed).simulate();
        max_late_sends = std::max(max_late_sends, outcome.late_sends);
        runs_over_limit += outcome.late_sends > 3 ? 1 : 0;
        sum.quarantined_harmless += outcome.quarantined_harmless;
        sum.harmless += outcome.harmless;
        sum.served += outcome.served;
        sum.crashes += outcome.crashes;
    }
    std::cout << scenario_name << " | " << strategy_name << " | " << max_late_sends << " | " << runs_over_limit << " | "
              << sum.quarantined_harmless << " | " << 1000 * sum.served / sum.harmless << " | " << sum.crashes << '\n';
}

void compare(std::string const& name, CrashScenario const& scenario)
{
    print<CountingStrategy>(name, "count", scenario);
    print<BlameSharingStrategy>(name, "shared", scenario);
    print<LedgerStrategy>(name, "ledger", scenario);
}

}

int main()
{
    std::cout << "trouble | way | most late sends | plays over 3 | harmless held | served of 1,000 | crashes\n";
    compare("one deadly", {.crashing_requests = 1});
    compare("one deadly, ten copies", {.crashing_requests = 1, .arrivals_per_second = 0.5, .copies = 10});
    compare("one deadly, seldom", {.crashing_requests = 1, .arrivals_per_second = 0.3});
    compare("three deadly", {.crashing_requests = 3});
    compare("one deadly, own crashes", {.crashing_requests = 1, .spontaneous_crashes_per_second = 0.5});
    compare("own crashes", {.spontaneous_crashes_per_second = 1.5});
    compare("domains", {.domain_failure_period = Milliseconds(6'000)});
    compare("domains, popular", {.domain_failure_period = Milliseconds(6'000), .popular_fraction = 0.5});
    compare("broken host", {.broken_hosts = 1});
    compare("three broken hosts", {.broken_hosts = 3});
    compare("deadly, broken host", {.crashing_requests = 1, .broken_hosts = 1});
    CrashScenario before_head {.crashing_requests = 1, .arrivals_per_second = 0.3};
    before_head.has_head = false;
    compare("before the head, seldom", before_head);
    before_head.spontaneous_crashes_per_second = 0.5;
    compare("before the head, seldom, own crashes", before_head);
    CrashScenario late {.crashing_requests = 1, .arrivals_per_second = 0.3};
    late.least_crash_delay = Milliseconds(1'100);
    late.most_crash_delay = Milliseconds(1'900);
    compare("late, seldom", late);
    late.spontaneous_crashes_per_second = 0.5;
    compare("late, seldom, own crashes", late);
    compare("a part", {.crashing_parts = 1});
    compare("a part, seldom", {.crashing_parts = 1, .part_arrivals_per_second = 0.3});
    compare("a part, few others", {.crashing_parts = 1, .harmless_per_second = 2});
    compare("two parts", {.crashing_parts = 2});
    compare("two parts, few others", {.crashing_parts = 2, .harmless_per_second = 2});
    compare("three parts", {.crashing_parts = 3});
    compare("a part, own crashes", {.crashing_parts = 1, .spontaneous_crashes_per_second = 0.5});
    compare("a part, domains", {.crashing_parts = 1, .domain_failure_period = Milliseconds(6'000)});
    return 0;
}
