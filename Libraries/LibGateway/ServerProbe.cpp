#include <LibGateway/ServerProbe.h>

#include <utility>

#include <boost/asio/ip/address.hpp>

namespace GraniteField::Gateway {

std::string_view to_string(ServerProbe::Result result)
{
    switch (result) {
    case ServerProbe::Result::Accepted:
        return "accepted";
    case ServerProbe::Result::Refused:
        return "refused";
    case ServerProbe::Result::Unknown:
        return "unknown";
    }
    return "unknown";
}

ServerProbe::ServerProbe(boost::asio::io_context& loop, Core::Address const& address, Handler on_result)
    : m_socket(loop)
    , m_timer(loop)
    , m_endpoint(boost::asio::ip::make_address(address.host()), address.port())
    , m_on_result(std::move(on_result))
{
}

void ServerProbe::start(boost::asio::io_context& loop, Core::Address const& address, Handler on_result)
{
    std::shared_ptr<ServerProbe> const probe(new ServerProbe(loop, address, std::move(on_result)));
    probe->connect();
}

void ServerProbe::connect()
{
    ++m_connects;
    m_timer.expires_after(s_connect_timeout);
    m_timer.async_wait([self = shared_from_this()](auto const& error) {
        if (!error)
            self->handle_timeout();
    });
    m_socket.async_connect(
        m_endpoint, [self = shared_from_this()](auto const& error) { self->handle_connected(error); });
}

void ServerProbe::handle_connected(boost::system::error_code const& error)
{
    if (!error)
        return finish(Result::Accepted);
    if (error == boost::asio::error::connection_refused)
        return finish(Result::Refused);
    // The timeout starts the next connection.
}

void ServerProbe::handle_timeout()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (m_is_over)
        return;
    if (m_connects >= s_max_connects)
        return finish(Result::Unknown);
    connect();
}

void ServerProbe::finish(Result result)
{
    if (std::exchange(m_is_over, true))
        return;
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_on_result(result);
}

}
