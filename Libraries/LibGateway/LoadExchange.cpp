#include <LibGateway/LoadExchange.h>

#include <LibCore/Identifiers.h>
#include <LibCore/Text.h>

#include <boost/asio/ip/address.hpp>

namespace GraniteField::Gateway {

namespace {

/// Bounds the delay of other work on the gateway's thread.
constexpr int s_max_datagrams_per_read = 256;

std::string to_string(boost::asio::ip::udp::endpoint const& endpoint)
{
    return Core::concat(endpoint.address().to_string(), ":", endpoint.port());
}

}

LoadExchange::LoadExchange(boost::asio::io_context& loop, std::optional<Core::Address> const& address,
    BackendFleet& fleet, CrashSharing crashes, DutySharing* duties, Entry::SharedMembership const& membership,
    Entry::WatchDuty& duty, Observe::EventLog& log, Observe::MetricRegistry& metrics, DemandSharing* demand,
    StreamOriginSharing* streams, Core::ListenRetry const& retry)
    : m_membership(membership)
    , m_duty(duty)
    , m_log(log)
    , m_bytes_out(metrics.counter("granitefield_load_bytes_total"))
    , m_rejected(metrics.counter("granitefield_load_datagrams_rejected_total"))
    , m_relaying(metrics.gauge("granitefield_load_relay"))
    , m_sharing(Core::draw_incarnation().value(), fleet, crashes, duties, Core::monotonic_now(), demand, streams)
    , m_socket(loop)
    , m_timer(loop)
{
    if (!address) {
        m_sharing.set_members({});
        return;
    }
    Udp::endpoint const endpoint(boost::asio::ip::make_address(address->host()), address->port());
    m_socket = retry.listen(*address, [&] { return Udp::socket(loop, endpoint); });
    m_socket.non_blocking(true);
    DatagramReader::enable_arrival_times(m_socket.native_handle());
    wait_for_datagrams();
    schedule();
}

void LoadExchange::note_placement(
    BackendView const& server, std::span<PromptPart const> parts, std::uint32_t own_tokens)
{
    if_open([&] { m_sharing.note_placement(server, parts, own_tokens); });
}

void LoadExchange::send_stream_messages()
{
    if_open([&] {
        for (auto const& outgoing : m_sharing.take_stream_messages())
            send(outgoing);
    });
}

std::string LoadExchange::address() const
{
    return m_socket.is_open() ? to_string(m_socket.local_endpoint()) : std::string();
}

void LoadExchange::schedule()
{
    using WatchesStore = LoadSharing::WatchesStore;
    m_timer.expires_after(m_sharing.interval(m_duty.follows_store() ? WatchesStore::Yes : WatchesStore::No));
    m_timer.async_wait([this](auto const& error) {
        if (error)
            return;
        tick(Core::monotonic_now());
        schedule();
    });
}

void LoadExchange::tick(Core::MonotonicTime now)
{
    // Waiting datagrams must be read before silent peers are detected.
    read_pending();
    wait_for_datagrams();
    auto members = m_membership.load_members();
    if (members != nullptr && members != m_members) {
        m_sharing.set_members(*members);
        m_members = std::move(members);
        m_endpoints.clear();
    }
    using PeerDiscovery = Entry::WatchElection::PeerDiscovery;
    if (m_sharing.is_joining(now))
        m_duty.note_joining(m_membership.has_found_peers ? PeerDiscovery::Found : PeerDiscovery::NotFound, now);
    m_duty.note_report(m_sharing.take_store_report(), now);
    m_sharing.set_store_report(m_duty.report(now));
    auto const own_clock = std::chrono::floor<Core::Milliseconds>(std::chrono::system_clock::now());
    for (auto const& outgoing : m_sharing.tick(own_clock, now))
        send(outgoing);
    log_relay_change();
}

void LoadExchange::log_relay_change()
{
    if (m_sharing.is_relay() == m_logged_is_relay && m_sharing.relay() == m_logged_relay)
        return;
    m_logged_is_relay = m_sharing.is_relay();
    m_logged_relay = m_sharing.relay();
    m_relaying.set(m_logged_is_relay ? 1 : 0);
    m_log.write(Observe::LogEvent("load-relay").add("relays", m_logged_is_relay).add("reports_to", m_logged_relay));
}

void LoadExchange::send(OutgoingDatagram const& outgoing)
{
    boost::system::error_code ignored;
    m_bytes_out.add(m_socket.send_to(boost::asio::buffer(*outgoing.bytes), endpoint_of(outgoing.address), 0, ignored));
}

LoadExchange::Udp::endpoint const& LoadExchange::endpoint_of(std::string const& text)
{
    auto const found = m_endpoints.find(text);
    if (found != m_endpoints.end())
        return found->second;
    Udp::endpoint endpoint;
    if (auto const address = Core::Address::from_string(text))
        endpoint = {boost::asio::ip::make_address(address->host()), address->port()};
    return m_endpoints.emplace(text, endpoint).first->second;
}

void LoadExchange::wait_for_datagrams()
{
    // A process that runs late reads datagrams at its ticks only, which saves a wake-up for each.
    if (m_is_waiting || m_sharing.is_slow())
        return;
    m_is_waiting = true;
    m_socket.async_wait(Udp::socket::wait_read, [this](boost::system::error_code const& error) {
        m_is_waiting = false;
        if (error == boost::asio::error::operation_aborted)
            return;
        read_pending();
        wait_for_datagrams();
    });
}

void LoadExchange::read_pending()
{
    for (int count = 0; count < s_max_datagrams_per_read; ++count) {
        auto const datagram = m_reader.read(m_socket.native_handle());
        if (!datagram)
            return;
        handle(*datagram);
    }
}

void LoadExchange::handle(ReceivedDatagram const& received)
{
    bool const is_accepted = m_datagram.ParseFromArray(received.bytes.data(), static_cast<int>(received.bytes.size()))
        && m_sharing.receive(m_datagram, received.sender, Core::monotonic_now(), received.waited);
    if (!is_accepted)
        return m_rejected.add();
    send_stream_messages();
}

}
