#pragma once

#include <LibCore/StrongInteger.h>
#include <LibPlatform/Objects.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Entry {

/// Revision of a list of backend servers. Increases with each later list.
using ListRevision = Core::StrongInteger<struct ListRevisionTag>;

using Platform::ServerEntry;

struct ServerList {
    ListRevision revision;
    /// The list still contains servers that are missing in the store, since they may become available again. It is not
    /// sent to peers, which may have newer information.
    bool is_provisional {false};
    std::vector<ServerEntry> servers;
};

/// The newest list of backend servers in this process. It is never replaced by an older one. Any thread.
class SharedServers {
public:
    /// Null before the first list.
    [[nodiscard]] std::shared_ptr<ServerList const> current() const
    {
        std::lock_guard const lock(m_mutex);
        return m_list;
    }

    /// The newest list that is not provisional; null before the first one.
    [[nodiscard]] std::shared_ptr<ServerList const> settled() const
    {
        std::lock_guard const lock(m_mutex);
        return m_settled;
    }

    /// The revision of the newest list that is not provisional.
    [[nodiscard]] ListRevision settled_revision() const
    {
        std::lock_guard const lock(m_mutex);
        return m_settled ? m_settled->revision : ListRevision();
    }

    /// Stores the list if it is newer, or if it settles a provisional list of its revision. Returns whether it did.
    bool offer(ServerList list)
    {
        std::lock_guard const lock(m_mutex);
        bool const settles
            = m_list && m_list->is_provisional && !list.is_provisional && list.revision == m_list->revision;
        if (m_list && list.revision <= m_list->revision && !settles)
            return false;
        store(std::move(list));
        return true;
    }

    /// Stores a list that this process made, unless the stored one has a higher revision. Returns whether it was
    /// stored.
    bool replace(ServerList list)
    {
        std::lock_guard const lock(m_mutex);
        if (m_list && list.revision < m_list->revision)
            return false;
        store(std::move(list));
        return true;
    }

private:
    void store(ServerList list)
    {
        m_list = std::make_shared<ServerList const>(std::move(list));
        if (!m_list->is_provisional)
            m_settled = m_list;
    }

    mutable std::mutex m_mutex;
    std::shared_ptr<ServerList const> m_list;
    std::shared_ptr<ServerList const> m_settled;
};

}
