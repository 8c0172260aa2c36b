// Checks the memory held for a caller that reads more slowly than its response is produced.
#include <LibGateway/CallerConnection.h>

#include <algorithm>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <gtest/gtest.h>

namespace GraniteField::Gateway {

namespace {

using boost::asio::ip::tcp;

class IgnoringHandler final : public CallerConnection::Handler {
public:
    void handle_request(std::shared_ptr<CallerConnection>, HTTP::RequestHead, RequestBody, Core::MonotonicTime) override
    {
    }
    [[nodiscard]] bool admit_body(CallerConnection&, HTTP::RequestHead const&, std::size_t) override { return true; }
    [[nodiscard]] MemoryAccount& memory() override { return m_memory; }
    [[nodiscard]] CallerConnection::Limits const& limits() const override { return m_limits; }
    [[nodiscard]] bool is_draining() const override { return false; }
    void note_bad_request(HTTP::RequestProblem) override { }

private:
    CallerConnection::Limits m_limits;
    MemoryAccount m_memory;
};

}

// Uses small kernel buffers, so that they do not absorb what the connection should hold.
TEST(CallerConnection, ReleasesWrittenBytesForACallerThatNeverCatchesUp)
{
    constexpr std::size_t window = 256U << 10U;
    constexpr std::size_t total = 16U << 20U;
    IgnoringHandler handler;
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    tcp::socket caller(loop, tcp::v4());
    caller.set_option(boost::asio::socket_base::receive_buffer_size(4'096));
    caller.connect(acceptor.local_endpoint());
    auto accepted = acceptor.accept();
    accepted.set_option(boost::asio::socket_base::send_buffer_size(4'096));
    accepted.non_blocking(true);
    auto const connection = std::make_shared<CallerConnection>(std::move(accepted), handler);

    std::string const chunk_text(8U << 10U, 'x');
    std::string received(16U << 10U, ' ');
    std::size_t max_held = 0;
    connection->start_response(200, {});
    for (std::size_t read = 0; read < total;) {
        while (connection->pending_bytes() < window)
            connection->append(chunk_text);
        max_held = std::max(max_held, connection->held_bytes());
        read += caller.read_some(boost::asio::buffer(received));
        loop.poll();
        loop.restart();
        ASSERT_GT(connection->pending_bytes(), 0U);
    }
    // The window, as many written bytes that are not released yet, and the spare capacity of the string.
    EXPECT_LE(max_held, 4 * window);
}

}
