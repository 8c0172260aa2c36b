// That the exchange of loads carries its datagrams over real sockets.
#include "NullDescriptor.h"

#include <LibCore/Text.h>
#include <LibGateway/LoadExchange.h>
#include <LibProtocol/ProtocolVersion.h>

#include <optional>

#include <boost/asio/ip/address.hpp>
#include <gtest/gtest.h>

namespace GraniteField::Gateway {

namespace {

using Udp = boost::asio::ip::udp;
using Datagram = granitefield::protocol::LoadDatagram;

/// An exchange whose relay is a socket of this test.
class LoadExchanges : public ::testing::Test {
protected:
    LoadExchanges()
    {
        m_relay.non_blocking(true);
        Entry::LoadMember const self {"127.0.0.1:1", "here", 100, 1};
        Entry::LoadMember const relay {Core::concat("127.0.0.1:", m_relay.local_endpoint().port()), "here", 500, 2};
        m_membership.set_load_members({self, {relay}});
        Entry::ServerList list;
        list.servers.push_back(
            {"i-1", "svc", *Core::Address::from_string("127.0.0.1:9"), "here", 8, Table::BackendServerState::Serving});
        m_fleet.apply(list, Core::monotonic_now());
    }

    [[nodiscard]] BackendView& server() { return *m_fleet.all().begin()->second; }

    /// Lets the exchange do the work of some of its intervals, however long they take: each is one turn of the loop.
    void run(unsigned intervals)
    {
        for (unsigned done = 0; done < intervals; ++done)
            m_loop.run_one();
    }

    /// The next datagram that the relay has, or nothing.
    std::optional<Datagram> receive()
    {
        std::array<char, 4096> buffer {};
        boost::system::error_code error;
        auto const size = m_relay.receive_from(boost::asio::buffer(buffer), m_exchange_endpoint, 0, error);
        Datagram datagram;
        if (error || !datagram.ParseFromArray(buffer.data(), static_cast<int>(size)))
            return std::nullopt;
        return datagram;
    }

    /// Datagrams with a placement, in the one place or the other, among all that have come.
    unsigned count_placements()
    {
        unsigned count = 0;
        while (auto const datagram = receive()) {
            auto const& report = datagram->report();
            count += report.placements_size() + report.placements_before_size() > 0 ? 1 : 0;
        }
        return count;
    }

    boost::asio::io_context m_loop;
    Udp::socket m_relay {m_loop, Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
    Udp::endpoint m_exchange_endpoint;
    Testing::NullDescriptor m_log_descriptor;
    Observe::MetricRegistry m_metrics;
    Observe::EventLog m_log {m_log_descriptor.number(), "gateway-1", Core::Incarnation(1), m_metrics};
    BackendFleet m_fleet {{}, m_log};
    Entry::SharedMembership m_membership;
    Entry::SharedTable m_table;
    Entry::SharedServers m_servers;
    Entry::WatchDuty m_duty {Core::Milliseconds(3'000), 0, m_table, m_servers, m_log, m_metrics};
    Policy::CrashLedger m_crashes;
    LoadExchange m_exchange {m_loop, Core::Address::from_string("127.0.0.1:0"), m_fleet, CrashSharing(m_crashes),
        nullptr, m_membership, m_duty, m_log, m_metrics};
};

}

TEST_F(LoadExchanges, APlacementIsToldTwiceAlsoWhereNothingElseChanges)
{
    std::vector<PromptPart> const parts {{7, 100}};
    m_exchange.note_placement(server(), parts, 0);
    run(1);
    unsigned told = count_placements();
    EXPECT_EQ(told, 1U);
    // It is told once more, since a datagram may have been lost, and then no more.
    run(1);
    told += count_placements();
    EXPECT_EQ(told, 2U);
    server().begin_attempt({1, 0, 0});
    run(1);
    told += count_placements();
    EXPECT_EQ(told, 2U);
}

TEST_F(LoadExchanges, TakesTheRelaysWordAndCountsWhatIsNoDatagram)
{
    run(1);
    ASSERT_TRUE(receive());
    Datagram datagram;
    datagram.set_protocol_version(Protocol::s_protocol_version);
    auto& part = *datagram.add_relayed();
    part.set_relay(7);
    part.set_sequence(1);
    auto& load = *part.add_servers();
    load.set_server(server().id());
    load.set_open(3);
    auto const bytes = datagram.SerializeAsString();
    m_relay.send_to(boost::asio::buffer(bytes), m_exchange_endpoint);
    m_relay.send_to(boost::asio::buffer("no datagram"), m_exchange_endpoint);
    while (m_metrics.counter("granitefield_load_datagrams_rejected_total").value() == 0)
        run(1);
    EXPECT_EQ(server().load().open, 3U);
}

}
