#pragma once

#include <LibCore/Time.h>
#include <LibEntry/SharedMembership.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace GraniteField::Entry {

/// One entry as another one knows it.
struct Peer {
    std::string name;
    /// Of which some watch the platform, and one relays loads: a region for entries, a failure domain for gateways.
    std::string group;
    /// `address:port` of its peer port.
    std::string address;
    /// When somebody last heard it directly, by this process's clock.
    Core::MonotonicTime last_heard;
    bool is_platform_reachable {true};
    /// Where it takes datagrams about load; empty for none.
    std::string load_address;
    /// Its host's share of a core, in thousandths; 0 if not known.
    unsigned processor_permille {0};
};

/// The entries that one entry knows, itself included: who its neighbours are, and who watches the platform
/// for a group. No I/O.
///
/// Neighbours are the entries at distances 1, 2, 4, ... behind this one on a ring ordered by the hash of the
/// names, so that each entry has log2(n) of them and an announcement reaches all in as many steps.
class PeerView {
public:
    /// An entry that nobody has heard for this long is forgotten.
    static constexpr Core::Milliseconds s_peer_timeout {45'000};
    static constexpr std::size_t s_max_peers = 4'000;
    /// Entries of a group that watch the platform. Two, so that one may fail; more would only cost calls.
    static constexpr std::size_t s_watchers_per_group = 2;
    /// In a fleet of so few all watch: their calls cost little, and few of them are hit at once the more often.
    static constexpr std::size_t s_small_fleet = 8;

    explicit PeerView(Peer self)
        : m_self(std::move(self))
    {
    }

    [[nodiscard]] Peer const& self() const { return m_self; }
    void set_platform_reachable(bool value) { m_self.is_platform_reachable = value; }

    /// Takes what was heard of an entry, directly or from another, if it is newer than what is known.
    void note(Peer);
    void remove_timed_out(Core::MonotonicTime now);

    [[nodiscard]] std::size_t count() const { return m_peers.size(); }
    /// This gateway and those that it knows, as the exchange of loads wants them.
    [[nodiscard]] LoadMembers load_members() const;
    /// Rises whenever an entry comes or goes, or has another address, group or share of a core.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }
    [[nodiscard]] std::vector<Peer> neighbours() const;
    /// Some of the known entries, others at each call, to tell a neighbour of.
    [[nodiscard]] std::vector<Peer> sample(std::size_t count);
    /// Whether this entry is among those of its group that watch the platform.
    [[nodiscard]] bool should_watch() const;
    /// The same for a gateway, which also watches where there are few.
    [[nodiscard]] bool is_elected() const { return m_peers.size() < s_small_fleet || should_watch(); }
    /// Those of its group that relay loads before the others.
    [[nodiscard]] std::vector<Peer> preferred_relays(std::size_t count) const;

private:
    Peer m_self;
    std::map<std::string, Peer> m_peers;
    std::string m_last_sampled;
    std::uint64_t m_generation {1};
};

}
