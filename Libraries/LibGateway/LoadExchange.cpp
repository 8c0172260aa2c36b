#include <LibGateway/LoadExchange.h>

#include <LibProtocol/ProtocolVersion.h>

#include <algorithm>

#include <boost/asio/ip/address.hpp>

namespace GraniteField::Gateway {

namespace {

/// Placements that one datagram tells of, so that it stays in one packet or few.
constexpr std::size_t s_most_placements = 40;
constexpr std::size_t s_most_waiting_placements = 400;
/// A datagram may be lost, so each placement is told at least this often.
constexpr std::size_t s_least_tells = 2;
/// Turns without a word after which a gateway is taken as gone.
constexpr std::size_t s_turns_remembered = 3;

}

LoadExchange::LoadExchange(boost::asio::io_context& loop, std::optional<Core::Address> const& address,
    BackendFleet& fleet, Entry::SharedMembership const& membership, Observe::MetricRegistry& metrics)
    : m_fleet(fleet)
    , m_membership(membership)
    , m_bytes_out(metrics.counter("granitefield_load_bytes_total"))
    , m_self(Core::draw_incarnation().value())
    , m_socket(loop)
    , m_timer(loop)
{
    if (!address)
        return;
    Udp::endpoint const endpoint(boost::asio::ip::make_address(address->host()), address->port());
    m_socket.open(endpoint.protocol());
    m_socket.bind(endpoint);
    m_socket.non_blocking(true);
    receive();
    schedule();
}

void LoadExchange::note_placement(BackendView const& server, std::span<PromptPart const> parts)
{
    if (!m_socket.is_open() || parts.empty())
        return;
    auto const turn = intervals_of_a_turn(m_membership.other_entries);
    PendingPlacement pending {{}, std::max(s_least_tells, turn)};
    pending.placement.set_server(server.id());
    for (auto const& part : parts) {
        pending.placement.add_chains(part.chain);
        pending.placement.add_tokens(part.tokens);
    }
    m_placements.push_back(std::move(pending));
    if (m_placements.size() > s_most_waiting_placements)
        m_placements.pop_front();
}

void LoadExchange::schedule()
{
    m_timer.expires_after(s_interval);
    m_timer.async_wait([this](auto const& error) {
        if (error)
            return;
        auto const now = Core::monotonic_now();
        forget_silent(now);
        send_if_due(now);
        schedule();
    });
}

void LoadExchange::send_if_due(Core::MonotonicTime now)
{
    Datagram datagram;
    datagram.set_protocol_version(Protocol::s_protocol_version);
    datagram.set_sender(m_self);
    for (auto const& [instance, view] : m_fleet.all()) {
        auto const& own = view->own_load();
        if (own.open == 0)
            continue;
        auto& load = *datagram.add_servers();
        load.set_server(view->id());
        load.set_open(own.open);
        load.set_unread_tokens(static_cast<std::uint32_t>(own.unread_tokens));
        load.set_pause_sensitive(own.pause_sensitive);
    }
    auto const count = std::min(m_placements.size(), s_most_placements);
    for (std::size_t index = 0; index < count; ++index)
        *datagram.add_placements() = m_placements[index].placement;
    auto const addresses = m_membership.load_addresses();
    auto bytes = datagram.SerializeAsString();
    bool const is_due = datagram.servers_size() > 0 && Core::elapsed(m_last_news, now) >= s_quiet_interval;
    if (bytes != m_last_state || is_due) {
        m_untold = addresses.size();
        m_last_news = now;
    }
    if (m_untold == 0)
        return;
    send_to_next(bytes, addresses);
    drop_told_placements(count);
    m_last_state = std::move(bytes);
}

std::size_t LoadExchange::intervals_of_a_turn(std::size_t gateways)
{
    return (gateways + s_most_datagrams - 1) / s_most_datagrams;
}

void LoadExchange::drop_told_placements(std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        auto pending = std::move(m_placements.front());
        m_placements.pop_front();
        if (--pending.tells_left > 0)
            m_placements.push_back(std::move(pending));
    }
}

void LoadExchange::send_to_next(std::string const& bytes, std::vector<std::string> const& addresses)
{
    m_untold = std::min(m_untold, addresses.size());
    for (std::size_t sent = 0; sent < s_most_datagrams && m_untold > 0; ++sent) {
        --m_untold;
        auto const address = Core::Address::from_string(addresses[m_next_receiver++ % addresses.size()]);
        if (!address)
            continue;
        boost::system::error_code ignored;
        Udp::endpoint const endpoint(boost::asio::ip::make_address(address->host()), address->port());
        m_bytes_out.add(m_socket.send_to(boost::asio::buffer(bytes), endpoint, 0, ignored));
    }
}

void LoadExchange::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_sender, [this](boost::system::error_code const& error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted)
                return;
            Datagram datagram;
            bool const is_readable = !error && datagram.ParseFromArray(m_buffer.data(), static_cast<int>(size))
                && datagram.protocol_version() == Protocol::s_protocol_version;
            if (is_readable)
                take(datagram);
            receive();
        });
}

void LoadExchange::withdraw(PeerLoad& peer)
{
    for (auto const& reported : peer.loads)
        reported.server->remove_others(reported.load);
    peer.loads.clear();
}

void LoadExchange::take(Datagram const& datagram)
{
    if (datagram.sender() == m_self)
        return;
    auto& peer = m_peers[datagram.sender()];
    withdraw(peer);
    peer.heard = Core::monotonic_now();
    for (auto const& message : datagram.servers()) {
        auto server = m_fleet.find(message.server());
        if (!server)
            continue;
        ServerLoad const load {message.open(), message.unread_tokens(), message.pause_sensitive()};
        server->add_others(load);
        peer.loads.push_back({std::move(server), load});
    }
    for (auto const& placement : datagram.placements()) {
        auto const server = m_fleet.find(placement.server());
        if (!server || placement.chains_size() != placement.tokens_size())
            continue;
        std::vector<PromptPart> parts;
        for (int index = 0; index < placement.chains_size(); ++index)
            parts.push_back({placement.chains(index), placement.tokens(index)});
        server->prefixes().note_read(parts);
    }
}

void LoadExchange::forget_silent(Core::MonotonicTime now)
{
    auto const turn = s_interval * intervals_of_a_turn(m_membership.other_entries);
    auto const memory = std::max(s_memory, Core::Milliseconds(turn * s_turns_remembered));
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (Core::elapsed(peer->second.heard, now) <= memory) {
            ++peer;
            continue;
        }
        withdraw(peer->second);
        peer = m_peers.erase(peer);
    }
}

}
