#include <LibHTTP/Microhttpd.h>

#include <LibCore/Text.h>

#include <cstring>

namespace GraniteField::HTTP {

BindAddress::BindAddress(Core::Address const& address)
{
    if (address.is_ipv6()) {
        auto* socket_address = reinterpret_cast<sockaddr_in6*>(&m_storage);
        socket_address->sin6_family = AF_INET6;
        socket_address->sin6_port = htons(address.port());
        inet_pton(AF_INET6, address.host().c_str(), &socket_address->sin6_addr);
        m_flags = MHD_USE_IPv6;
        return;
    }
    auto* socket_address = reinterpret_cast<sockaddr_in*>(&m_storage);
    socket_address->sin_family = AF_INET;
    socket_address->sin_port = htons(address.port());
    inet_pton(AF_INET, address.host().c_str(), &socket_address->sin_addr);
}

Headers collect_values(MHD_Connection* connection, MHD_ValueKind kind)
{
    struct Collector {
        Headers values;
        bool should_fold;
    } collector {{}, kind != MHD_GET_ARGUMENT_KIND};
    auto const collect = [](void* user, MHD_ValueKind, char const* name, char const* value) {
        auto& target = *static_cast<Collector*>(user);
        auto key = target.should_fold ? Core::to_lower(name) : std::string(name);
        target.values[std::move(key)] = value == nullptr ? "" : value;
        return MHD_YES;
    };
    MHD_get_connection_values(connection, kind, collect, &collector);
    return std::move(collector.values);
}

std::uint16_t listening_port(MHD_Daemon* daemon)
{
    auto const* info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? 0 : info->port;
}

}
