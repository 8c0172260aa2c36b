#pragma once

#include <LibCore/Address.h>
#include <LibCore/Time.h>
#include <LibEntry/SharedMembership.h>
#include <LibEntry/WatchDuty.h>
#include <LibGateway/DatagramReader.h>
#include <LibGateway/LoadSharing.h>
#include <LibObserve/EventLog.h>
#include <LibObserve/Metrics.h>

#include <memory>
#include <optional>
#include <span>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace GraniteField::Gateway {

/// Carries the datagrams of LoadSharing. On the gateway's thread.
class LoadExchange {
public:
    /// What is shared for duties is null where gateways have none.
    LoadExchange(boost::asio::io_context&, std::optional<Core::Address> const&, BackendFleet&, CrashSharing,
        DutySharing* duties, Entry::SharedMembership const&, Entry::WatchDuty&, Observe::EventLog&,
        Observe::MetricRegistry&);

    /// A prompt was sent to the server; `parts` are those that other prompts may share, `own_tokens` the rest of it.
    void note_placement(BackendView const&, std::span<PromptPart const> parts, std::uint32_t own_tokens);

    /// What this gateway met at a server; told to the others.
    void note_unreachable(BackendView const& server)
    {
        if_open([&] { m_sharing.note_unreachable(server); });
    }
    void note_broken(BackendView const& server)
    {
        if_open([&] { m_sharing.note_broken(server); });
    }
    void note_answering(BackendView const& server)
    {
        if_open([&] { m_sharing.note_answering(server); });
    }

    /// Where datagrams arrive, with the port that the kernel chose; empty for nowhere.
    [[nodiscard]] std::string address() const;

private:
    using Udp = boost::asio::ip::udp;

    /// Without a socket nothing is told, and nothing may pile up.
    void if_open(auto action)
    {
        if (m_socket.is_open())
            action();
    }
    void schedule();
    void tick(Core::MonotonicTime now);
    /// Logs whom this gateway reports to, and whether it relays, when that changes.
    void log_relay_change();
    void send(OutgoingDatagram const&);
    [[nodiscard]] Udp::endpoint const& endpoint_of(std::string const& address);
    void wait_for_datagrams();
    /// Takes all datagrams that have arrived.
    void read_pending();
    void handle(ReceivedDatagram const&);

    Entry::SharedMembership const& m_membership;
    Entry::WatchDuty& m_duty;
    Observe::EventLog& m_log;
    Observe::Counter& m_bytes_out;
    Observe::Counter& m_rejected;
    Observe::Gauge& m_relaying;
    LoadSharing m_sharing;
    std::shared_ptr<Entry::LoadMembers const> m_members;
    bool m_logged_is_relay {false};
    std::string m_logged_relay;
    Udp::socket m_socket;
    /// By their text, which is how members are named.
    absl::flat_hash_map<std::string, Udp::endpoint> m_endpoints;
    DatagramReader m_reader;
    bool m_is_waiting {false};
    granitefield::protocol::LoadDatagram m_datagram;
    boost::asio::steady_timer m_timer;
};

}
