#include "FaultProxy.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace GraniteField::Testing {

namespace {

constexpr int s_backlog = 256;
constexpr int s_poll_milliseconds = 20;
constexpr int s_rated_poll_milliseconds = 2;
/// A rate that was not used is saved up for so many seconds.
constexpr double s_longest_saving = 0.01;
/// A direction that holds this much reads no more until some of it is written.
constexpr std::size_t s_largest_chunk_count = 1024;

sockaddr_in socket_address(Core::Address const& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port());
    inet_pton(AF_INET, address.host().c_str(), &result.sin_addr);
    return result;
}

void set_options(int descriptor)
{
    int const one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
}

}

FaultProxy::FaultProxy(Core::Address target)
    : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_target(std::move(target))
{
    auto address = socket_address(*Core::Address::from_string("127.0.0.1:0"));
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
        || ::listen(m_listener, s_backlog) != 0)
        throw std::system_error(errno, std::generic_category(), "fault proxy");
    socklen_t size = sizeof address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    ::fcntl(m_listener, F_SETFL, O_NONBLOCK);
    m_thread = std::thread([this] { run(); });
}

FaultProxy::~FaultProxy()
{
    m_should_stop = true;
    m_wake.signal();
    m_thread.join();
    for (auto& pair : m_pairs)
        close_pair(pair, false);
    ::close(m_listener);
}

void FaultProxy::set_mode(Mode mode)
{
    std::lock_guard const lock(m_mutex);
    m_mode = mode;
    m_wake.signal();
}

void FaultProxy::set_target(Core::Address target)
{
    std::lock_guard const lock(m_mutex);
    m_target = std::move(target);
}

void FaultProxy::set_delay(Core::Milliseconds delay)
{
    std::lock_guard const lock(m_mutex);
    m_delay = delay;
}

void FaultProxy::set_rate(std::size_t bytes_per_second)
{
    std::lock_guard const lock(m_mutex);
    m_rate = bytes_per_second;
}

void FaultProxy::count_allowances(Core::MonotonicTime now)
{
    for (auto* allowance : {&m_request_allowance, &m_answer_allowance}) {
        std::chrono::duration<double> const passed = now - std::exchange(allowance->counted, now);
        auto const rate = static_cast<double>(m_rate);
        allowance->bytes = std::min(allowance->bytes + rate * passed.count(), rate * s_longest_saving);
    }
}

void FaultProxy::reset_connections()
{
    std::lock_guard const lock(m_mutex);
    m_should_reset = true;
    m_wake.signal();
}

void FaultProxy::reset_after_answer_bytes(std::size_t count)
{
    std::lock_guard const lock(m_mutex);
    m_reset_after = count;
}

bool FaultProxy::is_frozen(Pair const& pair, Stream const& stream) const
{
    bool const is_request = &stream == &pair.request;
    return m_mode == Mode::Freeze || (m_mode == Mode::FreezeRequests && is_request)
        || (m_mode == Mode::FreezeAnswers && !is_request);
}

void FaultProxy::close_pair(Pair& pair, bool should_reset) const
{
    if (pair.is_dead)
        return;
    pair.is_dead = true;
    for (int const descriptor : {pair.request.from, pair.request.to}) {
        if (should_reset) {
            linger const now {1, 0};
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        ::close(descriptor);
    }
}

void FaultProxy::accept_connection()
{
    int const client = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0)
        return;
    ++m_connection_count;
    int const server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const address = socket_address(m_target);
    bool const is_connected
        = m_mode != Mode::Refuse && ::connect(server, reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0;
    if (!is_connected) {
        ::close(client);
        ::close(server);
        return;
    }
    set_options(client);
    set_options(server);
    auto& pair = m_pairs.emplace_back();
    pair.request.from = client;
    pair.request.to = server;
    pair.answer.from = server;
    pair.answer.to = client;
}

void FaultProxy::read_from(Stream& stream, Pair& pair, Core::MonotonicTime now)
{
    std::array<char, 65536> buffer {};
    if (stream.has_ended || stream.chunks.size() >= s_largest_chunk_count)
        return;
    auto const got = ::recv(stream.from, buffer.data(), buffer.size(), 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (got < 0)
        return close_pair(pair, true);
    if (got == 0) {
        stream.has_ended = true;
        return;
    }
    stream.chunks.push_back({now + m_delay, std::string(buffer.data(), static_cast<std::size_t>(got))});
    stream.total += static_cast<std::size_t>(got);
    bool const should_reset = m_reset_after != 0 && &stream == &pair.answer && stream.total >= m_reset_after;
    if (should_reset)
        close_pair(pair, true);
}

void FaultProxy::write_to(Stream& stream, Pair& pair, Core::MonotonicTime now)
{
    auto& allowance = &stream == &pair.request ? m_request_allowance : m_answer_allowance;
    while (!stream.chunks.empty() && stream.chunks.front().due <= now) {
        auto& bytes = stream.chunks.front().bytes;
        auto const allowed = m_rate == 0 ? bytes.size() : static_cast<std::size_t>(std::max(0.0, allowance.bytes));
        if (allowed == 0)
            return;
        auto const sent = ::send(stream.to, bytes.data(), std::min(bytes.size(), allowed), MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (sent < 0)
            return close_pair(pair, true);
        allowance.bytes -= m_rate == 0 ? 0 : static_cast<double>(sent);
        bytes.erase(0, static_cast<std::size_t>(sent));
        if (bytes.empty())
            stream.chunks.pop_front();
    }
    if (stream.has_ended && stream.chunks.empty() && !stream.has_sent_end) {
        stream.has_sent_end = true;
        ::shutdown(stream.to, SHUT_WR);
    }
}

void FaultProxy::run()
{
    while (!m_should_stop) {
        std::vector<pollfd> descriptors {{m_listener, POLLIN, 0}, {m_wake.descriptor(), POLLIN, 0}};
        int timeout = s_poll_milliseconds;
        {
            std::lock_guard const lock(m_mutex);
            for (auto const& pair : m_pairs) {
                for (auto const* stream : {&pair.request, &pair.answer}) {
                    if (!is_frozen(pair, *stream) && !stream->has_ended
                        && stream->chunks.size() < s_largest_chunk_count)
                        descriptors.push_back({stream->from, POLLIN, 0});
                    if (!stream->chunks.empty() && m_delay.count() > 0)
                        timeout = 1;
                    else if (!stream->chunks.empty() && m_rate > 0 && !is_frozen(pair, *stream))
                        timeout = std::min(timeout, s_rated_poll_milliseconds);
                    else if (!stream->chunks.empty() && !is_frozen(pair, *stream))
                        descriptors.push_back({stream->to, POLLOUT, 0});
                }
            }
        }
        ::poll(descriptors.data(), descriptors.size(), timeout);
        m_wake.drain();
        std::lock_guard const lock(m_mutex);
        auto const now = Core::monotonic_now();
        count_allowances(now);
        if (m_should_reset) {
            for (auto& pair : m_pairs)
                close_pair(pair, true);
            m_should_reset = false;
        }
        if ((descriptors[0].revents & POLLIN) != 0)
            accept_connection();
        for (auto& pair : m_pairs) {
            for (auto* stream : {&pair.request, &pair.answer}) {
                if (pair.is_dead || is_frozen(pair, *stream))
                    continue;
                read_from(*stream, pair, now);
                if (!pair.is_dead)
                    write_to(*stream, pair, now);
            }
            if (!pair.is_dead && pair.request.has_sent_end && pair.answer.has_sent_end)
                close_pair(pair, false);
        }
        m_pairs.remove_if([](auto const& pair) { return pair.is_dead; });
    }
}

}
