// Tests that datagrams are read together with the time that they spent in the socket's buffer.
#include <LibCore/Address.h>
#include <LibCore/Text.h>
#include <LibGateway/DatagramReader.h>

#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>

namespace GraniteField::Gateway {

namespace {

using Udp = boost::asio::ip::udp;

class DatagramReaders : public ::testing::Test {
protected:
    DatagramReaders()
    {
        DatagramReader::enable_arrival_times(m_receiver.native_handle());
        m_receiver.non_blocking(true);
    }

    void send(std::string const& text) { m_sender.send_to(boost::asio::buffer(text), m_receiver.local_endpoint()); }
    std::optional<ReceivedDatagram> read() { return m_reader.read(m_receiver.native_handle()); }

    boost::asio::io_context m_loop;
    Udp::endpoint const m_any {boost::asio::ip::make_address("127.0.0.1"), 0};
    Udp::socket m_receiver {m_loop, m_any};
    Udp::socket m_sender {m_loop, m_any};
    DatagramReader m_reader;
};

}

TEST_F(DatagramReaders, ReturnBytesAndSender)
{
    EXPECT_FALSE(read());
    send("first");
    send("second");
    auto const first = read();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->bytes, "first");
    EXPECT_EQ(first->sender, Core::concat("127.0.0.1:", m_sender.local_endpoint().port()));
    auto const second = read();
    ASSERT_TRUE(second);
    EXPECT_EQ(second->bytes, "second");
    EXPECT_FALSE(read());
}

// The content of a datagram ages while it waits for a process that does not run.
TEST_F(DatagramReaders, ReturnTheTimeInTheBuffer)
{
    auto const before = Core::monotonic_now();
    send("waits");
    auto const sent = Core::monotonic_now();
    std::this_thread::sleep_for(Core::Milliseconds(50));
    auto const shortest = Core::elapsed(sent, Core::monotonic_now());
    auto const datagram = read();
    auto const longest = Core::elapsed(before, Core::monotonic_now());
    ASSERT_TRUE(datagram);
    EXPECT_GE(datagram->waited + Core::Milliseconds(1), shortest);
    EXPECT_LE(datagram->waited, longest + Core::Milliseconds(1));
}

}
