#pragma once

#include <LibCluster/SharedQuarantine.h>
#include <LibCore/Time.h>
#include <LibObserve/EventLog.h>
#include <LibPlatform/Objects.h>

#include <algorithm>
#include <deque>
#include <string>

#include <absl/container/flat_hash_set.h>

namespace GraniteField::Cluster {

/// Keeps quarantined requests in the platform's store, one object each, so that they are known after all gateways have
/// lost power at one moment: gateways tell each other only as long as one of them lives. The few gateways that watch
/// the store read it once and write; the others hear of it from these. For the thread that calls step().
template <typename Store>
class QuarantineKeeper {
public:
    static constexpr std::string_view s_kind = "granitefield-quarantine";
    /// Between two looks; a quarantine stands in the store about so long after it was concluded.
    static constexpr Core::Milliseconds s_interval {1'000};
    /// After a call that failed: it doubles up to the longest.
    static constexpr Core::Milliseconds s_min_backoff {250};
    static constexpr Core::Milliseconds s_max_backoff {4'000};

    QuarantineKeeper(SharedQuarantine& shared, Store& store, Observe::EventLog& log)
        : m_shared(shared)
        , m_store(store)
        , m_log(log)
    {
    }

    /// Whether this gateway is among the few that watch the store.
    void set_watching(bool value) { m_is_watching = value; }

    /// Does what is due, and says when to look again.
    Core::Milliseconds step()
    {
        std::ranges::move(m_shared.take_changes(), std::back_inserter(m_changes));
        // The watchers do it; this one may become one of them.
        if (!m_is_watching) {
            m_changes.clear();
            return s_interval;
        }
        try {
            load();
            while (!m_changes.empty()) {
                write(m_changes.front());
                m_changes.pop_front();
            }
            m_backoff = s_min_backoff;
            return s_interval;
        } catch (Platform::PlatformUnavailable const& error) {
            m_log.write(Observe::LogEvent("quarantine-store-lost").add("reason", error.what()));
            return std::exchange(m_backoff, std::min(m_backoff * 2, s_max_backoff));
        }
    }

    /// Nothing is held beyond the process.
    void release() { }

private:
    void load()
    {
        if (m_has_loaded)
            return;
        std::vector<Core::RequestDigest> digests;
        for (auto const& object : m_store.list(s_kind).objects) {
            if (auto const digest = Core::RequestDigest::from_string(object.name))
                digests.push_back(*digest);
        }
        m_stored.insert(digests.begin(), digests.end());
        m_shared.add_loaded(digests);
        m_has_loaded = true;
    }

    void write(QuarantineChange const& change)
    {
        auto const name = change.digest.to_string();
        if (change.kind == QuarantineChange::Kind::Removed) {
            m_store.remove(s_kind, name);
            m_stored.erase(change.digest);
            return;
        }
        if (m_stored.contains(change.digest))
            return;
        try {
            m_store.create(s_kind, name, {{"quarantined", true}});
        } catch (Platform::VersionConflict const&) {
            // Another watcher was first, or a lost answer hid that it was done.
        }
        m_stored.insert(change.digest);
    }

    SharedQuarantine& m_shared;
    Store& m_store;
    Observe::EventLog& m_log;
    bool m_is_watching {false};
    bool m_has_loaded {false};
    std::deque<QuarantineChange> m_changes;
    absl::flat_hash_set<Core::RequestDigest> m_stored;
    Core::Milliseconds m_backoff {s_min_backoff};
};

}
