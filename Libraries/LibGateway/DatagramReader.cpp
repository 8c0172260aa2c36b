#include <LibGateway/DatagramReader.h>

#include <LibCore/Text.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <ctime>

#include <arpa/inet.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace GraniteField::Gateway {

namespace {

std::string to_text(sockaddr_storage const& address)
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (address.ss_family == AF_INET6) {
        auto const& sender = reinterpret_cast<sockaddr_in6 const&>(address);
        inet_ntop(AF_INET6, &sender.sin6_addr, text.data(), text.size());
        return Core::concat(text.data(), ":", ntohs(sender.sin6_port));
    }
    auto const& sender = reinterpret_cast<sockaddr_in const&>(address);
    inet_ntop(AF_INET, &sender.sin_addr, text.data(), text.size());
    return Core::concat(text.data(), ":", ntohs(sender.sin_port));
}

/// Time since a timestamp of the kernel; zero if the wall clock has been set back.
Core::Milliseconds time_since(timespec const& arrived)
{
    auto const arrival = std::chrono::seconds(arrived.tv_sec) + std::chrono::nanoseconds(arrived.tv_nsec);
    auto const passed = std::chrono::system_clock::now().time_since_epoch() - arrival;
    return std::max(Core::Milliseconds(0), std::chrono::duration_cast<Core::Milliseconds>(passed));
}

Core::Milliseconds waited(msghdr& message)
{
    for (auto* header = CMSG_FIRSTHDR(&message); header != nullptr; header = CMSG_NXTHDR(&message, header)) {
        if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_TIMESTAMPNS)
            continue;
        timespec arrived {};
        std::memcpy(&arrived, CMSG_DATA(header), sizeof(arrived));
        return time_since(arrived);
    }
    return Core::Milliseconds(0);
}

}

void DatagramReader::enable_arrival_times(int socket)
{
    int const is_enabled = 1;
    if (::setsockopt(socket, SOL_SOCKET, SO_TIMESTAMPNS, &is_enabled, sizeof(is_enabled)) != 0)
        PLOG(WARNING) << "loads: failed to enable timestamps of arrival";
}

std::optional<ReceivedDatagram> DatagramReader::read(int socket)
{
    sockaddr_storage sender {};
    iovec buffer {m_buffer.data(), m_buffer.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(timespec))> control {};
    msghdr message {};
    message.msg_name = &sender;
    message.msg_namelen = sizeof(sender);
    message.msg_iov = &buffer;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    auto size = ::recvmsg(socket, &message, 0);
    while (size < 0 && errno == EINTR)
        size = ::recvmsg(socket, &message, 0);
    if (size < 0)
        return std::nullopt;
    return ReceivedDatagram {{m_buffer.data(), static_cast<std::size_t>(size)}, to_text(sender), waited(message)};
}

}
