// What gateways tell each other of their load, over real datagrams.
#include "NullDescriptor.h"

#include <LibCore/Text.h>
#include <LibGateway/LoadExchange.h>

#include <optional>

#include <boost/asio/ip/address.hpp>
#include <gtest/gtest.h>

namespace GraniteField::Gateway {

namespace {

using Udp = boost::asio::ip::udp;
using Datagram = granitefield::protocol::GatewayLoad;

/// An exchange whose only peer is a socket of this test.
class LoadExchanges : public ::testing::Test {
protected:
    LoadExchanges()
    {
        m_peer.non_blocking(true);
        m_membership.other_entries = 1;
        m_membership.set_load_addresses({Core::concat("127.0.0.1:", m_peer.local_endpoint().port())});
        Entry::ServerList list;
        list.servers.push_back(
            {"i-1", "svc", *Core::Address::from_string("127.0.0.1:9"), "here", 8, Table::BackendServerState::Serving});
        m_fleet.follow(list);
    }

    [[nodiscard]] BackendView& server() { return *m_fleet.all().begin()->second; }

    /// Lets the exchange do the work of some of its intervals, however long they take: each is one turn of the loop.
    void run(unsigned intervals)
    {
        for (unsigned done = 0; done < intervals; ++done)
            m_loop.run_one();
    }

    /// The next datagram that the peer has, or nothing.
    std::optional<Datagram> receive()
    {
        std::array<char, 4096> buffer {};
        boost::system::error_code error;
        auto const size = m_peer.receive(boost::asio::buffer(buffer), 0, error);
        Datagram datagram;
        if (error || !datagram.ParseFromArray(buffer.data(), static_cast<int>(size)))
            return std::nullopt;
        return datagram;
    }

    /// Datagrams with a placement among all that have come.
    unsigned count_placements()
    {
        unsigned count = 0;
        while (auto const datagram = receive())
            count += datagram->placements_size() > 0 ? 1 : 0;
        return count;
    }

    boost::asio::io_context m_loop;
    Udp::socket m_peer {m_loop, Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
    Testing::NullDescriptor m_log_descriptor;
    Observe::MetricRegistry m_metrics;
    Observe::EventLog m_log {m_log_descriptor.number(), "gateway-1", Core::Incarnation(1), m_metrics};
    BackendFleet m_fleet {{}, m_log};
    Entry::SharedMembership m_membership;
    LoadExchange m_exchange {m_loop, Core::Address::from_string("127.0.0.1:0"), m_fleet, m_membership, m_metrics};
};

}

TEST_F(LoadExchanges, APlacementIsToldTwiceAlsoWhereNothingElseChanges)
{
    std::vector<PromptPart> const parts {{7, 100}};
    m_exchange.note_placement(server(), parts);
    run(3);
    unsigned told = count_placements();
    EXPECT_EQ(told, 1U);
    // With the next news it is told once more, since a datagram may have been lost, and then no more.
    server().begin_attempt({1, 0, 0});
    run(3);
    told += count_placements();
    server().begin_attempt({1, 0, 0});
    run(3);
    told += count_placements();
    EXPECT_EQ(told, 2U);
}

}
