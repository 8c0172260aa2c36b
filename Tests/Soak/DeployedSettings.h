#pragma once

#include "GatewayFleet.h"
#include "SettingsTemplate.h"

#include <LibCore/Address.h>
#include <LibCore/Text.h>

#include <cstdint>
#include <string>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace GraniteField::Testing {

[[nodiscard]] inline std::string local_text(std::uint16_t port)
{
    return Core::concat("127.0.0.1:", port);
}

[[nodiscard]] inline Core::Address local_address(std::uint16_t port)
{
    return *Core::Address::from_string(local_text(port));
}

[[nodiscard]] inline std::uint16_t free_udp_port()
{
    int const probe = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    static_cast<void>(::bind(probe, reinterpret_cast<sockaddr*>(&address), size));
    ::getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(probe);
    return ntohs(address.sin_port);
}

/// A host of this machine on which a gateway runs as it is deployed.
struct DeployedHost {
    std::string name;
    std::string failure_domain;
    std::uint16_t load_port {0};
    std::uint16_t store_port {0};
    /// Addresses of peers, as text.
    Json seeds;
    Json bounds;
    /// Share of a core; 0 for no limit.
    double processor_share {0};
};

/// Returns the settings that the deployed template gives a gateway on that host.
[[nodiscard]] inline Json deployed_settings(DeployedHost const& host)
{
    Json fields {{"node", host.name}, {"zone", host.failure_domain}, {"region", "region"}, {"ip", "127.0.0.1"},
        {"port_range", {0, host.load_port}}, {"bounds", host.bounds},
        {"listen", {{"front", local_text(0)}, {"ready", local_text(0)}, {"control", local_text(0)}}},
        {"platform", {{"addr", local_text(host.store_port)}}}, {"seeds", host.seeds}};
    if (host.processor_share > 0)
        fields["limits"]["cpu_share"] = host.processor_share;
    return Json::parse(fill_template(gateway_template(), fields));
}

}
