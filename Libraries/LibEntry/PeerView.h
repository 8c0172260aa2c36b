#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace GraniteField::Entry {

/// One entry as another one knows it.
struct Peer {
    std::string name;
    std::string region;
    /// `address:port` of its peer port.
    std::string address;
    /// When somebody last heard it directly, by this process's clock.
    Core::MonotonicTime last_heard;
    bool is_platform_reachable {true};
    /// Where it takes datagrams about load; empty for none.
    std::string load_address;
};

/// The entries that one entry knows, itself included: who its neighbours are, and who watches the platform
/// for a region. No I/O.
///
/// Neighbours are the entries at distances 1, 2, 4, ... behind this one on a ring ordered by the hash of the
/// names, so that each entry has log2(n) of them and an announcement reaches all in as many steps.
class PeerView {
public:
    /// An entry that nobody has heard for this long is forgotten.
    static constexpr Core::Milliseconds s_memory {45'000};
    static constexpr std::size_t s_largest_count = 4'000;
    /// Entries of a region that watch the platform. Two, so that one may fail; more would only cost calls.
    static constexpr std::size_t s_watchers_per_region = 2;

    explicit PeerView(Peer self)
        : m_self(std::move(self))
    {
    }

    [[nodiscard]] Peer const& self() const { return m_self; }
    void set_platform_reachable(bool value) { m_self.is_platform_reachable = value; }

    /// Takes what was heard of an entry, directly or from another, if it is newer than what is known.
    void note(Peer);
    void forget_silent(Core::MonotonicTime now);

    [[nodiscard]] std::size_t count() const { return m_peers.size(); }
    /// Where the known entries take datagrams about load.
    [[nodiscard]] std::vector<std::string> load_addresses() const;
    [[nodiscard]] std::vector<Peer> neighbours() const;
    /// Some of the known entries, others at each call, to tell a neighbour of.
    [[nodiscard]] std::vector<Peer> sample(std::size_t count);
    /// Whether this entry is among those of its region that watch the platform.
    [[nodiscard]] bool should_watch() const;

private:
    Peer m_self;
    std::map<std::string, Peer> m_peers;
    std::string m_last_sampled;
};

}
