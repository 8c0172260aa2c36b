// Guards against crashes that go unnoticed because the one packet of a probe was lost, or its answer was read late.
#include "FakeBackend.h"

#include <LibGateway/ServerProbe.h>

#include <optional>
#include <thread>

#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;
using Gateway::ServerProbe;

namespace {

class ServerProbes : public ::testing::Test {
protected:
    /// Runs a probe, and the script after that time.
    ServerProbe::Result probe(
        Core::Address const& address, Core::Milliseconds delay, std::function<void()> const& script)
    {
        std::optional<ServerProbe::Result> result;
        ServerProbe::start(m_loop, address, [&](ServerProbe::Result found) { result = found; });
        boost::asio::steady_timer timer(m_loop, delay);
        timer.async_wait([&](auto const&) { script(); });
        m_loop.run();
        return *result;
    }

    boost::asio::io_context m_loop;
};

}

TEST_F(ServerProbes, NoticeAServerThatAcceptsOnlyALaterConnection)
{
    FullListener listener;
    auto const result
        = probe(listener.entry("i-1").address, ServerProbe::s_connect_timeout + 100ms, [&] { listener.make_room(); });
    EXPECT_EQ(result, ServerProbe::Result::Accepted);
}

TEST_F(ServerProbes, NoticeAServerThatRefusesOnlyALaterConnection)
{
    auto listener = std::make_optional<FullListener>();
    auto const address = listener->entry("i-1").address;
    auto const result = probe(address, ServerProbe::s_connect_timeout + 100ms, [&] { listener.reset(); });
    EXPECT_EQ(result, ServerProbe::Result::Refused);
}

TEST_F(ServerProbes, ReadARefusalAfterAStallOfThisProcess)
{
    auto listener = std::make_optional<FullListener>();
    auto const address = listener->entry("i-1").address;
    listener.reset();
    auto const result
        = probe(address, 0ms, [] { std::this_thread::sleep_for(ServerProbe::s_connect_timeout + 200ms); });
    EXPECT_EQ(result, ServerProbe::Result::Refused);
}

TEST_F(ServerProbes, EndWithoutAResult)
{
    FullListener const listener;
    auto const begin = Core::monotonic_now();
    EXPECT_EQ(probe(listener.entry("i-1").address, 0ms, [] {}), ServerProbe::Result::Unknown);
    EXPECT_GE(Core::elapsed(begin, Core::monotonic_now()), ServerProbe::s_connect_timeout);
}

}
