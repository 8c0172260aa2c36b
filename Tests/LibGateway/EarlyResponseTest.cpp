// Guards against partial responses that count as complete because a failed write took the reset from the socket.
#include "GatewayFixture.h"

#include <LibCore/Text.h>

#include <atomic>

namespace GraniteField::Testing {

namespace {

/// More than the gateway buffers of a response before it begins to forward it.
constexpr std::size_t s_large_part_bytes = 2U << 20U;
constexpr int s_rounds = 20;
/// Allows a retry of every request.
constexpr double s_retries_per_request = 4;

class EarlyResponses : public GatewayFixture {
protected:
    /// Adds a server that has read only the head of the request when it responds.
    FakeBackend& add_early_backend(std::string const& instance, FakeBackend::Script script)
    {
        return add_backend(instance, std::move(script), FakeBackend::Reading::HeadOnly);
    }

    /// Adds a server that resets the connection behind the beginning of a response without a length.
    FakeBackend& add_resetting_backend(std::string const& instance, std::string const& part)
    {
        return add_early_backend(instance, [part](auto& connection, auto const& head, auto) {
            connection.write(open_head_to(head) + part);
            connection.reset();
        });
    }

    [[nodiscard]] RawCaller::Answer upload(std::string const& target)
    {
        auto const fields = Core::concat("X-Round: ", ++m_round, "\r\n");
        return answer_of(request("POST", target, fields, m_body));
    }

    /// Starts the gateway and uploads to it; every response must be complete.
    void expect_whole(std::string const& target)
    {
        start();
        for (int round = 0; round < s_rounds; ++round) {
            auto const answer = upload(target);
            EXPECT_EQ(answer.status, 200);
            EXPECT_EQ(answer.body, "whole");
        }
    }

    std::string const m_body = std::string(s_large_upload_bytes, 'b');
    int m_round {0};
};

}

TEST_F(EarlyResponses, AreIncompleteWhenTheirConnectionIsReset)
{
    add_resetting_backend("i-1", "part");
    start();
    for (int round = 0; round < s_rounds; ++round) {
        auto const answer = upload("/plain/");
        EXPECT_EQ(answer.status, 502) << answer.body;
        EXPECT_TRUE(answer.is_whole);
    }
}

TEST_F(EarlyResponses, AreCutWhenTheirConnectionIsResetBehindAForwardedPart)
{
    add_resetting_backend("i-1", std::string(s_large_part_bytes, 'p'));
    start();
    for (int round = 0; round < s_rounds; ++round) {
        auto const answer = upload("/plain/");
        EXPECT_FALSE(answer.status == 200 && answer.is_whole) << answer.body.size();
    }
}

TEST_F(EarlyResponses, AreRepeatedWhenTheirConnectionIsReset)
{
    m_settings.runs.retries.ratio = s_retries_per_request;
    std::atomic<int> sends {0};
    for (auto const* name : {"i-1", "i-2"}) {
        add_early_backend(name, [&](auto& connection, auto const& head, auto) {
            if (sends++ % 2 == 1)
                return connection.write(answer_to(head, 200, "whole"));
            connection.write(open_head_to(head) + "part");
            connection.reset();
        });
    }
    expect_whole("/safe/");
}

TEST_F(EarlyResponses, LeaveAStreamOpenWhenTheirConnectionIsReset)
{
    add_resetting_backend("i-1", event(1));
    start();
    for (int round = 0; round < s_rounds; ++round) {
        auto const answer = upload("/stream/");
        EXPECT_FALSE(answer.status == 200 && answer.is_whole);
    }
}

TEST_F(EarlyResponses, AreCompleteWhenTheirConnectionEndsInOrder)
{
    add_early_backend("i-1", [](auto& connection, auto const& head, auto) {
        connection.write(open_head_to(head) + "whole");
        connection.finish_writing();
        connection.reset();
    });
    expect_whole("/plain/");
}

TEST_F(EarlyResponses, WithALengthAreCompleteWhenTheirConnectionIsReset)
{
    add_early_backend("i-1", [](auto& connection, auto const& head, auto) {
        connection.write(answer_to(head, 200, "whole"));
        connection.reset();
    });
    expect_whole("/plain/");
}

}
