#pragma once

#include <LibCore/Time.h>
#include <LibEntry/SharedServers.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace GraniteField::Gateway {

/// Maintains the list of backend servers from the lists and changes of the platform's store. During an outage of the
/// store, entries expire although their servers run. Entries that are missing right after the outage stay listed for a
/// settling time, in which running servers register again.
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
    void set_revision(Entry::ListRevision revision) { m_revision = revision; }

    /// The store did not answer.
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

    std::map<std::string, KnownServer> m_entries;
    Entry::ListRevision m_revision;
    bool m_is_store_lost {false};
    std::optional<Core::MonotonicTime> m_settles_at;
};

}
