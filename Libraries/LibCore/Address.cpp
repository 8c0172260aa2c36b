#include <LibCore/Address.h>

#include <array>
#include <charconv>

#include <arpa/inet.h>

namespace GraniteField::Core {

static std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    auto const* end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, port);
    if (text.empty() || result.ec != std::errc {} || result.ptr != end)
        return std::nullopt;
    return port;
}

std::optional<Address> Address::from_string(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    auto const port = parse_port(text.substr(colon + 1));
    if (!port)
        return std::nullopt;

    Address address;
    address.m_is_ipv6 = host.starts_with('[') && host.ends_with(']');
    if (address.m_is_ipv6)
        host = host.substr(1, host.size() - 2);
    address.m_host = std::string(host);
    address.m_port = *port;

    std::array<unsigned char, sizeof(in6_addr)> number {};
    int const family = address.m_is_ipv6 ? AF_INET6 : AF_INET;
    if (::inet_pton(family, address.m_host.c_str(), number.data()) != 1)
        return std::nullopt;
    return address;
}

std::string Address::to_string() const
{
    auto const host = m_is_ipv6 ? "[" + m_host + "]" : m_host;
    return host + ":" + std::to_string(m_port);
}

}
