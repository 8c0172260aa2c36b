#pragma once

#include "SpreadSoak.h"

#include <csignal>
#include <functional>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

/// A fleet with the settings that are deployed, of which servers leave while the gateways that watch the store fail.
class LeavingServers : public ::testing::Test {
protected:
    static constexpr unsigned s_gateways = 30;
    static constexpr unsigned s_seed = 401;
    static constexpr Core::Milliseconds s_down {12'000};

    LeavingServers() { std::signal(SIGPIPE, SIG_IGN); }

    void expect_left_alone(std::function<void(SpreadSoak&)> const& script)
    {
        SpreadSoak::Options options;
        options.seed = s_seed;
        options.gateways = s_gateways;
        SpreadSoak soak(options);
        auto const report = soak.run([&] { script(soak); });
        for (auto const& problem : report.problems)
            ADD_FAILURE() << problem;
        EXPECT_GT(report.answers.at("200"), 500U);
    }
};

}
