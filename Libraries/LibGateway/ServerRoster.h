#pragma once

#include <LibCore/Time.h>
#include <LibEntry/SharedServers.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace GraniteField::Gateway {

/// Maintains the list of backend servers from the lists and changes of the platform's store. During an outage of the
/// store, entries expire although their servers run. Where most entries of a service are missing right after a possible
/// outage, they stay listed for a settling time, in which running servers register again. Fewer missing servers are
/// removed at once, since a gateway whose watchers are silent cannot tell that from an outage of the store.
class ServerRoster {
public:
    /// Time after an outage of the store within which running servers register again.
    static constexpr Core::Milliseconds s_settling_time {2'000};

    /// Replaces all entries by a full list.
    void apply_list(std::vector<Entry::ServerEntry>, Entry::ListRevision, Core::MonotonicTime now);
    /// Applies the list of a peer that had access to the store during an outage, if it is newer and not provisional.
    /// Servers that are missing in it are removed at once.
    void adopt(Entry::ServerList const&);
    void apply_entry(Entry::ServerEntry);
    void apply_removal(std::string const& instance, Core::MonotonicTime now);
    [[nodiscard]] Entry::ListRevision revision() const { return m_revision; }
    /// Ends a batch of changes, up to that revision.
    void set_revision(Entry::ListRevision);

    /// The store did not answer, or may not have answered others.
    void note_store_lost() { m_is_store_lost = true; }
    /// The store answers. After an outage this starts the settling time.
    void note_store_available(Core::MonotonicTime now);
    /// Removes entries that are still missing at the end of the settling time. Returns whether any were removed.
    bool settle(Core::MonotonicTime now);
    /// End of the settling time; nothing outside of it.
    [[nodiscard]] std::optional<Core::MonotonicTime> settles_at() const;

    [[nodiscard]] Entry::ServerList list() const;
    /// Number of entries that are missing in the store and still listed.
    [[nodiscard]] std::size_t missing_count() const;
    [[nodiscard]] bool is_empty() const { return m_entries.empty(); }

private:
    struct KnownServer {
        Entry::ServerEntry server;
        bool is_missing {false};
    };

    [[nodiscard]] bool is_settling(Core::MonotonicTime now) const { return m_settles_at && now < *m_settles_at; }
    /// Adds the services of which most entries are missing now.
    void find_expired_services();
    [[nodiscard]] bool is_listed(KnownServer const&) const;

    std::map<std::string, KnownServer> m_entries;
    Entry::ListRevision m_revision;
    bool m_is_store_lost {false};
    std::optional<Core::MonotonicTime> m_settles_at;
    /// Services of which most entries were missing at once in this settling time.
    std::set<std::string> m_expired_services;
};

}
