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

/// The entry's connection to one side process, and what it knows of the backend server behind it.
class SideLink {
public:
    struct Settings {
        Core::Incarnation own_incarnation;
        std::string entry_name;
        /// A ping goes out when nothing was said or heard for this long.
        Core::Milliseconds heartbeat {1'000};
        /// A side process that leaves anything unanswered for this long gets no new work.
        Core::Milliseconds silence_timeout {3'000};
    };

    /// What a message or the clock did to the link.
    enum class Change {
        None,
        /// The same run of the side process is there again, with its memory of this entry.
        Reconnected,
        /// Another run, or one that has forgotten this entry: all attempts there are lost.
        Replaced,
        /// It went silent.
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
    /// The platform's host list or an operator says that it is leaving.
    void set_listed_as_leaving(bool value) { m_is_listed_as_leaving = value; }
    /// The table has no row for it any more; it stays until its attempts are over.
    void set_removed(bool value) { m_is_removed = value; }
    [[nodiscard]] bool is_removed() const { return m_is_removed; }

    /// It is up and may get new work.
    [[nodiscard]] bool is_available() const;
    [[nodiscard]] bool is_up() const { return m_is_up; }
    [[nodiscard]] bool is_leaving() const;
    [[nodiscard]] Core::Incarnation incarnation() const { return m_incarnation; }
    [[nodiscard]] std::uint64_t session() const { return m_session; }
    /// The side process's uptime by its last word; never more than it is now.
    [[nodiscard]] Core::Milliseconds side_uptime() const { return m_side_uptime; }
    [[nodiscard]] Policy::BackendView const& view() const { return m_view; }

    /// The next message that has arrived. Those that can't be read are counted and skipped.
    [[nodiscard]] std::optional<Protocol::Message::Envelope> receive();
    /// False when there is no connection, or no room; then nothing was sent.
    bool send(Protocol::Message::Envelope const&);

    /// The side process refused a dispatch as meant for another run: it is not what the link takes it for.
    void note_other_incarnation() { m_is_welcomed = false; }
    /// Takes a welcome, a pong or any other sign of life.
    [[nodiscard]] Change note_message(Protocol::Message::Envelope const&, Core::MonotonicTime now);
    /// Greets, pings, and notices silence.
    [[nodiscard]] Change tick(Core::MonotonicTime now);

    void note_load(Protocol::Message::LoadReport const&);
    void note_sent(unsigned tier);
    /// The side process has answered a dispatch, so its load reports include it from now on.
    void note_answered(unsigned tier);
    void note_open(int difference) { m_view.open = static_cast<unsigned>(static_cast<int>(m_view.open) + difference); }

    [[nodiscard]] zmq::socket_t& socket() { return m_socket; }
    /// Bytes of greetings, pings and their answers, in both directions.
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
    /// The present connection has brought a welcome. A connection that broke may lead to another run of the
    /// side process, so that nothing new is sent before that.
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
    /// Something was sent that the side process has to answer, and nothing was heard since.
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
