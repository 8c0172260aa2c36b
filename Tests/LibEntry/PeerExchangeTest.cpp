// How a change of the configuration gets from one gateway to the next.
//
// What users saw: requests refused as only an older configuration allows, later than the 3 s that are promised, at
// hosts with a tenth of a core and 10 Mbit/s, when the configuration grew by 1,400 routes. Order of events: the
// gateways that watch the store have the change at once; each of the others pulls it from the first peer that announces
// it, 0.76 MB cell by cell, and forgets who else announced it; what takes longer than 0.7 s sends all of them to the
// store, where each reads and decodes the whole configuration on the processor that was to take the peer's word.
// Evidence: in a play with such a change and no fault, 15 of 24 small hosts asked the store 0.8 to 1.9 s after the
// change, and the last one had it 2.4 s after the first; with 1,400 routes more again it was 18 of them, and 3.2 s.
#include <LibCore/Text.h>
#include <LibEntry/PeerExchange.h>
#include <LibObserve/Metrics.h>
#include <LibProtocol/ProtocolVersion.h>

#include <Peers.pb.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <zmq.hpp>

namespace GraniteField::Entry {

using namespace std::chrono_literals;
namespace Message = granitefield::protocol;

namespace {

/// The promise to callers: a change holds this long after the store has taken it.
constexpr Core::Milliseconds s_promise {3'000};
/// A small host's link, in bytes a second.
constexpr std::size_t s_link_rate = 1'250'000;
/// Peers that one gateway of thirty hands a change to: its neighbours at distances 1, 2, 4, 8 and 16.
constexpr std::size_t s_neighbours = 5;

bool wait_until(std::function<bool()> const& condition, Core::Milliseconds limit)
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(2ms);
    }
    return true;
}

Table::Table table_with_routes(std::size_t count, unsigned version)
{
    Table::Change change {{{Table::SheetName::Services, "svc", "kind"}, "plain"}};
    for (std::size_t number = 0; number < count; ++number) {
        auto const name = Core::concat("route-", number);
        change.push_back({{Table::SheetName::Classes, name, "tier"}, "2"});
        change.push_back({{Table::SheetName::Classes, name, "first-token"}, "150ms"});
        change.push_back({{Table::SheetName::Routes, name, "host"}, Core::concat("host", number % 12, ".example")});
        change.push_back({{Table::SheetName::Routes, name, "path-prefix"}, Core::concat("/path", number, "/")});
        change.push_back({{Table::SheetName::Routes, name, "class"}, name});
        change.push_back({{Table::SheetName::Routes, name, "services"}, "svc:1"});
        change.push_back({{Table::SheetName::Routes, name, "time-limit"}, "1200ms"});
    }
    auto table = Table::Table().with(change);
    table.set_version(Core::TableVersion(version));
    return table;
}

/// A gateway's exchange with what it shares.
struct Node {
    Node(zmq::context_t& context, std::string name, std::vector<Core::Address> seeds)
    {
        PeerExchange::Settings settings;
        settings.name = std::move(name);
        settings.group = "here";
        settings.address = *Core::Address::from_string("127.0.0.1:0");
        settings.seeds = std::move(seeds);
        settings.announce_interval = Core::Milliseconds(3'000);
        exchange = std::make_unique<PeerExchange>(settings, context, table, drains, servers, membership,
            PeerExchange::Events {[] {}, [](bool) {}, [] { return false; }}, metrics);
    }

    [[nodiscard]] Core::Address address() const
    {
        return *Core::Address::from_string(Core::concat("127.0.0.1:", exchange->port()));
    }
    [[nodiscard]] bool has(unsigned version) const
    {
        auto const current = table.current();
        return current && current->version().value() >= version;
    }
    [[nodiscard]] bool knows(std::int64_t peers) { return metrics.gauge("granitefield_peers").value() == peers; }
    void take(Table::Table newer)
    {
        table.offer(std::move(newer));
        exchange->wake();
    }

    SharedTable table;
    SharedDrains drains;
    SharedServers servers;
    SharedMembership membership;
    Observe::MetricRegistry metrics;
    std::unique_ptr<PeerExchange> exchange;
};

/// A peer that the test plays.
class FakePeer {
public:
    FakePeer(zmq::context_t& context, Node const& node, std::string name = "mute")
        : m_name(std::move(name))
        , m_socket(context, zmq::socket_type::dealer)
    {
        m_socket.set(zmq::sockopt::linger, 0);
        m_socket.connect(node.address().to_endpoint());
    }

    void announce(unsigned version)
    {
        auto envelope = make_envelope();
        auto& sender = *envelope.mutable_announce()->mutable_sender();
        sender.set_name(m_name);
        sender.set_group("here");
        sender.set_address("127.0.0.1:1");
        sender.set_is_platform_reachable(true);
        envelope.mutable_announce()->set_table_version(version);
        send(envelope);
    }

    void pull_beyond(unsigned version)
    {
        auto envelope = make_envelope();
        envelope.mutable_pull()->set_table_version(version);
        send(envelope);
    }

    /// The bytes of the next message whose body is of that kind; 0 when none comes in time.
    [[nodiscard]] std::size_t wait_for(Message::PeerEnvelope::BodyCase kind)
    {
        std::size_t size = 0;
        static_cast<void>(wait_until(
            [&] {
                zmq::message_t frame;
                if (!m_socket.recv(frame, zmq::recv_flags::dontwait))
                    return false;
                Message::PeerEnvelope envelope;
                bool const is_wanted = envelope.ParseFromArray(frame.data(), static_cast<int>(frame.size()))
                    && envelope.body_case() == kind;
                size = is_wanted ? frame.size() : 0;
                return is_wanted;
            },
            s_promise));
        return size;
    }

private:
    static Message::PeerEnvelope make_envelope()
    {
        Message::PeerEnvelope envelope;
        envelope.set_protocol_version(Protocol::s_protocol_version);
        return envelope;
    }

    void send(Message::PeerEnvelope const& envelope)
    {
        auto const bytes = envelope.SerializeAsString();
        m_socket.send(zmq::buffer(bytes), zmq::send_flags::none);
    }

    std::string m_name;
    zmq::socket_t m_socket;
};

/// Longer than the time within which a new neighbour is told of; after it all is as between gateways that have known
/// each other for long.
constexpr Core::Milliseconds s_settling {400};

}

// A gateway pulls from the first peer that announces a change. That peer may be killed, cut or too busy just then; the
// others, who announced the same a moment later, were not asked until their next announcement, 2.25 to 3 s later.
TEST(PeerExchange, APeerThatDoesNotAnswerDelaysNobodyForLong)
{
    zmq::context_t context(1);
    Node node(context, "node", {});
    node.take(table_with_routes(1, 1));
    Node other(context, "other", {node.address()});
    ASSERT_TRUE(wait_until([&] { return other.has(1); }, s_promise));
    FakePeer mute(context, node);
    mute.announce(1);
    ASSERT_TRUE(wait_until([&] { return node.knows(2) && other.knows(2); }, 2 * s_promise));
    std::this_thread::sleep_for(s_settling);
    mute.announce(2);
    ASSERT_GT(mute.wait_for(Message::PeerEnvelope::kPull), 0U);
    other.take(table_with_routes(2, 2));
    // Half of the promised time is left to this step; the other half is the store's and the other steps'.
    EXPECT_TRUE(wait_until([&] { return node.has(2); }, s_promise / 2));
}

// Who announces most is asked first, and whoever fell silent meanwhile is not waited for again and again.
TEST(PeerExchange, SeveralThatDoNotAnswerDelayNobodyForLong)
{
    zmq::context_t context(1);
    Node node(context, "node", {});
    node.take(table_with_routes(1, 1));
    Node other(context, "other", {node.address()});
    ASSERT_TRUE(wait_until([&] { return other.has(1); }, s_promise));
    FakePeer first(context, node, "first");
    FakePeer second(context, node, "second");
    first.announce(1);
    second.announce(1);
    ASSERT_TRUE(wait_until([&] { return node.knows(3) && other.knows(3); }, 2 * s_promise));
    std::this_thread::sleep_for(s_settling);
    first.announce(2);
    ASSERT_GT(first.wait_for(Message::PeerEnvelope::kPull), 0U);
    second.announce(2);
    other.take(table_with_routes(2, 2));
    EXPECT_TRUE(wait_until([&] { return node.has(2); }, s_promise / 2));
}

// Cell by cell, with the names of sheet, row and column at each, 1,400 new routes took 0.76 MB: on a small host's link
// 0.6 s for each peer that pulls them, and up to five do at once. A quarter of the promised time is left to one step.
TEST(PeerExchange, ManyNewRoutesPassASmallHostsLinkInTime)
{
    constexpr std::size_t largest = s_link_rate * s_promise.count() / 4 / 1'000 / s_neighbours;
    zmq::context_t context(1);
    Node node(context, "node", {});
    node.take(table_with_routes(50, 1));
    FakePeer peer(context, node);
    peer.pull_beyond(0);
    ASSERT_GT(peer.wait_for(Message::PeerEnvelope::kTable), 0U);
    node.take(table_with_routes(1'450, 2));
    peer.pull_beyond(1);
    auto const edits = peer.wait_for(Message::PeerEnvelope::kTable);
    EXPECT_GT(edits, 0U);
    EXPECT_LE(edits, largest);
    peer.pull_beyond(0);
    auto const whole = peer.wait_for(Message::PeerEnvelope::kTable);
    EXPECT_GT(whole, 0U);
    EXPECT_LE(whole, largest);
}

// Who watches the store decodes whole configurations: 52 ms of processor time for 4,000 routes, which is 0.6 s on a
// host with 0.09 of a core and 0.1 s on one with half a core.
TEST(WatcherChoice, HostsWithMoreProcessorWatchFirst)
{
    constexpr unsigned large = 500;
    constexpr unsigned small = 90;
    constexpr std::size_t count = 10;
    auto const make_peer = [](std::size_t number) {
        return Peer {Core::concat("gateway-", number), "here", Core::concat("10.0.0.1:", number + 1),
            Core::MonotonicTime(1h), true, Core::concat("10.0.0.1:", 100 + number), number < 2 ? large : small};
    };
    std::size_t watching = 0;
    for (std::size_t number = 0; number < count; ++number) {
        PeerView view(make_peer(number));
        for (std::size_t other = 0; other < count; ++other)
            view.note(make_peer(other));
        EXPECT_EQ(view.should_watch(), number < 2) << number;
        watching += view.should_watch() ? 1 : 0;
    }
    EXPECT_EQ(watching, PeerView::s_watchers_per_group);
}

}
