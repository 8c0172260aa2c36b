#include <LibSide/EntryLinks.h>

#include <LibProtocol/ProtocolVersion.h>

#include <stdexcept>

namespace GraniteField::Side {

EntryLinks::EntryLinks(zmq::context_t& context, Core::Address const& address, Core::ListenRetry const& retry)
    : m_socket(context, zmq::socket_type::router)
{
    m_socket.set(zmq::sockopt::linger, 0);
    m_socket.set(zmq::sockopt::sndhwm, Protocol::s_high_water_mark);
    m_socket.set(zmq::sockopt::rcvhwm, Protocol::s_high_water_mark);
    // An entry that connects again under its own name takes over from its old connection.
    m_socket.set(zmq::sockopt::router_handover, true);
    m_socket.set(zmq::sockopt::router_mandatory, true);
    m_socket.set(zmq::sockopt::maxmsgsize, Protocol::s_largest_message_bytes);
    m_socket.set(zmq::sockopt::ipv6, address.is_ipv6());
    auto const endpoint = retry.listen(address, [&] {
        m_socket.bind(address.port() == 0 ? "tcp://" + address.host() + ":*" : address.to_endpoint());
        return m_socket.get(zmq::sockopt::last_endpoint).substr(std::string_view("tcp://").size());
    });
    auto const bound = Core::Address::from_string(endpoint);
    if (!bound)
        throw std::runtime_error("the bound address can't be read");
    m_port = bound->port();
}

std::optional<Received> EntryLinks::receive()
{
    zmq::message_t route;
    if (!m_socket.recv(route, zmq::recv_flags::dontwait))
        return std::nullopt;
    Received received;
    received.route = route.to_string();
    zmq::message_t frame;
    bool has_more = route.more();
    bool has_body = false;
    while (has_more) {
        static_cast<void>(m_socket.recv(frame, zmq::recv_flags::none));
        has_more = frame.more();
        received.is_malformed
            = has_body || !received.envelope.ParseFromArray(frame.data(), static_cast<int>(frame.size()));
        has_body = true;
    }
    received.is_malformed = received.is_malformed || !has_body;
    return received;
}

bool EntryLinks::send(std::string const& route, granitefield::protocol::Envelope const& envelope)
{
    auto const size = envelope.ByteSizeLong();
    zmq::message_t frame(size);
    envelope.SerializeToArray(frame.data(), static_cast<int>(size));
    try {
        zmq::message_t route_frame(route);
        if (!m_socket.send(route_frame, zmq::send_flags::sndmore | zmq::send_flags::dontwait))
            return false;
        return m_socket.send(frame, zmq::send_flags::dontwait).has_value();
    } catch (zmq::error_t const&) {
        // EHOSTUNREACH: the entry is not connected at the moment.
        return false;
    }
}

}
