#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace GraniteField::Core {

/// An IPv4 or bracketed IPv6 number with a TCP port. Names are not resolved anywhere in the system.
class Address {
public:
    Address() = default;

    /// Reads `127.0.0.1:80` or `[::1]:80`. Port 0 stands for one that the kernel chooses.
    [[nodiscard]] static std::optional<Address> from_string(std::string_view);

    [[nodiscard]] std::string const& host() const { return m_host; }
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] bool is_ipv6() const { return m_is_ipv6; }

    /// As from_string() reads it.
    [[nodiscard]] std::string to_string() const;
    /// The endpoint in ZeroMQ's form, `tcp://127.0.0.1:80`.
    [[nodiscard]] std::string to_endpoint() const { return "tcp://" + to_string(); }

    bool operator==(Address const&) const = default;

private:
    std::string m_host;
    std::uint16_t m_port {0};
    bool m_is_ipv6 {false};
};

}
