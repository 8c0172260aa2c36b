#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibPolicy/BackendChooser.h>
#include <LibProtocol/Conversions.h>
#include <LibTable/Rows.h>

#include <optional>
#include <string>

#include <zmq.hpp>

namespace GraniteField::Entry {

/// The entry's connection to one side process, and the known state of its backend server.
class SideLink {
public:
    struct Settings {
        Core::Incarnation own_incarnation;
        std::string entry_name;
        /// Time without traffic in one direction after which a ping is sent.
        Core::Milliseconds heartbeat {1'000};
        /// Time after which a side process that leaves a message unanswered gets no new requests.
        Core::Milliseconds silence_timeout {3'000};
    };

    /// Change of the link caused by a message or by the clock.
    enum class Change {
        None,
        /// The side process is reachable for the first time, or the same incarnation is reachable again and has kept
        /// its state of this entry.
        Reconnected,
        /// The side process has restarted or has forgotten this entry: all attempts there are lost.
        Replaced,
        /// The side process does not respond.
        Lost,
    };

    SideLink(zmq::context_t&, Settings, Table::BackendServer);
    SideLink(SideLink const&) = delete;
    SideLink& operator=(SideLink const&) = delete;

    [[nodiscard]] Table::BackendServer const& backend_server() const { return m_backend_server; }
    void set_backend_server(Table::BackendServer row)
    {
        m_backend_server = std::move(row);
        m_view.name = m_backend_server.name;
    }
    /// Sets whether the platform's host list or an operator lists the backend server as leaving.
    void set_listed_as_leaving(bool value) { m_is_listed_as_leaving = value; }
    /// Sets whether the table has no row for the backend server; the link remains until its attempts have ended.
    void set_removed(bool value) { m_is_removed = value; }
    [[nodiscard]] bool is_removed() const { return m_is_removed; }

    /// Returns whether the side process is up and may get new requests.
    [[nodiscard]] bool is_available() const;
    [[nodiscard]] bool is_up() const { return m_is_up; }
    [[nodiscard]] bool is_leaving() const;
    [[nodiscard]] Core::Incarnation incarnation() const { return m_incarnation; }
    [[nodiscard]] std::uint64_t session() const { return m_session; }
    /// Returns the side process's uptime from its last report, which is never more than its current uptime.
    [[nodiscard]] Core::Milliseconds side_uptime() const { return m_side_uptime; }
    [[nodiscard]] Policy::BackendView const& view() const { return m_view; }

    /// Returns the next received message. Unreadable messages are counted and skipped.
    [[nodiscard]] std::optional<Protocol::Message::Envelope> receive();
    /// Returns false, having sent nothing, if there is no connection or the send queue is full.
    bool send(Protocol::Message::Envelope const&);

    /// Records that the side process refused a dispatch meant for another incarnation, so that a new handshake is
    /// needed.
    void note_other_incarnation() { m_is_welcomed = false; }
    /// Applies a welcome, a pong or any other message as a sign of life.
    [[nodiscard]] Change note_message(Protocol::Message::Envelope const&, Core::MonotonicTime now);
    /// Sends Hello messages and pings, and detects that the side process does not respond.
    [[nodiscard]] Change tick(Core::MonotonicTime now);

    void note_load(Protocol::Message::LoadReport const&);
    void note_sent(unsigned tier);
    /// Records that the side process has answered a dispatch, so that its load reports include it from now on.
    void note_answered(unsigned tier);
    void note_open(int difference) { m_view.open = static_cast<unsigned>(static_cast<int>(m_view.open) + difference); }

    [[nodiscard]] zmq::socket_t& socket() { return m_socket; }
    /// Returns the number of bytes of Hello messages, pings and their answers, in both directions.
    [[nodiscard]] std::uint64_t control_bytes() const { return m_control_bytes; }
    [[nodiscard]] std::uint64_t unreadable_count() const { return m_unreadable_count; }
    [[nodiscard]] std::optional<std::uint32_t> refused_version() const { return m_refused_version; }

private:
    [[nodiscard]] Change note_welcome(Protocol::Message::Welcome const&);
    void send_hello();
    void send_ping();

    Settings m_settings;
    Table::BackendServer m_backend_server;
    zmq::socket_t m_socket;
    bool m_is_up {false};
    /// Whether a welcome was received on the current connection. After a reconnect another incarnation of the side
    /// process may answer, so no new request is sent before the welcome.
    bool m_is_welcomed {false};
    bool m_is_draining {false};
    bool m_is_listed_as_leaving {false};
    bool m_is_removed {false};
    Core::Incarnation m_incarnation;
    std::uint64_t m_session {0};
    std::uint32_t m_challenge {0};
    Core::Milliseconds m_side_uptime {0};
    Core::MonotonicTime m_last_heard;
    Core::MonotonicTime m_last_ping;
    /// Whether a message that requires an answer was sent and nothing was received since.
    bool m_is_reply_pending {false};
    std::optional<Core::MonotonicTime> m_reply_pending_since;
    bool m_has_sent {false};
    Core::MonotonicTime m_last_sent;
    std::uint64_t m_control_bytes {0};
    Core::MonotonicTime m_last_hello;
    Policy::BackendView m_view;
    std::uint64_t m_unreadable_count {0};
    std::optional<std::uint32_t> m_refused_version;
};

}
