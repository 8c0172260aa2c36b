#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace GraniteField::Gateway {

/// A received datagram. Its bytes are valid until the next read.
struct ReceivedDatagram {
    std::string_view bytes;
    /// `address:port`.
    std::string sender;
    /// Time that it spent in the socket's buffer.
    Core::Milliseconds waited {0};
};

/// Reads datagrams with the kernel's timestamps of their arrival. A process that waits for a processor reads datagrams
/// late, after their content has aged.
class DatagramReader {
public:
    /// Enables timestamps for the socket. Logs a failure; datagrams then count as read on arrival.
    static void enable_arrival_times(int socket);

    /// Returns the next datagram of a non-blocking socket, or nullopt if there is none.
    [[nodiscard]] std::optional<ReceivedDatagram> read(int socket);

private:
    std::array<char, 64U << 10U> m_buffer {};
};

}
