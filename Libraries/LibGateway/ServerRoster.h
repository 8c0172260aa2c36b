#pragma once

#include <LibCore/Time.h>
#include <LibEntry/SharedServers.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace GraniteField::Gateway {

/// Keeps the list of backend servers from what the platform's store tells: whole lists and single changes. While the
/// store is away it can't hear the servers either, and their entries lapse though they serve. So what is missing
/// right after the store's return stays in the list for a settling time, in which living servers come back.
class ServerRoster {
public:
    /// Living servers that reach the store are back in it about this long after its return.
    static constexpr Core::Milliseconds s_settling_time {2'000};

    /// A whole list takes the place of what was known.
    void apply_list(std::vector<Entry::ServerEntry>, Entry::ListRevision, Core::MonotonicTime now);
    /// What a peer knew while the store was away from here, if it is newer: what the peer knows as gone is not waited
    /// for.
    void adopt(Entry::ServerList const&);
    void apply_entry(Entry::ServerEntry);
    void apply_removal(std::string const& instance, Core::MonotonicTime now);
    [[nodiscard]] Entry::ListRevision revision() const { return m_revision; }
    void set_revision(Entry::ListRevision revision) { m_revision = revision; }

    /// The store gave no answer.
    void note_store_lost() { m_is_store_lost = true; }
    /// The store answers; after it was lost, the settling time begins.
    void note_store_available(Core::MonotonicTime now);
    /// Drops what is still missing when the settling time is over, and says whether anything was dropped.
    bool settle(Core::MonotonicTime now);
    /// When settle() has something to do; nothing when it has not.
    [[nodiscard]] std::optional<Core::MonotonicTime> settles_at() const;

    [[nodiscard]] Entry::ServerList list() const;
    [[nodiscard]] bool is_empty() const { return m_entries.empty(); }

private:
    struct KnownServer {
        Entry::ServerEntry server;
        bool is_missing {false};
    };

    [[nodiscard]] bool is_settling(Core::MonotonicTime now) const { return m_settles_at && now < *m_settles_at; }

    std::map<std::string, KnownServer> m_entries;
    Entry::ListRevision m_revision;
    bool m_is_store_lost {false};
    std::optional<Core::MonotonicTime> m_settles_at;
};

}
