// Guards against gateways that together exceed a rate limit because they do not know all of their peers.
#include "LimitSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Policy {

using namespace std::chrono_literals;

RC_GTEST_PROP(LimitShares, KeepsALimitWithATenthOfTheMembershipUnknown, ())
{
    auto settings = flood(*rc::gen::element<std::size_t>(4, 30, 100), *rc::gen::element(0.3, 0.5, 1.0, 2.5, 8.0));
    settings.unknown_fraction = 0.1;
    settings.seed = *rc::gen::inRange<std::uint32_t>(0, 100'000);
    settings.limit_time = settings.length = 12s;
    RC_ASSERT(LimitSimulation(settings).simulate(LimitStrategy::RotatingSenders).findings.empty());
}

}
