// A request that crashes each engine that begins it.
//
// What users saw: engines ended one after the other for 15 to 20 seconds, three times in a day; two prompts of three
// were not served meanwhile, and one request reached engines 34 times more after it had ended three of them.
//
// Order of events: a caller's request crashes its engine some 50 ms after it has begun. All other streams of that
// engine break at the same moment and go on elsewhere, and so does this one. When its two tries are over, its caller
// gets a failure and comes again with a new id, mostly at another gateway, who places it as any other. Engines are back
// after two to four seconds and get it again.
//
// Cause: whatever a gateway knew of a request ended with its run, and no other gateway heard of it. Limits on tries and
// on repeated sends count within one run, or over all requests, so that no limit concerned one request that comes as
// many.
//
// Evidence: 17 engines that ended in eight seconds had requests of one class and workspace on them in 12 cases, while
// no other pair was at more than 6; 977 of 1,020 sends were first ones; nothing ended in the pauses in which none of
// these requests came.
#include "GatewayFixture.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace GraniteField::Testing {

namespace {

using namespace std::chrono_literals;

/// Within it all gateways know what one of them knows.
constexpr Core::Milliseconds s_propagation_time {3'000};
/// How often a request may still reach engines when it has crashed three of them and the contact time has passed.
constexpr std::size_t s_max_late_sends = 3;
constexpr Core::Milliseconds s_restart_delay {300};

/// Three gateways that know each other, before engines that crash when they begin a certain body.
class CrashRules : public GatewayFixture {
protected:
    static constexpr std::size_t s_gateways = 3;
    static constexpr std::size_t s_engines = 6;

    struct Node {
        explicit Node(CrashRules& test)
            : duty(Core::Milliseconds(3'000), 0, test.m_table, test.m_servers, test.m_log, test.m_metrics)
            , gateway(test.m_settings, test.m_table, test.m_servers, membership, duty, test.m_log, test.m_metrics,
                  nullptr, &test.m_store_quarantine)
        {
        }

        Entry::SharedMembership membership;
        Entry::WatchDuty duty;
        Gateway::GatewayServer gateway;
    };

    CrashRules()
    {
        m_settings.load_address = Core::Address::from_string("127.0.0.1:0");
        add_route("asked",
            {{"path-prefix", "/asked/"}, {"tries", "2"}, {"answer", "events"}, {"resumable", "yes"},
                {"key", "required"}});
        for (std::size_t number = 0; number < s_engines; ++number)
            add_engine(number);
        publish_table();
        publish_servers();
        for (std::size_t number = 0; number < s_gateways; ++number)
            m_nodes.push_back(std::make_unique<Node>(*this));
        connect_all();
        for (auto const& node : m_nodes)
            node->gateway.wake();
    }

    void add_engine(std::size_t number)
    {
        add_backend(Core::concat("i-", number), [this, number](auto& connection, auto const& text, auto) {
            connection.write(stream_head_to(text));
            if (body_of(text) == "deadly")
                return m_backends[number]->crash();
            connection.write(chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n");
        });
    }

    void connect_all()
    {
        std::vector<Entry::LoadMember> members;
        for (std::size_t number = 0; number < s_gateways; ++number)
            members.push_back({m_nodes[number]->gateway.load_address(), "here", 100, number});
        for (std::size_t number = 0; number < s_gateways; ++number) {
            Entry::LoadMembers known {members[number], members};
            known.peers.erase(known.peers.begin() + static_cast<std::ptrdiff_t>(number));
            m_nodes[number]->membership.set_load_members(known);
            m_nodes[number]->membership.peer_count = s_gateways - 1;
        }
    }

    /// Asks the gateways in turn.
    RawCaller::Answer send(std::string const& body)
    {
        restart_engines();
        RawCaller caller(m_nodes[m_next_gateway++ % s_gateways]->gateway.caller_port());
        caller.write(request("POST", "/asked/case", Core::concat("Authorization: Bearer ", s_key, "\r\n"), body));
        return caller.read_answer();
    }

    void restart_engines()
    {
        for (auto const& backend : m_backends) {
            auto const crashed = backend->crashed();
            if (crashed && Core::elapsed(*crashed, Core::monotonic_now()) >= s_restart_delay)
                backend->restart();
        }
    }

    [[nodiscard]] std::size_t arrivals(std::string_view body) const
    {
        std::size_t sum = 0;
        for (auto const& backend : m_backends) {
            sum += static_cast<std::size_t>(
                std::ranges::count_if(backend->requests(), [body](auto const& text) { return body_of(text) == body; }));
        }
        return sum;
    }

    /// Its caller asks again and again until the gateways have had their time to know of three crashes.
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

    /// What the store had when the gateways began; the first one that looks takes it.
    Cluster::SharedQuarantine m_store_quarantine;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::size_t m_next_gateway {0};
};

}

TEST_F(CrashRules, ARequestThatHasCrashedThreeEnginesReachesThreeMoreAtMost)
{
    crash_three_engines_and_wait();
    auto const before = arrivals("deadly");
    constexpr int request_count = 40;
    for (int count = 0; count < request_count; ++count) {
        auto const answer = send("deadly");
        // It has run, so that nothing may say that it has not, and it is not invited to come again.
        EXPECT_GE(answer.status, 500);
        EXPECT_NE(answer.status, 503);
        EXPECT_FALSE(field_of(answer.head, "Retry-After"));
    }
    EXPECT_LE(arrivals("deadly") - before, s_max_late_sends);
    // Whoever asks otherwise is served, the same caller at the same path among them.
    restart_engines();
    EXPECT_TRUE(send("harmless").is_whole);
    EXPECT_EQ(arrivals("harmless"), 1U);
}

// Answers break where nothing has crashed: they are reset, or spoiled, and the server goes on.
TEST_F(CrashRules, ABreakOfAServerThatGoesOnIsNoCrash)
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

// A server that leaves ends with what it still has, and refuses connections after it, as one that crashed.
TEST_F(CrashRules, TheEndOfAServerThatLeavesIsNoCrash)
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
    // The gateway has taken the list when its status says so.
    while (m_nodes[0]->gateway.status().find("\"serving\":false") == std::string::npos)
        std::this_thread::yield();
    may_end = true;
    EXPECT_FALSE(caller.read_answer().is_whole);
    EXPECT_EQ(leaving.count(), 1U);
    // A crash that counts, met later by the same gateway: by then it would have counted the other one as well.
    m_servers_list.servers.front() = m_backends.front()->entry();
    publish_servers();
    m_nodes[0]->gateway.wake();
    m_next_gateway = 0;
    EXPECT_FALSE(send("deadly").is_whole);
    while (counter("granitefield_gateway_crash_witnesses_total") == 0)
        std::this_thread::yield();
    EXPECT_EQ(counter("granitefield_gateway_crash_witnesses_total"), 1U);
}

// What died beside such a request goes on elsewhere, and is not held with it.
TEST_F(CrashRules, WhatRanBesideItIsServed)
{
    crash_three_engines_and_wait();
    EXPECT_EQ(counter("granitefield_gateway_quarantines_total"), s_gateways);
    for (int count = 0; count < 20; ++count) {
        EXPECT_GE(send("deadly").status, 500);
        EXPECT_TRUE(send(Core::concat("harmless-", count)).is_whole);
    }
    EXPECT_GE(counter("granitefield_gateway_held_back_total"), 20U);
}

// All gateways were gone at one moment; the store has kept what they knew.
TEST_F(CrashRules, WhatTheStoreHasKeptReachesNoServer)
{
    auto const digest = Core::RequestDigest::of("/asked/case", "ws", "deadly");
    m_store_quarantine.add_loaded({digest});
    auto const is_quarantined_at
        = [&](auto const& node) { return node->gateway.status().find(digest.to_string()) != std::string::npos; };
    while (!std::ranges::all_of(m_nodes, is_quarantined_at))
        std::this_thread::yield();
    for (std::size_t count = 0; count < s_gateways; ++count)
        EXPECT_EQ(send("deadly").status, 502);
    EXPECT_EQ(arrivals("deadly"), 0U);
    EXPECT_TRUE(send("harmless").is_whole);
}

// An operator lets one go, at any gateway.
TEST_F(CrashRules, WhatAnOperatorReleasesReachesServersAgain)
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
