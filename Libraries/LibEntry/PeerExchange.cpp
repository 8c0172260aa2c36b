#include <LibEntry/PeerExchange.h>

#include <LibCore/Thread.h>
#include <LibEntry/PeerMessages.h>
#include <LibProtocol/Poll.h>
#include <LibProtocol/ProtocolVersion.h>

#include <algorithm>
#include <random>
#include <utility>

#include <glog/logging.h>

namespace GraniteField::Entry {

namespace Message = granitefield::protocol;

namespace {

/// Peers included in a periodic announcement.
constexpr std::size_t s_peers_per_announcement = 8;
/// Peers included in the reply to a gateway that requests members.
constexpr std::size_t s_max_member_reply = 200;
/// Running times at which a new gateway requests members. By the first, the seeds have received the announcements of
/// most gateways that started together; the second covers a lost reply.
constexpr Core::Milliseconds s_first_member_request {400};
constexpr Core::Milliseconds s_last_member_request {1'200};
/// Factor by which a process that runs late increases its announce interval.
constexpr int s_slow_announce_factor = 4;
constexpr int s_announcements_per_peer_timeout = 3;
/// Running time after which a gateway is assumed to know the members of its group.
constexpr Core::Milliseconds s_discovery_time {1'500};
/// Relays of its own group to which a gateway connects.
constexpr std::size_t s_relay_connections = 2;
/// Interval of ZeroMQ heartbeats. Only these detect a connection that broke without being closed.
constexpr Core::Milliseconds s_probe_interval {5'000};
constexpr int s_max_messages_per_tick = 200;
constexpr int s_high_water_mark = 1'000;

std::string bind_endpoint(Core::Address const& address)
{
    return address.port() == 0 ? "tcp://" + address.host() + ":*" : address.to_endpoint();
}

Message::PeerEnvelope make_envelope()
{
    Message::PeerEnvelope envelope;
    envelope.set_protocol_version(Protocol::s_protocol_version);
    return envelope;
}

zmq::message_t to_frame(Message::PeerEnvelope const& envelope)
{
    auto const size = envelope.ByteSizeLong();
    zmq::message_t frame(size);
    envelope.SerializeToArray(frame.data(), static_cast<int>(size));
    return frame;
}

}

PeerExchange::PeerExchange(Settings settings, zmq::context_t& context, SharedTable& table, SharedDrains& drains,
    SharedServers& servers, SharedMembership& membership, Events events, Observe::MetricRegistry& metrics)
    : m_settings(std::move(settings))
    , m_context(context)
    , m_table(table)
    , m_drains(drains)
    , m_servers(servers)
    , m_membership(membership)
    , m_events(std::move(events))
    , m_bytes_in(metrics.counter("granitefield_peer_bytes_total", {{"direction", "in"}}))
    , m_bytes_out(metrics.counter("granitefield_peer_bytes_total", {{"direction", "out"}}))
    , m_rejected_messages(metrics.counter("granitefield_peer_messages_rejected_total"))
    , m_peer_count(metrics.gauge("granitefield_peers"))
    , m_listener(context, zmq::socket_type::router)
    , m_view({m_settings.name, m_settings.group, "", {}, true, ""})
{
    m_listener.set(zmq::sockopt::linger, 0);
    m_listener.set(zmq::sockopt::rcvhwm, s_high_water_mark);
    m_listener.set(zmq::sockopt::sndhwm, s_high_water_mark);
    m_listener.set(zmq::sockopt::maxmsgsize, Protocol::s_largest_message_bytes);
    m_listener.set(zmq::sockopt::ipv6, m_settings.address.is_ipv6());
    auto const endpoint = m_settings.listen.listen(m_settings.address, [this] {
        m_listener.bind(bind_endpoint(m_settings.address));
        return m_listener.get(zmq::sockopt::last_endpoint).substr(std::string_view("tcp://").size());
    });
    auto const bound = Core::Address::from_string(endpoint);
    if (!bound)
        throw std::runtime_error("cannot parse the address that the peer listener is bound to");
    m_port = bound->port();
    auto const advertised = m_settings.advertised_address.value_or(*bound);
    m_view = PeerView({m_settings.name, m_settings.group, advertised.to_string(), {}, true, m_settings.load_address,
        m_settings.processor_permille});
    m_is_seed = std::ranges::all_of(m_settings.seeds, [&](auto const& seed) { return seed == advertised; })
        || std::ranges::find(m_settings.seeds, advertised) != m_settings.seeds.end();
    if (!m_is_seed)
        m_next_member_request = s_first_member_request;
    m_thread = Core::start_thread("peers", [this] { run(); });
}

PeerExchange::~PeerExchange()
{
    m_should_stop = true;
    m_wake.signal();
    m_thread.join();
}

void PeerExchange::set_platform_reachable(bool value)
{
    if (m_is_platform_reachable.exchange(value) != value)
        m_wake.signal();
}

Core::TableVersion PeerExchange::table_version() const
{
    auto const table = m_table.current();
    return table ? table->version() : Core::TableVersion();
}

StateVersions PeerExchange::versions() const
{
    return {table_version(), m_drains.version(), m_servers.settled_revision()};
}

Core::Milliseconds PeerExchange::pull_delay() const
{
    // An entry that has no state yet, or does not follow the platform, pulls from a peer at once.
    bool const has_state = m_table.current() != nullptr && m_servers.settled() != nullptr;
    bool const receives_platform_updates = m_is_platform_reachable && m_events.follows_platform();
    return has_state && receives_platform_updates ? m_settings.pull_delay : Core::Milliseconds(0);
}

void PeerExchange::run()
{
    while (!m_should_stop) {
        wait_for_messages();
        auto const now = Core::monotonic_now();
        m_running.note_tick(now);
        auto const own = versions();
        if (own != std::exchange(m_last_versions, own))
            m_pulls.note_update();
        if (auto table = m_table.current())
            m_history.note(std::move(table));
        if (auto servers = m_servers.settled())
            m_servers_history.note(std::move(servers));
        m_view.set_platform_reachable(m_is_platform_reachable);
        m_view.remove_timed_out(now);
        m_should_watch = m_view.should_watch();
        update_election(now);
        m_membership.is_discovery_complete = is_discovery_complete(now);
        m_membership.peer_count = m_view.count();
        m_membership.has_found_peers = m_view.count() > 0 || is_connected();
        m_peer_count.set(static_cast<std::int64_t>(m_view.count()));
        bool const has_changed = std::exchange(m_applied_generation, m_view.generation()) != m_view.generation();
        if (has_changed)
            m_membership.set_load_members(m_view.load_members());
        if (std::exchange(m_must_connect, false) || has_changed)
            update_connections();
        m_pulls.note_newest_known(m_events.newest_known());
        pull_if_due(now);
        announce_if_due(now);
    }
    m_connections.clear();
}

bool PeerExchange::is_connected() const
{
    // With ZMQ_IMMEDIATE a socket is writable only once its connection is established.
    return std::ranges::any_of(m_connections,
        [](auto const& item) { return (item.second.socket->get(zmq::sockopt::events) & ZMQ_POLLOUT) != 0; });
}

bool PeerExchange::is_discovery_complete(Core::MonotonicTime now) const
{
    return m_running.at(now) >= s_discovery_time;
}

bool PeerExchange::is_member_request_due(Core::MonotonicTime now) const
{
    return m_next_member_request && m_running.at(now) >= *m_next_member_request;
}

void PeerExchange::update_election(Core::MonotonicTime now)
{
    // Before discovery each gateway would elect itself. The seeds start at once, since all others connect to them
    // first.
    m_events.on_election(is_discovery_complete(now) ? m_view.is_elected() : m_is_seed);
}

void PeerExchange::wait_for_messages()
{
    std::vector<zmq::pollitem_t> items {
        {nullptr, m_wake.descriptor(), ZMQ_POLLIN, 0}, {m_listener.handle(), 0, ZMQ_POLLIN, 0}};
    for (auto const& [address, connection] : m_connections)
        items.push_back({connection.socket->handle(), 0, ZMQ_POLLIN, 0});
    Protocol::poll(items, m_running.interval());
    m_wake.drain();
    receive(m_listener, {});
    for (auto const& [address, connection] : m_connections)
        receive(*connection.socket, address);
}

void PeerExchange::receive(zmq::socket_t& socket, std::string const& address)
{
    bool const is_listener = address.empty();
    for (int count = 0; count < s_max_messages_per_tick; ++count) {
        zmq::message_t route;
        if (is_listener && !socket.recv(route, zmq::recv_flags::dontwait))
            return;
        zmq::message_t frame;
        if (!socket.recv(frame, zmq::recv_flags::dontwait))
            return;
        m_bytes_in.add(frame.size());
        Envelope envelope;
        bool const is_readable = envelope.ParseFromArray(frame.data(), static_cast<int>(frame.size()))
            && envelope.protocol_version() == Protocol::s_protocol_version;
        for (bool has_more = frame.more(); has_more;) {
            zmq::message_t rest;
            has_more = socket.recv(rest, zmq::recv_flags::dontwait).has_value() && rest.more();
        }
        if (is_readable)
            handle(envelope, frame, {route.to_string(), address});
        else
            m_rejected_messages.add();
    }
}

void PeerExchange::send_to(PeerOrigin const& origin, zmq::message_t frame)
{
    if (!origin.address.empty()) {
        auto const connection = m_connections.find(origin.address);
        if (connection != m_connections.end())
            send(*connection->second.socket, std::move(frame));
        return;
    }
    zmq::message_t route(origin.route.data(), origin.route.size());
    if (m_listener.send(route, zmq::send_flags::sndmore | zmq::send_flags::dontwait))
        send(m_listener, std::move(frame));
}

void PeerExchange::send(zmq::socket_t& socket, zmq::message_t frame)
{
    auto const size = frame.size();
    // A message that would block is dropped; a later announcement repeats its content.
    if (socket.send(frame, zmq::send_flags::dontwait))
        count_sent_bytes(size);
}

void PeerExchange::handle(Envelope const& envelope, zmq::message_t& frame, PeerOrigin const& origin)
{
    switch (envelope.body_case()) {
    case Envelope::kAnnounce:
        return handle_announce(envelope.announce(), origin);
    case Envelope::kPull:
        return handle_pull(envelope.pull(), origin);
    case Envelope::kTable:
        return handle_table(envelope.table(), frame);
    case Envelope::kDrains:
        return handle_drains(envelope.drains());
    case Envelope::kServers:
        return handle_servers(envelope.servers(), frame);
    default:
        m_rejected_messages.add();
    }
}

void PeerExchange::note_peer(Message::PeerRecord const& record, Core::MonotonicTime now)
{
    // ZeroMQ throws at other texts, and this gateway would pass them on to its peers.
    auto const address = Core::Address::from_string(record.address());
    if (address && address->port() != 0)
        return m_view.note(from_message(record, now));
    m_rejected_messages.add();
    LOG_EVERY_N(ERROR, 10) << "peers: rejected the peer '" << record.name() << "': '" << record.address()
                           << "' is not an address by IP number such as 127.0.0.1:7000";
}

void PeerExchange::handle_announce(Message::Announce const& announce, PeerOrigin const& origin)
{
    auto const now = Core::monotonic_now();
    note_peer(announce.sender(), now);
    for (auto const& record : announce.known())
        note_peer(record, now);
    auto const own = versions();
    StateVersions const sender_versions {Core::TableVersion(announce.table_version()),
        DrainsVersion(announce.drains_version()), ListRevision(announce.servers_revision())};
    bool const is_ahead = sender_versions.is_ahead_of(own);
    if (is_ahead)
        m_pulls.note_offer(origin, sender_versions);
    // An announcement in reply lets a sender that is behind pull.
    bool const is_behind = own.is_ahead_of(sender_versions) && !is_ahead;
    if (!is_behind && !announce.wants_members())
        return;
    auto answer = make_announcement();
    if (announce.wants_members()) {
        for (auto const& peer : m_view.sample(s_max_member_reply))
            *answer.mutable_announce()->add_known() = to_message(peer, now);
    }
    send_to(origin, to_frame(answer));
}

void PeerExchange::pull_if_due(Core::MonotonicTime now)
{
    auto const own = versions();
    auto const origin = m_pulls.next(own, m_running.clock(now), pull_delay());
    if (!origin)
        return;
    auto request = make_envelope();
    request.mutable_pull()->set_table_version(own.table.value());
    request.mutable_pull()->set_drains_version(own.drains.value());
    request.mutable_pull()->set_servers_revision(m_needs_whole_servers ? 0 : own.servers.value());
    send_to(*origin, to_frame(request));
}

void PeerExchange::handle_pull(Message::Pull const& pull, PeerOrigin const& origin)
{
    send_table(pull, origin);
    send_drains(pull, origin);
    send_servers(pull, origin);
}

void PeerExchange::send_table(Message::Pull const& pull, PeerOrigin const& origin)
{
    auto const table = m_table.current();
    if (!table || table->version().value() <= pull.table_version())
        return;
    send_to(origin, make_update_frame(Core::TableVersion(pull.table_version()), table));
}

zmq::message_t PeerExchange::make_update_frame(
    Core::TableVersion from, std::shared_ptr<Table::Table const> const& table)
{
    m_history.note(table);
    auto edits = m_history.edits_since(from);
    auto const known_from = edits ? from : Core::TableVersion();
    if (auto kept = m_table_frames.find(known_from, table->version()))
        return *std::move(kept);
    if (!edits)
        edits = Table::difference(Table::Table(), *table);
    auto answer = make_envelope();
    *answer.mutable_table() = to_message(known_from, table->version(), *std::move(edits));
    auto frame = to_frame(answer);
    m_table_frames.store(known_from, table->version(), frame);
    return frame;
}

void PeerExchange::send_drains(Message::Pull const& pull, PeerOrigin const& origin)
{
    auto const drains = m_drains.current();
    if (drains.version.value() <= pull.drains_version())
        return;
    auto answer = make_envelope();
    *answer.mutable_drains() = to_message(drains);
    send_to(origin, to_frame(answer));
}

void PeerExchange::send_servers(Message::Pull const& pull, PeerOrigin const& origin)
{
    auto const list = m_servers.settled();
    if (!list || list->revision.value() <= pull.servers_revision())
        return;
    send_to(origin, make_update_frame(ListRevision(pull.servers_revision()), list));
}

zmq::message_t PeerExchange::make_update_frame(ListRevision from, std::shared_ptr<ServerList const> const& list)
{
    m_servers_history.note(list);
    auto changes = m_servers_history.changes_since(from);
    auto const known_from = changes ? from : ListRevision();
    if (auto kept = m_servers_frames.find(known_from, list->revision))
        return *std::move(kept);
    if (!changes)
        changes = difference(ServerList(), *list);
    auto answer = make_envelope();
    *answer.mutable_servers() = to_message(*changes, Core::monotonic_now());
    auto frame = to_frame(answer);
    m_servers_frames.store(known_from, list->revision, frame);
    return frame;
}

void PeerExchange::handle_table(Message::TableUpdate const& update, zmq::message_t& frame)
{
    auto const current = m_table.current();
    if (current && current->version().value() >= update.to_version())
        return;
    Core::TableVersion const from(update.from_version());
    Core::TableVersion const to(update.to_version());
    try {
        auto edits = read_edits(update);
        auto table = apply(update, edits, current);
        bool const is_whole = update.from_version() == 0;
        if (!table || !m_table.offer(*std::move(table), is_whole ? TableSource::PeerWhole : TableSource::PeerEdits))
            return;
        // Forward the update to peers as received.
        m_table_frames.store(from, to, frame);
        auto accepted = m_table.current();
        if (accepted->version() == to)
            m_history.note_step(std::move(accepted), from, std::move(edits));
        m_events.on_update();
    } catch (Core::InvalidInput const& error) {
        m_rejected_messages.add();
        LOG(ERROR) << "peers: rejected the table update of a peer: " << error.what();
    }
}

void PeerExchange::handle_drains(Message::DrainsUpdate const& update)
{
    if (m_drains.offer(from_message(update)))
        m_events.on_update();
}

void PeerExchange::handle_servers(Message::ServersUpdate const& update, zmq::message_t& frame)
{
    if (m_servers.settled_revision().value() >= update.revision())
        return;
    try {
        auto changes = from_message(update, Core::monotonic_now());
        if (!changes)
            return m_rejected_messages.add();
        auto list = apply_changes(*changes, m_servers.settled());
        if (!list) {
            // The list here differs from the sender's under the same revision, or a newer one has arrived meanwhile.
            m_needs_whole_servers = true;
            return;
        }
        m_needs_whole_servers = false;
        if (!m_servers.offer(*std::move(list)))
            return;
        // Forward the update to peers as received.
        m_servers_frames.store(changes->from, changes->to, frame);
        auto const accepted = m_servers.settled();
        if (accepted && accepted->revision == changes->to)
            m_servers_history.note_step(accepted, *std::move(changes));
        m_events.on_update();
    } catch (Core::InvalidInput const& error) {
        m_rejected_messages.add();
        LOG(ERROR) << "peers: rejected the server list update of a peer: " << error.what();
    }
}

void PeerExchange::update_connections()
{
    std::vector<std::string> wanted;
    for (auto const& neighbour : m_view.neighbours())
        wanted.push_back(neighbour.address);
    // A relay accepts datagrams only from gateways that it knows.
    for (auto const& relay : m_view.preferred_relays(s_relay_connections))
        wanted.push_back(relay.address);
    // Seeds are needed before any peer is known, and they reconnect the fleet after a partition.
    for (auto const& seed : m_settings.seeds)
        wanted.push_back(seed.to_string());
    for (auto& [address, connection] : m_connections)
        connection.is_wanted = false;
    for (auto const& address : wanted) {
        auto& connection = m_connections[address];
        connection.is_wanted = true;
        if (connection.socket)
            continue;
        connection.socket = connect(address);
        // Announce soon to the new neighbour.
        m_next_announcement
            = std::min(m_next_announcement, Core::monotonic_now() + m_settings.initial_announce_interval);
    }
    std::erase_if(m_connections, [](auto const& item) { return !item.second.is_wanted || !item.second.socket; });
}

std::unique_ptr<zmq::socket_t> PeerExchange::connect(std::string const& address)
{
    try {
        auto socket = std::make_unique<zmq::socket_t>(m_context, zmq::socket_type::dealer);
        socket->set(zmq::sockopt::linger, 0);
        socket->set(zmq::sockopt::heartbeat_ivl, static_cast<int>(s_probe_interval.count()));
        socket->set(zmq::sockopt::immediate, true);
        socket->set(zmq::sockopt::sndhwm, s_high_water_mark);
        socket->set(zmq::sockopt::rcvhwm, s_high_water_mark);
        socket->set(zmq::sockopt::maxmsgsize, Protocol::s_largest_message_bytes);
        socket->connect("tcp://" + address);
        return socket;
    } catch (zmq::error_t const& error) {
        // Most likely out of file descriptors. The next tick tries again.
        LOG_EVERY_N(WARNING, 100) << "peers: cannot connect to " << address << ": " << error.what();
        m_must_connect = true;
        return nullptr;
    }
}

Core::Milliseconds PeerExchange::steady_announce_interval() const
{
    auto const interval = m_settings.announce_interval;
    if (!m_running.is_slow())
        return interval;
    // Peers must not time out this process after one lost announcement.
    auto const longest = std::max(interval, PeerView::s_peer_timeout / s_announcements_per_peer_timeout);
    return std::min(interval * s_slow_announce_factor, longest);
}

void PeerExchange::announce_if_due(Core::MonotonicTime now)
{
    bool const has_changes = versions() != m_announced_versions || m_is_platform_reachable != m_announced_reachable
        || m_pulls.should_query_neighbours(versions(), m_running.clock(now), pull_delay())
        || is_member_request_due(now);
    if (!has_changes && now < m_next_announcement)
        return;
    announce();
    auto const interval
        = table_version() == Core::TableVersion() ? m_settings.initial_announce_interval : steady_announce_interval();
    // Jitter of a quarter of the interval, so that entries that started together do not announce in step.
    static thread_local std::mt19937 s_generator {std::random_device {}()};
    std::uniform_int_distribution<std::int64_t> spread(interval.count() * 3 / 4, interval.count());
    m_next_announcement = now + Core::Milliseconds(spread(s_generator));
}

PeerExchange::Envelope PeerExchange::make_announcement()
{
    auto const now = Core::monotonic_now();
    auto envelope = make_envelope();
    auto& announce = *envelope.mutable_announce();
    auto self = m_view.self();
    self.last_heard = now;
    *announce.mutable_sender() = to_message(self, now);
    announce.set_table_version(table_version().value());
    announce.set_drains_version(m_drains.version().value());
    announce.set_servers_revision(m_servers.settled_revision().value());
    return envelope;
}

void PeerExchange::announce()
{
    auto const now = Core::monotonic_now();
    m_announced_versions = versions();
    auto envelope = make_announcement();
    m_announced_reachable = envelope.announce().sender().is_platform_reachable();
    // Only periodic announcements carry peers; those of a change stay short.
    if (now >= m_next_announcement) {
        for (auto const& peer : m_view.sample(s_peers_per_announcement))
            *envelope.mutable_announce()->add_known() = to_message(peer, now);
    }
    if (is_member_request_due(now)) {
        envelope.mutable_announce()->set_wants_members(true);
        m_next_member_request
            = *m_next_member_request == s_first_member_request ? std::optional(s_last_member_request) : std::nullopt;
    }
    for (auto const& [address, connection] : m_connections)
        send(*connection.socket, to_frame(envelope));
}

}
