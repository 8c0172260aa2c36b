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
    /// How often the state is looked at, and sent while it changes.
    static constexpr Core::Milliseconds s_interval {100};
    /// How often it is sent while it does not change but something is open.
    static constexpr Core::Milliseconds s_quiet_interval {500};
    /// Datagrams in one interval. Where there are more gateways they are told in turn, each the less often the more
    /// there are: what a gateway sends and reads does not grow with the fleet.
    static constexpr std::size_t s_most_datagrams = 10;
    /// What a gateway said is forgotten when it has been silent for this long, and for three turns.
    static constexpr Core::Milliseconds s_memory {1'500};

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
        std::size_t tells_left;
    };

    /// Intervals in which each gateway is told once.
    [[nodiscard]] static std::size_t intervals_of_a_turn(std::size_t gateways);

    void schedule();
    void send_if_due(Core::MonotonicTime now);
    void drop_told_placements(std::size_t count);
    void send_to_next(std::string const& bytes, std::vector<std::string> const& addresses);
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
    std::string m_last_state;
    Core::MonotonicTime m_last_news;
    /// Gateways that have not been told the newest state yet, and whose turn it is.
    std::size_t m_untold {0};
    std::size_t m_next_receiver {0};
};

}
