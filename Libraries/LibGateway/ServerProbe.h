#pragma once

#include <LibCore/Address.h>
#include <LibCore/Time.h>

#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace GraniteField::Gateway {

/// Finds out whether a server still runs, by a connection that is closed without sending anything. Reconnects while
/// there is no result: the network may have lost a packet.
class ServerProbe : public std::enable_shared_from_this<ServerProbe> {
public:
    enum class Result {
        /// The server accepted the connection.
        Accepted,
        /// The server's host refused the connection: no process listens at the address.
        Refused,
        /// Neither within the time limit.
        Unknown,
    };
    using Handler = std::function<void(Result)>;

    /// Timeout of one connection. A server accepts or refuses it within a round trip.
    static constexpr Core::Milliseconds s_connect_timeout {500};
    /// Number of connections after which the result is unknown.
    static constexpr unsigned s_max_connects = 6;

    /// Connects, and calls the handler once from the event loop.
    static void start(boost::asio::io_context&, Core::Address const&, Handler);

private:
    ServerProbe(boost::asio::io_context&, Core::Address const&, Handler);

    void connect();
    void handle_connected(boost::system::error_code const&);
    void handle_timeout();
    void finish(Result);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::ip::tcp::endpoint m_endpoint;
    Handler m_on_result;
    unsigned m_connects {0};
    bool m_is_over {false};
};

[[nodiscard]] std::string_view to_string(ServerProbe::Result);

}
