#pragma once

#include <LibCore/Address.h>
#include <LibCore/ListenRetry.h>
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

/// Sends and receives the datagrams of LoadSharing over UDP. On the gateway's thread.
class LoadExchange {
public:
    /// `duties` is null where gateways have no duties, `demand` where they do not share their admission control,
    /// `streams` where they do not share the versions of streams.
    LoadExchange(boost::asio::io_context&, std::optional<Core::Address> const&, BackendFleet&, CrashSharing,
        DutySharing* duties, Entry::SharedMembership const&, Entry::WatchDuty&, Observe::EventLog&,
        Observe::MetricRegistry&, DemandSharing* demand = nullptr, StreamOriginSharing* streams = nullptr,
        Core::ListenRetry const& = Core::ListenRetry());

    /// Records a prompt sent to the server. `parts` may be shared with other prompts; `own_tokens` is the length of the
    /// rest.
    void note_placement(BackendView const&, std::span<PromptPart const> parts, std::uint32_t own_tokens);

    /// Report the state in which this gateway found a server to the other gateways.
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

    /// Sends the messages about streams that have been added since the last tick.
    void send_stream_messages();

    /// Address at which datagrams are received, with the port chosen by the kernel; empty without a socket.
    [[nodiscard]] std::string address() const;

private:
    using Udp = boost::asio::ip::udp;

    /// Runs the action only with a socket; without one, reports would accumulate without being sent.
    void if_open(auto action)
    {
        if (m_socket.is_open())
            action();
    }
    void schedule();
    void tick(Core::MonotonicTime now);
    /// Logs changes of the relay that this gateway reports to, and of whether it relays itself.
    void log_relay_change();
    void send(OutgoingDatagram const&);
    [[nodiscard]] Udp::endpoint const& endpoint_of(std::string const& address);
    void wait_for_datagrams();
    /// Handles datagrams that have arrived, up to s_max_datagrams_per_read.
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
    /// Endpoints by address text, which identifies members.
    absl::flat_hash_map<std::string, Udp::endpoint> m_endpoints;
    DatagramReader m_reader;
    bool m_is_waiting {false};
    granitefield::protocol::LoadDatagram m_datagram;
    boost::asio::steady_timer m_timer;
};

}
