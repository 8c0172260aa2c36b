// Guards against a request that crashes every engine that starts it: engines ended one after the other for 15 to 20
// seconds, three times in a day, while two prompts of three were not served; one request reached engines 34 more times
// after it had crashed three of them.
//
// The request crashes its engine some 50 ms after its start. The other streams of that engine break at the same moment
// and continue elsewhere, as does the request. After its two tries its caller receives a failure and retries with a new
// id, mostly at another gateway, which places it like any other. Engines restart after two to four seconds and receive
// it again.
//
// A gateway lost its knowledge of a request at the end of the run and did not share it, and limits on tries and retries
// count within one run or over all requests, so no limit applied to it. Of 17 engines that ended in eight seconds, 12
// had requests of the same class and workspace, while no other pair was on more than 6; 977 of 1,020 sends were first
// ones; nothing ended in the pauses between these requests.
#include "CrashFixture.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace GraniteField::Testing {

namespace {

/// Requests with the body `deadly` crash engines.
class CrashRules : public CrashFixture {
protected:
    CrashRules()
        : CrashFixture([](auto const& request) { return body_of(request) == "deadly"; })
    {
    }

    /// Crashes three engines and sends the deadly request on, which reaches only a few more.
    void expect_few_late_sends()
    {
        crash_three_engines_and_wait();
        auto const before = arrivals("deadly");
        constexpr int request_count = 40;
        for (int count = 0; count < request_count; ++count)
            static_cast<void>(send("deadly"));
        EXPECT_LE(arrivals("deadly") - before, s_max_late_sends);
        restart_engines();
        EXPECT_TRUE(send("harmless").is_whole);
    }

    /// Sends the deadly request until the gateways have had their time to learn of three crashes.
    void crash_three_engines_and_wait()
    {
        while (arrivals("deadly") < 3)
            static_cast<void>(send("deadly"));
        auto const propagated_at = Core::monotonic_now() + s_propagation_time;
        while (Core::monotonic_now() < propagated_at) {
            static_cast<void>(send("deadly"));
            std::this_thread::sleep_for(s_restart_delay / 10);
        }
    }
};

}

TEST_F(CrashRules, SendsARequestThatCrashedThreeEnginesToThreeMoreAtMost)
{
    crash_three_engines_and_wait();
    auto const before = arrivals("deadly");
    constexpr int request_count = 40;
    for (int count = 0; count < request_count; ++count) {
        auto const answer = send("deadly");
        // The request has run, so the answer must neither state that it has not nor invite a retry.
        EXPECT_GE(answer.status, 500);
        EXPECT_NE(answer.status, 503);
        EXPECT_FALSE(field_of(answer.head, "Retry-After"));
    }
    EXPECT_LE(arrivals("deadly") - before, s_max_late_sends);
    // Other requests are served, also of the same caller at the same path.
    restart_engines();
    EXPECT_TRUE(send("harmless").is_whole);
    EXPECT_EQ(arrivals("harmless"), 1U);
}

TEST_F(CrashRules, DoesNotClearARequestByServerErrors)
{
    m_error_period = 3;
    expect_few_late_sends();
}

TEST_F(CrashRules, DoesNotClearARequestByAnUnframedAnswerThatACrashEnded)
{
    m_framing = HTTP::Framing::ConnectionClose;
    m_first_events = FirstEvents::BeforeCrashes;
    expect_few_late_sends();
}

TEST_F(CrashRules, CountsTheCrashOfAServerThatRestartedBeforeItsProbe)
{
    m_supervision = Supervision::RestartAtOnce;
    expect_few_late_sends();
}

TEST_F(CrashRules, DoesNotClearARequestByAnUnframedAnswerOfAServerThatRestartedBeforeItsProbe)
{
    m_supervision = Supervision::RestartAtOnce;
    m_framing = HTTP::Framing::ConnectionClose;
    m_first_events = FirstEvents::BeforeCrashes;
    expect_few_late_sends();
}

// Answers also break without a crash: they are reset or spoiled, and the server continues.
TEST_F(CrashRules, DoesNotCountBrokenAnswersOfARunningServer)
{
    add_backend("i-breaking", [](auto& connection, auto const& text, auto) {
        if (body_of(text) == "probe")
            return connection.write(answer_to(text, 200, "fine"));
        connection.write(stream_head_to(text));
        connection.reset();
    });
    m_servers_list.servers.erase(m_servers_list.servers.begin(), m_servers_list.servers.end() - 1);
    publish_servers();
    for (int count = 0; count < 12; ++count)
        EXPECT_FALSE(send("unlucky").is_whole);
    EXPECT_EQ(m_backends.back()->count(), 12U);
    EXPECT_EQ(counter("granitefield_gateway_crash_witnesses_total"), 0U);
}

// A leaving server ends with its open streams and then refuses connections, like a crashed one.
TEST_F(CrashRules, DoesNotCountTheEndOfALeavingServer)
{
    std::atomic<bool> may_end {false};
    auto& leaving = add_backend("i-leaving", [&](auto& connection, auto const& text, auto) {
        connection.write(stream_head_to(text) + chunk(event(1)));
        while (!may_end)
            std::this_thread::yield();
        m_backends.back()->crash();
    });
    m_servers_list.servers.erase(m_servers_list.servers.begin(), m_servers_list.servers.end() - 1);
    publish_servers();
    RawCaller caller(m_nodes[0]->gateway.caller_port());
    caller.write(request("POST", "/stream/x", "", "long"));
    ASSERT_TRUE(caller.read_body_bytes(1));
    m_servers_list.servers.front().state = Table::BackendServerState::Leaving;
    publish_servers();
    for (auto const& node : m_nodes)
        node->gateway.wake();
    // The gateway has applied the list when its status says so.
    while (m_nodes[0]->gateway.status().find("\"serving\":false") == std::string::npos)
        std::this_thread::yield();
    may_end = true;
    EXPECT_FALSE(caller.read_answer().is_whole);
    EXPECT_EQ(leaving.count(), 1U);
    // A crash that counts, at the same gateway. By then it would also have counted the end of the leaving server.
    m_servers_list.servers.front() = m_backends.front()->entry();
    publish_servers();
    m_nodes[0]->gateway.wake();
    m_next_gateway = 0;
    EXPECT_FALSE(send("deadly").is_whole);
    while (counter("granitefield_gateway_crash_witnesses_total") == 0)
        std::this_thread::yield();
    EXPECT_EQ(counter("granitefield_gateway_crash_witnesses_total"), 1U);
}

// Requests that broke in the same crash continue elsewhere and are not quarantined with it.
TEST_F(CrashRules, ServesRequestsThatBrokeInTheSameCrash)
{
    crash_three_engines_and_wait();
    EXPECT_EQ(counter("granitefield_gateway_quarantines_total"), s_gateways);
    for (int count = 0; count < 20; ++count) {
        EXPECT_GE(send("deadly").status, 500);
        EXPECT_TRUE(send(Core::concat("harmless-", count)).is_whole);
    }
    EXPECT_GE(counter("granitefield_gateway_held_back_total"), 20U);
}

// All gateways restarted at the same time; the store has kept the quarantine.
TEST_F(CrashRules, DoesNotSendRequestsQuarantinedInTheStore)
{
    load_quarantine(Core::RequestDigest::of("/asked/case", "ws", "deadly"));
    for (std::size_t count = 0; count < s_gateways; ++count)
        EXPECT_EQ(send("deadly").status, 502);
    EXPECT_EQ(arrivals("deadly"), 0U);
    EXPECT_TRUE(send("harmless").is_whole);
}

// An operator may release a request at any gateway.
TEST_F(CrashRules, SendsRequestsReleasedByAnOperator)
{
    crash_three_engines_and_wait();
    auto const digest = Core::RequestDigest::of("/asked/case", "ws", "deadly");
    auto const text = digest.to_string();
    auto const is_quarantined_at = [&](auto& node) { return node.gateway.status().find(text) != std::string::npos; };
    for (auto const& node : m_nodes)
        ASSERT_TRUE(is_quarantined_at(*node));
    EXPECT_TRUE(m_nodes[1]->gateway.release(digest));
    EXPECT_FALSE(m_nodes[1]->gateway.release(Core::RequestDigest::of("/asked/case", "ws", "harmless")));
    while (std::ranges::any_of(m_nodes, [&](auto const& node) { return is_quarantined_at(*node); }))
        std::this_thread::yield();
    auto const before = arrivals("deadly");
    static_cast<void>(send("deadly"));
    EXPECT_GT(arrivals("deadly"), before);
}

}
