// A gateway whose callers take all descriptors that it may have.
#include "GatewayFleet.h"

#include <memory>
#include <vector>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

/// Callers that connect and send nothing, more than the limit of descriptors.
constexpr std::size_t s_idle_callers = 100;

class Descriptors : public ::testing::Test, protected GatewayFleet {
protected:
    /// Starts a gateway that may have 64 descriptors, and waits until it is ready.
    Gateway start_limited()
    {
        put_configuration(1, "/a/");
        put_server(m_backend);
        auto const path = write_settings(make_settings("g-1"));
        auto gateway = wait_for_announcement(std::make_unique<Process>("/bin/sh",
            std::vector<std::string> {
                "-c", R"(ulimit -n 64; exec "$0" --settings "$1")", program_path("Services/granitefieldd"), path}));
        EXPECT_TRUE(wait_until([&] { return is_ready(gateway); }));
        return gateway;
    }

    static std::vector<std::unique_ptr<RawCaller>> exhaust(Gateway const& gateway)
    {
        std::vector<std::unique_ptr<RawCaller>> callers;
        while (callers.size() < s_idle_callers)
            callers.push_back(std::make_unique<RawCaller>(gateway.callers));
        EXPECT_TRUE(wait_until([&] { return gateway.process->has_printed(R"("event":"accept-failed")"); }));
        return callers;
    }

    static int ask_on(RawCaller& caller)
    {
        caller.write("GET /a/ HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: r-1\r\n\r\n");
        return caller.read_answer().status;
    }

private:
    FakeBackend m_backend {"i-1", good()};
};

}

TEST_F(Descriptors, AnswersKnownCallersAndRecoversAfterIdleOnesTookAll)
{
    auto const gateway = start_limited();
    RawCaller known(gateway.callers);
    ASSERT_EQ(ask_on(known), 200);
    {
        auto const idle = exhaust(gateway);
        auto const status = ask_on(known);
        EXPECT_TRUE(status == 200 || status == 503) << status;
        EXPECT_TRUE(gateway.process->is_running());
    }
    EXPECT_TRUE(wait_until([&] { return is_ready(gateway) && ask(gateway, "/a/") == 200; }));
    gateway.process->terminate();
    EXPECT_EQ(gateway.process->wait(), 0);
}

TEST_F(Descriptors, StaysReadyWhileIdleCallersTakeAll)
{
    auto const gateway = start_limited();
    auto const idle = exhaust(gateway);
    RawCaller probe(gateway.readiness);
    probe.write("GET /ready HTTP/1.1\r\nHost: host.test\r\n\r\n");
    EXPECT_EQ(probe.read_answer().status, 200);
}

}
