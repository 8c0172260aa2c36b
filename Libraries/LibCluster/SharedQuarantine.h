#pragma once

#include <LibCore/RequestDigest.h>

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace GraniteField::Cluster {

/// A request that was quarantined or released, to be written to the store.
struct QuarantineChange {
    enum class Kind {
        Added,
        Removed,
    };
    Kind kind {Kind::Added};
    Core::RequestDigest digest;
};

/// Passes changes of the quarantine from the gateway's thread to the thread that stores them, and passes stored
/// requests back at startup. Thread-safe.
class SharedQuarantine {
public:
    /// Maximum number of changes waiting for the store; when it is exceeded, the oldest change is dropped and takes
    /// effect only among running gateways.
    static constexpr std::size_t s_max_changes = 4'096;

    void add_change(QuarantineChange const& change)
    {
        std::lock_guard const lock(m_mutex);
        if (m_changes.size() >= s_max_changes)
            m_changes.erase(m_changes.begin());
        m_changes.push_back(change);
    }
    [[nodiscard]] std::vector<QuarantineChange> take_changes()
    {
        std::lock_guard const lock(m_mutex);
        return std::exchange(m_changes, {});
    }

    void add_loaded(std::vector<Core::RequestDigest> const& digests)
    {
        std::lock_guard const lock(m_mutex);
        m_loaded.insert(m_loaded.end(), digests.begin(), digests.end());
    }
    [[nodiscard]] std::vector<Core::RequestDigest> take_loaded()
    {
        std::lock_guard const lock(m_mutex);
        return std::exchange(m_loaded, {});
    }

private:
    std::mutex m_mutex;
    std::vector<QuarantineChange> m_changes;
    std::vector<Core::RequestDigest> m_loaded;
};

}
