// Three parts that crash servers at the same time, beside sound requests that share their first part with them.
#include "CrashSimulation.h"

#include <gtest/gtest.h>

namespace GraniteField::Testing {

TEST(ThreeCrashingParts, AreQuarantinedButNoneOfSoundRequests)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        auto const outcome = CrashSimulation<LedgerStrategy>({.crashing_parts = 3}, seed).simulate();
        EXPECT_LE(outcome.late_sends, 3) << "seed " << seed;
        EXPECT_EQ(outcome.quarantined_harmless, 0) << "seed " << seed;
    }
}

}
