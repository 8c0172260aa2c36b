#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace GraniteField::Gateway {

/// A datagram that has been read. Its bytes hold until the next one is read.
struct ReceivedDatagram {
    std::string_view bytes;
    /// `address:port`.
    std::string sender;
    /// How long it waited in the socket's buffer.
    Core::Milliseconds waited {0};
};

/// Reads the datagrams of a socket with the kernel's timestamps of their arrival. A process that waits for a processor
/// reads them late, and their content has aged meanwhile.
class DatagramReader {
public:
    /// Enables timestamps for the socket. Logs a failure; datagrams then count as read on arrival.
    static void enable_arrival_times(int socket);

    /// The next datagram of a socket that does not block, or nullopt if there is none.
    [[nodiscard]] std::optional<ReceivedDatagram> read(int socket);

private:
    std::array<char, 64U << 10U> m_buffer {};
};

}
