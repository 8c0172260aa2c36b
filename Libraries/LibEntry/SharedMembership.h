#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Entry {

/// A gateway as a member of the load exchange.
struct LoadMember {
    /// `address:port` that receives load datagrams.
    std::string address;
    /// Gateways of one group share a relay.
    std::string group;
    /// Processor time available to its host, in thousandths of a core; 0 if unknown.
    unsigned processor_permille {0};
    /// Tie-breaker among hosts with the same processor time, equal at all gateways.
    std::uint64_t order {0};

    bool operator==(LoadMember const&) const = default;
};

/// Whether `first` comes before `second` in the order of relays. Hosts with more processor time come first, since
/// relaying costs them a smaller share of it.
[[nodiscard]] inline bool relays_before(LoadMember const& first, LoadMember const& second)
{
    return std::pair(second.processor_permille, first.order) < std::pair(first.processor_permille, second.order);
}

/// The gateways that exchange load reports.
struct LoadMembers {
    LoadMember self;
    std::vector<LoadMember> peers;
};

/// Results of peer discovery that the peer exchange shares with the router and the load exchange. Any thread.
class SharedMembership {
public:
    /// Number of known entries other than this one.
    std::atomic<std::size_t> peer_count {0};
    /// Whether this entry has run long enough to have discovered its peers.
    std::atomic<bool> is_discovery_complete {false};

    /// Whether any other entry was found: one is known, or a connection to a seed is up.
    std::atomic<bool> has_found_peers {false};

    /// Null before discovery. Points to a new object after each change.
    [[nodiscard]] std::shared_ptr<LoadMembers const> load_members() const
    {
        std::lock_guard const lock(m_mutex);
        return m_load_members;
    }
    void set_load_members(LoadMembers members)
    {
        std::lock_guard const lock(m_mutex);
        m_load_members = std::make_shared<LoadMembers const>(std::move(members));
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<LoadMembers const> m_load_members;
};

}
