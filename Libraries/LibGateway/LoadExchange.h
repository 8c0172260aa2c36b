#pragma once

#include <LibCore/Address.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibEntry/SharedMembership.h>
#include <LibGateway/BackendFleet.h>
#include <LibGateway/GatewayCall.h>
#include <LibObserve/Metrics.h>

#include <Peers.pb.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace GraniteField::Gateway {

/// Tells the other gateways what this one has open at each backend server and which prompts it has sent where, and
/// takes their word: without it each would choose by its own part of the load only. Datagrams carry the whole state,
/// so that a lost one is made good by the next; nothing that must be right rests on them. On the gateway's thread.
class LoadExchange {
public:
    /// How often the state is sent while it changes, and while it does not but something is open.
    static constexpr Core::Milliseconds s_interval {100};
    static constexpr Core::Milliseconds s_quiet_interval {500};
    /// What a gateway said is forgotten when it has been silent for this long.
    static constexpr Core::Milliseconds s_memory {1'500};
    /// Gateways that are told; a larger fleet tells a part of itself.
    static constexpr std::size_t s_most_receivers = 64;

    LoadExchange(boost::asio::io_context&, std::optional<Core::Address> const&, BackendFleet&,
        Entry::SharedMembership const&, Observe::MetricRegistry&);

    /// A prompt was sent to the server; `parts` are those that other prompts may share.
    void note_placement(BackendView const&, std::span<PromptPart const> parts);

private:
    using Datagram = granitefield::protocol::GatewayLoad;
    using Udp = boost::asio::ip::udp;

    /// What one gateway has said of one server.
    struct ReportedLoad {
        std::shared_ptr<BackendView> server;
        ServerLoad load;
    };

    struct PeerLoad {
        std::vector<ReportedLoad> loads;
        Core::MonotonicTime heard;
    };

    /// A placement that is told so many times more.
    struct PendingPlacement {
        granitefield::protocol::Placement placement;
        int tells_left {2};
    };

    void schedule();
    void send_if_due(Core::MonotonicTime now);
    void send_to_all(std::string const& bytes);
    void receive();
    void take(Datagram const&);
    static void withdraw(PeerLoad&);
    void forget_silent(Core::MonotonicTime now);

    BackendFleet& m_fleet;
    Entry::SharedMembership const& m_membership;
    Observe::Counter& m_bytes_out;
    std::uint64_t m_self;
    Udp::socket m_socket;
    Udp::endpoint m_sender;
    std::array<char, 64U << 10U> m_buffer {};
    boost::asio::steady_timer m_timer;
    std::map<std::uint64_t, PeerLoad> m_peers;
    std::deque<PendingPlacement> m_placements;
    std::string m_last_sent;
    Core::MonotonicTime m_last_time;
};

}
