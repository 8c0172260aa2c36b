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

/// Finds out whether a server still runs, by a connection that is closed without sending anything.
class ServerProbe : public std::enable_shared_from_this<ServerProbe> {
public:
    enum class Result {
        /// The server accepted the connection.
        Accepted,
        /// The server's host refused the connection: no process listens at the address.
        Refused,
        /// Timeout, or another failure.
        Unknown,
    };
    using Handler = std::function<void(Result)>;

    /// Time limit of a probe. A server accepts or refuses within a round trip.
    static constexpr Core::Milliseconds s_timeout {500};

    /// Connects, and calls the handler once from the event loop.
    static void start(boost::asio::io_context&, Core::Address const&, Handler);

private:
    ServerProbe(boost::asio::io_context&, Handler);

    void connect(Core::Address const&);
    [[nodiscard]] static Result result_of(boost::system::error_code const&);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    Handler m_on_result;
};

[[nodiscard]] std::string_view to_string(ServerProbe::Result);

}
