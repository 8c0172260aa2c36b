#pragma once

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Entry {

/// What the peer exchange knows of the other entries and the router needs.
class SharedMembership {
public:
    /// Entries that are known to be there, without this one.
    std::atomic<std::size_t> other_entries {0};

    /// Where the other entries take datagrams about load.
    [[nodiscard]] std::vector<std::string> load_addresses() const
    {
        std::lock_guard const lock(m_mutex);
        return m_load_addresses;
    }
    void set_load_addresses(std::vector<std::string> addresses)
    {
        std::lock_guard const lock(m_mutex);
        m_load_addresses = std::move(addresses);
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_load_addresses;
};

}
