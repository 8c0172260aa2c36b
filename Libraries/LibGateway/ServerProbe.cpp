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

ServerProbe::ServerProbe(boost::asio::io_context& loop, Handler on_result)
    : m_socket(loop)
    , m_timer(loop)
    , m_on_result(std::move(on_result))
{
}

void ServerProbe::start(boost::asio::io_context& loop, Core::Address const& address, Handler on_result)
{
    std::shared_ptr<ServerProbe> const probe(new ServerProbe(loop, std::move(on_result)));
    probe->connect(address);
}

void ServerProbe::connect(Core::Address const& address)
{
    boost::asio::ip::tcp::endpoint const endpoint(boost::asio::ip::make_address(address.host()), address.port());
    m_timer.expires_after(s_timeout);
    m_timer.async_wait([self = shared_from_this()](auto const& error) {
        boost::system::error_code ignored;
        if (!error)
            self->m_socket.close(ignored);
    });
    m_socket.async_connect(endpoint, [self = shared_from_this()](auto const& error) {
        self->m_timer.cancel();
        self->m_on_result(result_of(error));
    });
}

ServerProbe::Result ServerProbe::result_of(boost::system::error_code const& error)
{
    if (!error)
        return Result::Accepted;
    return error == boost::asio::error::connection_refused ? Result::Refused : Result::Unknown;
}

}
