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

/// A gateway as the exchange of loads knows it.
struct LoadMember {
    /// `address:port` where it takes datagrams about load.
    std::string address;
    /// Gateways of one group share a relay.
    std::string group;
    /// Its host's share of a core, in thousandths; 0 if not known.
    unsigned processor_permille {0};
    /// Settles the order among hosts of the same share, alike at every gateway.
    std::uint64_t order {0};

    bool operator==(LoadMember const&) const = default;
};

/// Whether `first` relays rather than `second`: hosts with more processor do, which feel it less.
[[nodiscard]] inline bool relays_before(LoadMember const& first, LoadMember const& second)
{
    return std::pair(second.processor_permille, first.order) < std::pair(first.processor_permille, second.order);
}

/// The gateways that exchange loads.
struct LoadMembers {
    LoadMember self;
    std::vector<LoadMember> peers;
};

/// What the peer exchange knows of the other entries and the router needs.
class SharedMembership {
public:
    /// Entries that are known to be there, without this one.
    std::atomic<std::size_t> peer_count {0};
    /// Whether this entry has had the time to get to know the others.
    std::atomic<bool> is_discovery_complete {false};

    /// Whether another entry is there: one is known, or a connection to a seed has come up.
    std::atomic<bool> has_found_peers {false};

    /// Null before they are known. Another object whenever they change.
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
