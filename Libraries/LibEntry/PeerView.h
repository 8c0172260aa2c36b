#pragma once

#include <LibCore/Time.h>
#include <LibEntry/SharedMembership.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace GraniteField::Entry {

/// A peer as known to this entry.
struct Peer {
    std::string name;
    /// Group of entries of which some watch the platform and one relays load reports: a region for entries, a failure
    /// domain for gateways.
    std::string group;
    /// Peer address as `address:port`.
    std::string address;
    /// Time at which any entry last received a message from it directly, by the clock of this process.
    Core::MonotonicTime last_heard;
    bool is_platform_reachable {true};
    /// Address that receives load datagrams; empty for none.
    std::string load_address;
    /// Processor time available to its host, in thousandths of a core; 0 if unknown.
    unsigned processor_permille {0};
};

/// The peers that an entry knows. Chooses its neighbours, and decides whether it watches the platform for its group. No
/// I/O.
///
/// Neighbours are the entries at distances 1, 2, 4, ... after this one on a ring ordered by the hash of the names. Each
/// entry has log2(n) of them, and an announcement reaches all entries in as many steps.
class PeerView {
public:
    /// Time after which a peer that no entry has received a message from is removed.
    static constexpr Core::Milliseconds s_peer_timeout {45'000};
    static constexpr std::size_t s_max_peers = 4'000;
    /// Number of entries that watch the platform for a group. A second one covers a failure; more would only add calls.
    static constexpr std::size_t s_watchers_per_group = 2;
    /// Largest fleet in which all gateways watch the platform. Their calls cost little there, and a failure is more
    /// likely to hit all watchers of a group at once.
    static constexpr std::size_t s_small_fleet = 8;

    explicit PeerView(Peer self)
        : m_self(std::move(self))
    {
    }

    [[nodiscard]] Peer const& self() const { return m_self; }
    void set_platform_reachable(bool value) { m_self.is_platform_reachable = value; }

    /// Records a peer, received from itself or from another peer, if the record is newer than the known one.
    void note(Peer);
    void remove_timed_out(Core::MonotonicTime now);

    [[nodiscard]] std::size_t count() const { return m_peers.size(); }
    /// This gateway and the known peers that receive load datagrams.
    [[nodiscard]] LoadMembers load_members() const;
    /// Increases whenever a peer is added or removed, or changes its address, group or processor time.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }
    [[nodiscard]] std::vector<Peer> neighbours() const;
    /// Returns some of the known peers, in rotation, to include in an announcement.
    [[nodiscard]] std::vector<Peer> sample(std::size_t count);
    /// Whether this entry is one of those that watch the platform for its group.
    [[nodiscard]] bool should_watch() const;
    /// Whether this gateway watches the platform. In a small fleet all gateways do.
    [[nodiscard]] bool is_elected() const { return m_peers.size() < s_small_fleet || should_watch(); }
    /// The first `count` peers of its group in the order of relays.
    [[nodiscard]] std::vector<Peer> preferred_relays(std::size_t count) const;

private:
    Peer m_self;
    std::map<std::string, Peer> m_peers;
    std::string m_last_sampled;
    std::uint64_t m_generation {1};
};

}
