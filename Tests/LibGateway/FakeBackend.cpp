#include "FakeBackend.h"

#include <LibCore/Text.h>
#include <LibHTTP/AnswerParser.h>
#include <LibHTTP/RequestParser.h>

#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/str_format.h>

namespace GraniteField::Testing {

namespace {

constexpr int s_timeout_ms = 10'000;
constexpr std::size_t s_buffer_size = 64U << 10U;
constexpr int s_small_receive_buffer = 4U << 10U;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Listens on this port, or on one chosen by the kernel if it is 0. `receive_buffer` is the size of the receive buffer
/// of accepted connections in bytes; 0 for the default.
int listen_on_loopback(int backlog, std::uint16_t& port, int receive_buffer = 0)
{
    int const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const yes = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    if (receive_buffer > 0)
        ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    auto address = loopback(port);
    socklen_t size = sizeof(address);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(listener, backlog) != 0)
        throw std::runtime_error("can't listen");
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return listener;
}

void write_all(int descriptor, std::string_view text)
{
    while (!text.empty()) {
        auto const count = ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return;
        text.remove_prefix(static_cast<std::size_t>(count));
    }
}

/// Appends received bytes; false at the end of the connection or at the timeout.
bool read_some(int descriptor, std::string& target, int timeout_ms = s_timeout_ms)
{
    pollfd item {descriptor, POLLIN, 0};
    if (::poll(&item, 1, timeout_ms) <= 0)
        return false;
    std::array<char, s_buffer_size> buffer {};
    auto const count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0)
        return false;
    target.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

Entry::ServerEntry entry_at(std::string instance, std::string service, std::uint16_t port)
{
    Entry::ServerEntry entry;
    entry.instance = std::move(instance);
    entry.service = std::move(service);
    entry.address = *Core::Address::from_string(Core::concat("127.0.0.1:", port));
    entry.failure_domain = "here";
    entry.slots = 8;
    return entry;
}

}

FakeConnection::~FakeConnection()
{
    // The owner closes the descriptor after removing it from its list.
    ::shutdown(m_descriptor, SHUT_RDWR);
}

std::optional<std::string> FakeConnection::read_request()
{
    std::string request;
    HTTP::RequestParser parser({1U << 20U, 16U << 20U});
    while (true) {
        auto const consumed = parser.add(m_input);
        request.append(m_input, 0, consumed);
        m_input.erase(0, consumed);
        if (parser.is_complete())
            return request;
        if (!read_some(m_descriptor, m_input))
            return std::nullopt;
    }
}

std::optional<std::string> FakeConnection::read_head()
{
    static constexpr std::string_view s_head_end = "\r\n\r\n";
    auto end = m_input.find(s_head_end);
    for (; end == std::string::npos; end = m_input.find(s_head_end)) {
        if (!read_some(m_descriptor, m_input))
            return std::nullopt;
    }
    auto const size = end + s_head_end.size();
    auto head = m_input.substr(0, size);
    m_input.erase(0, size);
    return head;
}

void FakeConnection::write(std::string_view text) const
{
    write_all(m_descriptor, text);
}

void FakeConnection::finish_writing() const
{
    ::shutdown(m_descriptor, SHUT_WR);
}

bool FakeConnection::wait_until_closed(Core::Milliseconds timeout) const
{
    auto const end = Core::monotonic_now() + timeout;
    std::string rest;
    while (Core::monotonic_now() < end) {
        auto const left = Core::elapsed(Core::monotonic_now(), end).count();
        pollfd item {m_descriptor, POLLIN, 0};
        if (::poll(&item, 1, static_cast<int>(left)) <= 0)
            return false;
        if (!read_some(m_descriptor, rest, 0))
            return true;
    }
    return false;
}

void FakeConnection::reset()
{
    linger const option {1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    // Connecting to an unspecified address drops the connection, and the peer receives a reset.
    sockaddr unspecified {};
    unspecified.sa_family = AF_UNSPEC;
    static_cast<void>(::connect(m_descriptor, &unspecified, sizeof(unspecified)));
}

FakeBackend::FakeBackend(std::string instance, Script script, Reading reading)
    : m_instance(std::move(instance))
    , m_script(std::move(script))
    , m_reading(reading)
{
    start_accepting(0);
}

void FakeBackend::start_accepting(std::uint16_t port)
{
    m_port = port;
    m_listener = listen_on_loopback(64, m_port, m_reading == Reading::HeadOnly ? s_small_receive_buffer : 0);
    m_acceptor = std::thread([this] { accept_connections(); });
}

void FakeBackend::crash()
{
    std::lock_guard const lock(m_mutex);
    if (m_crashed)
        return;
    m_crashed = Core::monotonic_now();
    ::shutdown(m_listener, SHUT_RDWR);
    for (int const descriptor : m_open)
        ::shutdown(descriptor, SHUT_RDWR);
}

std::optional<Core::MonotonicTime> FakeBackend::crashed() const
{
    std::lock_guard const lock(m_mutex);
    return m_crashed;
}

void FakeBackend::restart()
{
    m_acceptor.join();
    ::close(m_listener);
    start_accepting(m_port);
    std::lock_guard const lock(m_mutex);
    m_crashed.reset();
}

FakeBackend::~FakeBackend()
{
    {
        std::lock_guard const lock(m_mutex);
        m_should_stop = true;
        for (int const descriptor : m_open)
            ::shutdown(descriptor, SHUT_RDWR);
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    for (auto& thread : m_threads)
        thread.join();
    ::close(m_listener);
}

void FakeBackend::accept_connections()
{
    for (std::size_t index = 0;; ++index) {
        int const descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        std::lock_guard const lock(m_mutex);
        if (descriptor < 0 || m_should_stop || m_crashed) {
            if (descriptor >= 0)
                ::close(descriptor);
            return;
        }
        m_open.push_back(descriptor);
        join_finished_threads();
        auto const thread = m_threads.emplace(m_threads.end());
        *thread = std::thread([this, descriptor, index, thread] {
            {
                FakeConnection connection(descriptor);
                bool const reads_head_only = m_reading == Reading::HeadOnly;
                if (auto const request = reads_head_only ? connection.read_head() : connection.read_request()) {
                    {
                        std::lock_guard const request_lock(m_mutex);
                        m_requests.push_back(*request);
                    }
                    m_script(connection, *request, index);
                }
            }
            std::lock_guard const close_lock(m_mutex);
            m_open.remove(descriptor);
            ::close(descriptor);
            m_finished.push_back(thread);
        });
    }
}

void FakeBackend::join_finished_threads()
{
    for (auto const thread : m_finished) {
        thread->join();
        m_threads.erase(thread);
    }
    m_finished.clear();
}

Entry::ServerEntry FakeBackend::entry(std::string service) const
{
    return entry_at(m_instance, std::move(service), m_port);
}

std::vector<std::string> FakeBackend::requests() const
{
    std::lock_guard const lock(m_mutex);
    return m_requests;
}

FullListener::FullListener()
    : m_listener(listen_on_loopback(0, m_port))
{
    // The kernel accepts one connection more than the backlog; these fill it.
    for (int number = 0; number < 3; ++number) {
        int const filler = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        auto const address = loopback(m_port);
        static_cast<void>(::connect(filler, reinterpret_cast<sockaddr const*>(&address), sizeof(address)));
        m_fillers.push_back(filler);
    }
}

void FullListener::make_room()
{
    for (int const filler : m_fillers)
        ::close(filler);
    m_fillers.clear();
    pollfd established {m_listener, POLLIN, 0};
    while (::poll(&established, 1, 0) == 1)
        ::close(::accept(m_listener, nullptr, nullptr));
}

std::optional<std::string> FullListener::next_received(Core::Milliseconds timeout) const
{
    pollfd next {m_listener, POLLIN, 0};
    if (::poll(&next, 1, static_cast<int>(timeout.count())) != 1)
        return std::nullopt;
    int const connection = ::accept(m_listener, nullptr, nullptr);
    std::string received;
    std::array<char, 4'096> buffer {};
    for (ssize_t count = 0; (count = ::recv(connection, buffer.data(), buffer.size(), 0)) > 0;)
        received.append(buffer.data(), static_cast<std::size_t>(count));
    ::close(connection);
    return received;
}

FullListener::~FullListener()
{
    for (int const filler : m_fillers)
        ::close(filler);
    ::close(m_listener);
}

Entry::ServerEntry FullListener::entry(std::string instance) const
{
    return entry_at(std::move(instance), "svc", m_port);
}

std::optional<std::string> field_of(std::string_view request, std::string_view name)
{
    auto const head = request.substr(0, request.find("\r\n\r\n"));
    for (std::size_t start = head.find("\r\n"); start != std::string_view::npos;) {
        start += 2;
        auto const end = head.find("\r\n", start);
        auto const line = head.substr(start, end == std::string_view::npos ? end : end - start);
        auto const colon = line.find(':');
        if (colon != std::string_view::npos && HTTP::is_same_name(line.substr(0, colon), name))
            return Core::trim(line.substr(colon + 1));
        start = end;
    }
    return std::nullopt;
}

std::string body_of(std::string_view message)
{
    auto const end = message.find("\r\n\r\n");
    return end == std::string_view::npos ? "" : std::string(message.substr(end + 4));
}

std::string answer_to(std::string const& request, int status, std::string const& body)
{
    return Core::concat("HTTP/1.1 ", status,
        " X\r\nGranitefield-Request: ", field_of(request, "Granitefield-Request").value_or(""),
        "\r\nGranitefield-Answer: sig-1\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

std::string open_head_to(std::string const& request)
{
    return Core::concat("HTTP/1.1 200 OK\r\nGranitefield-Request: ",
        field_of(request, "Granitefield-Request").value_or(""), "\r\nGranitefield-Answer: sig-1\r\n\r\n");
}

std::string stream_head_to(std::string const& request)
{
    return Core::concat(
        "HTTP/1.1 200 OK\r\nGranitefield-Request: ", field_of(request, "Granitefield-Request").value_or(""),
        "\r\nGranitefield-Answer: sig-1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
}

std::string chunk(std::string const& text)
{
    return absl::StrFormat("%x\r\n%s\r\n", text.size(), text);
}

std::string event(unsigned id)
{
    return Core::concat("id: ", id, "\ndata: token-", id, "\n\n");
}

std::size_t write_without_end(FakeConnection& connection, std::string const& block, std::size_t limit)
{
    std::size_t sum = 0;
    while (sum < limit && !connection.wait_until_closed(Core::Milliseconds(1))) {
        connection.write(block);
        sum += block.size();
    }
    return sum;
}

FakeBackend::Script reset_behind_a_part()
{
    return [](auto& connection, auto const&, auto) {
        connection.write("HTTP/1.1 200 OK\r\n\r\npart");
        connection.reset();
    };
}

std::string refusal_to(std::string const& request, int status)
{
    return Core::concat("HTTP/1.1 ", status,
        " X\r\nGranitefield-Request: ", field_of(request, "Granitefield-Request").value_or(""),
        "\r\nGranitefield-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
}

RawCaller::RawCaller(std::uint16_t port, int receive_buffer)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receive_buffer > 0)
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    auto const address = loopback(port);
    if (::connect(m_descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) != 0) {
        close();
        throw std::runtime_error("can't connect");
    }
}

RawCaller::~RawCaller()
{
    close();
}

void RawCaller::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

void RawCaller::write(std::string_view text) const
{
    write_all(m_descriptor, text);
}

bool RawCaller::read_more()
{
    return read_some(m_descriptor, m_input);
}

RawCaller::Answer RawCaller::read_answer()
{
    HTTP::AnswerParser parser(HTTP::BodyRule::Normal);
    Answer answer;
    while (true) {
        auto const consumed = parser.add(m_input);
        if (!parser.has_head() || answer.head.empty()) {
            auto const end = m_input.find("\r\n\r\n");
            if (end != std::string::npos)
                answer.head = m_input.substr(0, end + 4);
        }
        m_input.erase(0, consumed);
        answer.body += parser.take_body();
        if (parser.has_head())
            answer.status = parser.head().status;
        if (parser.is_complete()) {
            answer.is_whole = true;
            return answer;
        }
        if (parser.is_broken() || !read_more())
            return answer;
    }
}

bool RawCaller::read_body_bytes(std::size_t count)
{
    while (body_of(m_input).size() < count) {
        if (!read_more())
            return false;
    }
    return true;
}

bool RawCaller::has_received(std::string_view text)
{
    while (m_input.size() < text.size()) {
        if (!read_more())
            return false;
    }
    return std::string_view(m_input).starts_with(text);
}

bool RawCaller::ends_in_order() const
{
    std::array<char, s_buffer_size> buffer {};
    ssize_t count = 1;
    while (count > 0)
        count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    return count == 0;
}

bool RawCaller::is_closed_by_peer()
{
    pollfd item {m_descriptor, POLLIN, 0};
    while (::poll(&item, 1, s_timeout_ms) > 0) {
        if (!read_some(m_descriptor, m_input, 0))
            return true;
    }
    return false;
}

}
