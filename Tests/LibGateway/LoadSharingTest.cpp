// Tests in simulated time how soon twelve gateways know each other's load, and that they recover from lost datagrams.
#include "LoadFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Gateway {

TEST_F(LoadFleet, ElectsTheRelayWithTheMostProcessorInEachDomain)
{
    EXPECT_EQ(count_relays(), s_groups);
    for (std::size_t number = 0; number < s_groups; ++number)
        EXPECT_TRUE(node(number).sharing.is_relay());
}

// Guards against several relays after a stall of the host at the start of its gateways: the join delay was over when
// they ran again, but they knew no members yet, and each elected itself.
TEST(RelayElection, DoesNotCountAStallAtTheStartAsJoinDelay)
{
    auto const start = Core::MonotonicTime(1h);
    RelayElection election(start);
    election.set_members({{"10.0.0.1:1", "here", 90, 1}, {}});
    auto now = start + 2'200ms;
    for (auto const end = now + RelayElection::s_join_delay; now < end; now += 100ms)
        EXPECT_FALSE(election.choose_relay(now));
    EXPECT_EQ(election.choose_relay(now), "10.0.0.1:1");
}

TEST(RelayElection, JoinsUntilAFirstDatagramOrTheJoinDelay)
{
    auto const start = Core::MonotonicTime(1h);
    Entry::LoadMember const self {"10.0.0.1:1", "here", 90, 1};
    Entry::LoadMember const other {"10.0.0.2:1", "here", 90, 2};
    RelayElection election(start);
    election.set_members({self, {other}});
    EXPECT_TRUE(election.is_joining(start));
    RelayElection unanswered(start);
    unanswered.set_members({self, {other}});
    auto now = start;
    for (; now < start + RelayElection::s_join_delay; now += 100ms) {
        static_cast<void>(unanswered.choose_relay(now));
        EXPECT_TRUE(unanswered.is_joining(now));
    }
    EXPECT_FALSE(unanswered.is_joining(now));
    election.note_relay_datagram(other.address, start);
    EXPECT_FALSE(election.is_joining(start));
}

TEST_F(LoadFleet, PropagatesLoadsWithinThreeIntervals)
{
    for (std::size_t number = 0; number < s_count; ++number) {
        view(node(number), "i-3").begin_attempt({1, 5'000, 1});
        advance(s_max_propagation_time);
        EXPECT_EQ(gateways_with_wrong_load("i-3"), std::vector<std::string>()) << number;
    }
    for (std::size_t number = 0; number < s_count; ++number) {
        ServerLoad load {1, 5'000, 1};
        view(node(number), "i-3").end_attempt(load);
        advance(s_max_propagation_time);
        EXPECT_EQ(gateways_with_wrong_load("i-3"), std::vector<std::string>()) << number;
    }
}

TEST_F(LoadFleet, DoesNotRefreshTheReportOfADeadWatchByForwardingIt)
{
    std::vector<Entry::WatchElection> elections(s_count, Entry::WatchElection({}, m_now));
    auto const last_healthy = m_now;
    elections.front().note_report({last_healthy, last_healthy, {}}, m_now);
    for (auto const end = m_now + 2s; m_now < end;) {
        for (std::size_t number = 0; number < s_count; ++number) {
            auto& sharing = node(number).sharing;
            elections[number].note_report(sharing.take_store_report(), m_now);
            sharing.set_store_report(elections[number].report(m_now));
        }
        advance(s_step);
    }
    for (auto const& election : elections)
        EXPECT_LE(election.report(m_now).any_healthy_at, last_healthy + Entry::WatchElection::s_min_report_advance);
}

TEST_F(LoadFleet, CorrectsLoadsAfterLostDatagrams)
{
    m_loss = 0.1;
    std::uniform_int_distribution<std::size_t> any_node(0, s_count - 1);
    std::uniform_int_distribution<int> any_server(0, 5);
    for (int change = 0; change < 200; ++change) {
        auto& server = view(node(any_node(m_generator)), Core::concat("i-", any_server(m_generator)).c_str());
        ServerLoad load {1, 100, 0};
        if (change % 2 == 0 || server.own_load().open == 0)
            server.begin_attempt(load);
        else
            server.end_attempt(load);
        advance(10ms);
    }
    m_loss = 0;
    advance(LoadSharing::s_entry_expiry + LoadSharing::s_refresh);
    for (auto const* instance : {"i-0", "i-1", "i-2", "i-3", "i-4", "i-5"})
        EXPECT_EQ(gateways_with_wrong_load(instance), std::vector<std::string>()) << instance;
}

TEST_F(LoadFleet, ReplacesADeadRelayAndDropsItsLoad)
{
    view(node(0), "i-1").begin_attempt({4, 0, 0});
    advance(s_max_propagation_time);
    node(0).is_alive = false;
    advance(RelayElection::s_silence_limit + LoadSharing::s_interval * 2);
    // A load change in its failure domain propagates as fast as before.
    view(node(3), "i-2").begin_attempt({1, 0, 0});
    advance(s_max_propagation_time);
    EXPECT_EQ(gateways_with_wrong_load("i-2"), std::vector<std::string>());
    advance(LoadAggregator::s_report_expiry);
    EXPECT_EQ(gateways_with_wrong_load("i-1"), std::vector<std::string>());
    EXPECT_EQ(count_relays(), s_groups);
}

TEST_F(LoadFleet, ReturnsToARelayThatIsAvailableAgain)
{
    node(1).is_alive = false;
    advance(1s);
    EXPECT_EQ(count_relays(), s_groups);
    node(1).is_alive = true;
    advance(RelayElection::s_initial_suspicion * 4);
    EXPECT_EQ(count_relays(), s_groups);
    EXPECT_TRUE(node(1).sharing.is_relay());
    view(node(4), "i-2").begin_attempt({1, 0, 0});
    advance(s_max_propagation_time);
    EXPECT_EQ(gateways_with_wrong_load("i-2"), std::vector<std::string>());
}

TEST_F(LoadFleet, LimitsDatagramsToOnePerIntervalExceptAtRelays)
{
    std::vector<PromptPart> const parts {{9, 100}};
    m_sent = 0;
    for (int round = 0; round < 20; ++round) {
        for (auto const& node : m_nodes) {
            view(*node, "i-0").begin_attempt({1, 10, 0});
            node->sharing.note_placement(view(*node, "i-0"), parts, 0);
        }
        advance(LoadSharing::s_interval);
    }
    // Nine gateways report; three relays send to three reporters and two relays each.
    EXPECT_LE(m_sent, 21U * (9 + 3 * 5));
}

TEST_F(LoadFleet, PropagatesPlacementsAfterALostReport)
{
    std::vector<PromptPart> const parts {{9, 400}};
    node(4).sharing.note_placement(view(node(4), "i-5"), parts, 0);
    m_loss = 1;
    advance(LoadSharing::s_interval);
    m_loss = 0;
    advance(s_max_propagation_time);
    for (auto const& node : m_nodes) {
        if (node->id == this->node(4).id)
            continue;
        EXPECT_EQ(view(*node, "i-5").prefixes().cached_tokens(parts), 400U) << node->address;
    }
}

TEST_F(LoadFleet, AvoidsADeadServerAfterAReportInTheDomain)
{
    node(4).sharing.note_unreachable(view(node(4), "i-2"));
    advance(s_max_propagation_time);
    for (auto const& node : m_nodes) {
        bool const is_of_that_domain = node->member.group == this->node(4).member.group;
        // The other domains may reach it and wait for the report of a second domain.
        EXPECT_EQ(view(*node, "i-2").is_avoided(m_now), is_of_that_domain) << node->address;
    }
    node(3).sharing.note_unreachable(view(node(3), "i-2"));
    advance(s_max_propagation_time);
    for (auto const& node : m_nodes)
        EXPECT_TRUE(view(*node, "i-2").is_avoided(m_now)) << node->address;
}

TEST_F(LoadFleet, AvoidsAServerWhoseStreamsBreakTogether)
{
    // A single broken answer says nothing about the other streams there.
    node(4).sharing.note_broken(view(node(4), "i-2"));
    advance(s_max_propagation_time);
    EXPECT_FALSE(view(node(4), "i-2").is_avoided(m_now));
    advance(FailureDetector::s_break_window);
    node(4).sharing.note_broken(view(node(4), "i-3"));
    node(7).sharing.note_broken(view(node(7), "i-3"));
    advance(s_max_propagation_time);
    EXPECT_TRUE(view(node(10), "i-3").is_avoided(m_now));
}

TEST_F(LoadFleet, UsesASuspectedServerAfterAnAnswerInTheDomain)
{
    for (std::size_t const number : {3, 4})
        node(number).sharing.note_unreachable(view(node(number), "i-2"));
    advance(s_max_propagation_time);
    ASSERT_TRUE(view(node(10), "i-2").is_avoided(m_now));
    node(7).sharing.note_answering(view(node(7), "i-2"));
    advance(s_max_propagation_time);
    EXPECT_FALSE(view(node(10), "i-2").is_avoided(m_now));
}

TEST_F(LoadFleet, SpreadsTheRetriesOfADeadServer)
{
    for (std::size_t const number : {3, 4, 5})
        node(number).sharing.note_unreachable(view(node(number), "i-2"));
    advance(s_max_propagation_time);
    std::size_t tries = 0;
    for (auto const end = m_now + 5s; m_now < end;) {
        for (auto const& node : m_nodes) {
            auto& server = view(*node, "i-2");
            if (server.is_avoided(m_now))
                continue;
            ++tries;
            server.note_unreachable(s_count, m_now);
            node->sharing.note_unreachable(server);
        }
        advance(s_step);
    }
    // Five seconds contain about four avoidance periods: 250 ms, 500 ms, 1 s and 2 s.
    EXPECT_LE(tries, 4U * 5U);
}

TEST_F(LoadFleet, IgnoresNonMembersAndOutdatedOrOversizedDatagrams)
{
    LoadSharing::Datagram datagram;
    datagram.set_protocol_version(Protocol::s_protocol_version);
    auto& part = *datagram.add_relayed();
    part.set_relay(77);
    part.set_sequence(1);
    auto& load = *part.add_servers();
    load.set_server(view(node(5), "i-0").id());
    load.set_open(9);
    EXPECT_FALSE(node(5).sharing.receive(datagram, "10.9.9.9:1", m_now));
    EXPECT_EQ(view(node(5), "i-0").load().open, 0U);
    part.add_placements()->add_chains(1);
    EXPECT_FALSE(node(5).sharing.receive(datagram, node(2).address, m_now));
    part.clear_placements();
    EXPECT_TRUE(node(5).sharing.receive(datagram, node(2).address, m_now));
    EXPECT_EQ(view(node(5), "i-0").load().open, 9U);
    // An older datagram of the same relay changes nothing.
    load.set_open(4);
    EXPECT_TRUE(node(5).sharing.receive(datagram, node(2).address, m_now));
    EXPECT_EQ(view(node(5), "i-0").load().open, 9U);
    for (std::size_t count = 0; count <= LoadSharing::s_max_servers; ++count)
        part.add_servers()->set_server(count);
    part.set_sequence(2);
    EXPECT_FALSE(node(5).sharing.receive(datagram, node(2).address, m_now));
}

RC_GTEST_PROP(LoadSharing, ExpiresTheLoadsOfAnyDatagrams, ())
{
    Node node(0, 0, s_start);
    Node peer(3, 0, s_start);
    Entry::ServerList list;
    for (int number = 0; number < 3; ++number)
        list.servers.push_back({Core::concat("i-", number), "svc", *Core::Address::from_string("127.0.0.1:9"), "here",
            64, Table::BackendServerState::Serving});
    node.fleet.apply(list, s_start);
    node.sharing.set_members({node.member, {peer.member}});
    std::vector<std::uint64_t> ids {1};
    for (auto const& [instance, view] : node.fleet.all())
        ids.push_back(view->id());
    auto now = s_start;
    auto const count = *rc::gen::inRange(1, 20);
    for (int sent = 0; sent < count; ++sent) {
        LoadSharing::Datagram datagram;
        datagram.set_protocol_version(Protocol::s_protocol_version);
        auto const fill = [&](auto& message) {
            for (int server = 0; server < *rc::gen::inRange(0, 4); ++server) {
                auto& load = *message.add_servers();
                load.set_server(*rc::gen::elementOf(ids));
                load.set_open(*rc::gen::arbitrary<std::uint32_t>());
                load.set_unread_tokens(*rc::gen::arbitrary<std::uint32_t>());
            }
            message.set_sequence(*rc::gen::inRange<std::uint64_t>(0, 5));
        };
        if (*rc::gen::arbitrary<bool>()) {
            datagram.mutable_report()->set_sender(*rc::gen::inRange<std::uint64_t>(1, 4));
            fill(*datagram.mutable_report());
        }
        for (int relayed = 0; relayed < *rc::gen::inRange(0, 3); ++relayed) {
            auto& part = *datagram.add_relayed();
            part.set_relay(*rc::gen::inRange<std::uint64_t>(1, 4));
            fill(part);
        }
        auto bytes = datagram.SerializeAsString();
        if (!bytes.empty() && *rc::gen::arbitrary<bool>())
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        LoadSharing::Datagram read;
        if (read.ParseFromString(bytes))
            node.sharing.receive(read, peer.address, now);
        now += Core::Milliseconds(*rc::gen::inRange(0, 300));
        static_cast<void>(node.sharing.tick({}, now));
    }
    now += LoadSharing::s_entry_expiry + LoadSharing::s_relay_expiry;
    static_cast<void>(node.sharing.tick({}, now));
    for (auto const& [instance, view] : node.fleet.all())
        RC_ASSERT(view->load() == ServerLoad());
}

}
