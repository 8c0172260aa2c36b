#pragma once

#include <LibCore/Address.h>
#include <LibCore/ListenRetry.h>
#include <Messages.pb.h>

#include <cstdint>
#include <optional>
#include <string>

#include <zmq.hpp>

namespace GraniteField::Side {

/// A message and the route back to the entry that sent it.
struct Received {
    std::string route;
    granitefield::protocol::Envelope envelope;
    bool is_malformed {false};
};

/// The ROUTER socket to which entries connect. For one thread.
class EntryLinks {
public:
    /// Throws zmq::error_t when the address can't be had.
    EntryLinks(zmq::context_t&, Core::Address const&, Core::ListenRetry const&);

    [[nodiscard]] std::optional<Received> receive();
    /// False when the entry is not connected or its queue is full. The entry asks again for what it misses.
    bool send(std::string const& route, granitefield::protocol::Envelope const&);

    [[nodiscard]] zmq::socket_t& socket() { return m_socket; }
    [[nodiscard]] std::uint16_t port() const { return m_port; }

private:
    zmq::socket_t m_socket;
    std::uint16_t m_port {0};
};

}
