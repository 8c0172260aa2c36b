#pragma once

#include <LibCore/Address.h>
#include <LibHTTP/HttpClient.h>

#include <cstdint>
#include <string>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

namespace GraniteField::HTTP {

/// The socket address that libmicrohttpd binds to, with the storage that it points into.
class BindAddress {
public:
    explicit BindAddress(Core::Address const&);

    [[nodiscard]] sockaddr const* socket_address() const { return reinterpret_cast<sockaddr const*>(&m_storage); }
    /// MHD_USE_IPv6 or no flag.
    [[nodiscard]] unsigned flags() const { return m_flags; }

private:
    sockaddr_storage m_storage {};
    unsigned m_flags {0};
};

/// All headers or query values of a connection, names in lower case for headers.
[[nodiscard]] Headers collect_values(MHD_Connection*, MHD_ValueKind);

/// The port that the daemon listens on.
[[nodiscard]] std::uint16_t listening_port(MHD_Daemon*);

}
