#include <LibEntry/SideLink.h>

#include <LibProtocol/ProtocolVersion.h>

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace GraniteField::Entry {

using Protocol::Message::Envelope;

namespace {

constexpr char const* s_log_prefix = "link: ";
/// Interval between Hello messages to a side process that does not answer.
constexpr Core::Milliseconds s_hello_interval {200};
constexpr int s_reconnect_milliseconds = 50;
constexpr int s_max_reconnect_milliseconds = 1'000;

}

static bool is_control(Envelope const& envelope)
{
    switch (envelope.body_case()) {
    case Envelope::kHello:
    case Envelope::kWelcome:
    case Envelope::kPing:
    case Envelope::kPong:
        return true;
    default:
        return false;
    }
}

SideLink::SideLink(zmq::context_t& context, Settings settings, Table::BackendServer backend_server)
    : m_settings(std::move(settings))
    , m_backend_server(std::move(backend_server))
    , m_socket(context, zmq::socket_type::dealer)
{
    m_socket.set(zmq::sockopt::linger, 0);
    m_socket.set(zmq::sockopt::sndhwm, Protocol::s_high_water_mark);
    m_socket.set(zmq::sockopt::rcvhwm, Protocol::s_high_water_mark);
    m_socket.set(zmq::sockopt::maxmsgsize, Protocol::s_largest_message_bytes);
    // A send without a connection fails at once, so that no message is queued for a process that is not running.
    m_socket.set(zmq::sockopt::immediate, true);
    m_socket.set(zmq::sockopt::reconnect_ivl, s_reconnect_milliseconds);
    m_socket.set(zmq::sockopt::reconnect_ivl_max, s_max_reconnect_milliseconds);
    m_socket.set(zmq::sockopt::ipv6, m_backend_server.side_address.starts_with('['));
    m_socket.set(zmq::sockopt::routing_id, Core::to_hex(m_settings.own_incarnation.value()));
    m_socket.connect("tcp://" + m_backend_server.side_address);
    m_view.name = m_backend_server.name;
}

bool SideLink::is_leaving() const
{
    return m_is_draining || m_is_listed_as_leaving || m_is_removed
        || m_backend_server.state == Table::BackendServerState::Leaving;
}

bool SideLink::is_available() const
{
    return m_is_up && m_is_welcomed && !is_leaving();
}

std::optional<Envelope> SideLink::receive()
{
    zmq::message_t frame;
    while (m_socket.recv(frame, zmq::recv_flags::dontwait)) {
        Envelope envelope;
        bool const is_readable = !frame.more() && envelope.ParseFromArray(frame.data(), static_cast<int>(frame.size()));
        if (is_readable && is_control(envelope))
            m_control_bytes += frame.size();
        if (is_readable)
            return envelope;
        ++m_unreadable_count;
    }
    return std::nullopt;
}

bool SideLink::send(Envelope const& envelope)
{
    auto const size = envelope.ByteSizeLong();
    zmq::message_t frame(size);
    envelope.SerializeToArray(frame.data(), static_cast<int>(size));
    if (is_control(envelope))
        m_control_bytes += size;
    bool const was_sent = m_socket.send(frame, zmq::send_flags::dontwait).has_value();
    if (!was_sent)
        m_is_welcomed = false;
    m_has_sent = true;
    m_is_reply_pending = m_is_reply_pending || envelope.body_case() != Envelope::kAcknowledge;
    return was_sent;
}

void SideLink::send_hello()
{
    auto envelope = Protocol::make_envelope();
    envelope.mutable_hello()->set_entry_incarnation(m_settings.own_incarnation.value());
    envelope.mutable_hello()->set_entry_name(m_settings.entry_name);
    send(envelope);
}

void SideLink::send_ping()
{
    auto envelope = Protocol::make_envelope();
    envelope.mutable_ping()->set_entry_incarnation(m_settings.own_incarnation.value());
    envelope.mutable_ping()->set_challenge(m_challenge);
    send(envelope);
}

SideLink::Change SideLink::tick(Core::MonotonicTime now)
{
    if (!m_is_welcomed && Core::elapsed(m_last_hello, now) >= s_hello_interval) {
        m_last_hello = now;
        send_hello();
    }
    if (!m_is_up)
        return Change::None;
    if (m_is_reply_pending && !m_reply_pending_since)
        m_reply_pending_since = now;
    if (m_reply_pending_since && Core::elapsed(*m_reply_pending_since, now) >= m_settings.silence_timeout) {
        m_is_up = false;
        m_is_welcomed = false;
        LOG(WARNING) << s_log_prefix << m_backend_server.name << " does not respond; it gets no new requests";
        return Change::Lost;
    }
    // Any traffic counts as a heartbeat in both directions: the side process forgets an entry that sends nothing.
    if (std::exchange(m_has_sent, false))
        m_last_sent = now;
    bool const is_idle = Core::elapsed(m_last_sent, now) >= m_settings.heartbeat
        || Core::elapsed(m_last_heard, now) >= m_settings.heartbeat;
    if (is_idle && Core::elapsed(m_last_ping, now) >= m_settings.heartbeat) {
        m_last_ping = now;
        send_ping();
    }
    return Change::None;
}

SideLink::Change SideLink::note_message(Envelope const& envelope, Core::MonotonicTime now)
{
    if (envelope.body_case() == Envelope::kVersionRefused
        || envelope.protocol_version() != Protocol::s_protocol_version) {
        auto const version = envelope.body_case() == Envelope::kVersionRefused
            ? envelope.version_refused().own_version()
            : envelope.protocol_version();
        if (!m_refused_version)
            LOG(ERROR) << s_log_prefix << m_backend_server.name << " speaks protocol version " << version << ", not "
                       << Protocol::s_protocol_version;
        m_refused_version = version;
        return Change::None;
    }
    m_last_heard = now;
    m_is_reply_pending = false;
    m_reply_pending_since.reset();
    if (envelope.body_case() == Envelope::kWelcome)
        return note_welcome(envelope.welcome());
    if (envelope.body_case() == Envelope::kPong) {
        auto const& pong = envelope.pong();
        note_load(pong.load());
        if (pong.challenge() != m_challenge) {
            m_challenge = pong.challenge();
            send_ping();
        }
    }
    return Change::None;
}

SideLink::Change SideLink::note_welcome(Protocol::Message::Welcome const& welcome)
{
    m_refused_version.reset();
    if (welcome.backend_server() != m_backend_server.name || welcome.service() != m_backend_server.service) {
        // If the addresses of two rows were exchanged, requests would otherwise reach the wrong service.
        LOG_EVERY_N(ERROR, 50) << s_log_prefix << "at " << m_backend_server.side_address << " runs the side process of "
                               << welcome.backend_server() << " of " << welcome.service() << ", not "
                               << m_backend_server.name << " of " << m_backend_server.service;
        return Change::None;
    }
    bool const was_known = m_incarnation != Core::Incarnation();
    bool const is_same = m_incarnation.value() == welcome.side_incarnation() && m_session == welcome.session();
    bool const was_welcomed = m_is_welcomed;
    m_incarnation = Core::Incarnation(welcome.side_incarnation());
    m_session = welcome.session();
    m_challenge = welcome.challenge();
    m_is_up = true;
    m_is_welcomed = true;
    note_load(welcome.load());
    if (is_same)
        return was_welcomed ? Change::None : Change::Reconnected;
    m_view.sent_by_tier = {};
    return was_known ? Change::Replaced : Change::Reconnected;
}

void SideLink::note_load(Protocol::Message::LoadReport const& load)
{
    m_side_uptime = Core::Milliseconds(static_cast<std::int64_t>(load.uptime_ms()));
    m_is_draining = load.is_draining();
    m_view.slots = std::max(load.slots(), 1U);
    m_view.running = load.running();
    m_view.headroom_slots = load.headroom_slots();
    m_view.mean_service = Core::Milliseconds(load.mean_service_ms());
    m_view.mean_first_token = Core::Milliseconds(load.mean_first_token_ms());
    for (unsigned index = 0; index < Policy::s_tier_count; ++index)
        m_view.waiting_by_tier[index] = index < static_cast<unsigned>(load.waiting_by_tier_size())
            ? load.waiting_by_tier(static_cast<int>(index))
            : 0;
}

void SideLink::note_sent(unsigned tier)
{
    ++m_view.sent_by_tier[tier - 1];
}

void SideLink::note_answered(unsigned tier)
{
    auto& sent = m_view.sent_by_tier[tier - 1];
    sent -= std::min(sent, 1U);
}

}
