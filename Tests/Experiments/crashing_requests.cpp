// Compares ways to find the requests that crash servers, on the same troubles and seeds.
#include "CrashWorld.h"

#include <iostream>
#include <string>

namespace {

using namespace GraniteField::Testing;
using GraniteField::Core::Milliseconds;

constexpr unsigned s_seeds = 20;

template <typename Judge>
void print(std::string const& trouble_name, std::string const& way, CrashTrouble const& trouble)
{
    CrashOutcome sum;
    int worst = 0;
    int broken = 0;
    for (unsigned seed = 1; seed <= s_seeds; ++seed) {
        auto const outcome = CrashWorld<Judge>(trouble, seed).play();
        worst = std::max(worst, outcome.late_sends);
        broken += outcome.late_sends > 3 ? 1 : 0;
        sum.held_harmless += outcome.held_harmless;
        sum.harmless += outcome.harmless;
        sum.served += outcome.served;
        sum.crashes += outcome.crashes;
    }
    std::cout << trouble_name << " | " << way << " | " << worst << " | " << broken << " | " << sum.held_harmless
              << " | " << 1000 * sum.served / sum.harmless << " | " << sum.crashes << '\n';
}

void compare(std::string const& name, CrashTrouble const& trouble)
{
    print<CountingJudge>(name, "count", trouble);
    print<SharingJudge>(name, "shared", trouble);
    print<LedgerJudge>(name, "ledger", trouble);
}

}

int main()
{
    std::cout << "trouble | way | most late sends | plays over 3 | harmless held | served of 1,000 | crashes\n";
    compare("one deadly", {.deadly = 1});
    compare("one deadly, ten copies", {.deadly = 1, .arrivals_of_each = 0.5, .copies = 10});
    compare("one deadly, seldom", {.deadly = 1, .arrivals_of_each = 0.3});
    compare("three deadly", {.deadly = 3});
    compare("one deadly, own crashes", {.deadly = 1, .own_crashes = 0.5});
    compare("own crashes", {.own_crashes = 1.5});
    compare("domains", {.domain_period = Milliseconds(6'000)});
    compare("domains, popular", {.domain_period = Milliseconds(6'000), .popular = 0.5});
    compare("broken host", {.broken_hosts = 1});
    compare("three broken hosts", {.broken_hosts = 3});
    compare("deadly, broken host", {.deadly = 1, .broken_hosts = 1});
    return 0;
}
