// Guards against calls to the platform that count as done although the answer's head was cut.
#include <LibHTTP/HttpClient.h>
#include <LibPlatform/ObjectClient.h>

#include <FakeBackend.h>
#include <NullDescriptor.h>

#include <atomic>
#include <functional>

#include <gtest/gtest.h>
#include <platform/UsageClient.h>

namespace GraniteField::Platform {

namespace {

class CutAnswers : public ::testing::Test {
protected:
    static void SetUpTestSuite() { HTTP::initialize_http_client(); }

    /// Calls `check` with the platform's address, once for each byte at which it closes its connection.
    static void for_each_cut(std::string_view answer, std::function<void(Core::Address const&)> const& check)
    {
        std::atomic<std::size_t> length {0};
        Testing::FakeBackend const platform(
            "platform", [&](auto& connection, auto const&, auto) { connection.write(answer.substr(0, length)); });
        for (length = 0; length < answer.size(); ++length) {
            SCOPED_TRACE(length.load());
            check(platform.entry().address);
        }
    }

    Testing::NullDescriptor m_log_descriptor;
    Observe::MetricRegistry m_metrics;
    Observe::EventLog m_log {m_log_descriptor.number(), "gateway-1", Core::Incarnation(1), m_metrics};
};

constexpr Core::Milliseconds s_limit {5'000};

}

TEST_F(CutAnswers, DoNotMakeAUsageReportAccepted)
{
    for_each_cut("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", [this](Core::Address const& address) {
        UsageClient client(address, m_log);
        EXPECT_EQ(client.send({Cluster::UsageWindow(1), {{"ws", 1}}}, {"gateway-1", 1}, s_limit),
            Cluster::ReportOutcome::Failed);
    });
}

TEST_F(CutAnswers, DoNotRemoveAnObject)
{
    for_each_cut("HTTP/1.1 204 No Content\r\nX-Last: 1\r\n\r\n", [](Core::Address const& address) {
        ObjectClient client(address, s_limit);
        EXPECT_THROW(client.remove("kind", "name"), PlatformUnavailable);
    });
}

TEST_F(CutAnswers, DoNotShowThatAnObjectIsMissing)
{
    for_each_cut("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", [](Core::Address const& address) {
        ObjectClient client(address, s_limit);
        EXPECT_THROW(static_cast<void>(client.read("kind", "name")), PlatformUnavailable);
    });
}

}
