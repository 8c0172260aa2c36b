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

/// Stores quarantined requests in the platform's store, one object each, so that they survive a simultaneous power loss
/// of all gateways: gateways keep them in memory only. The few gateways that watch the store read it once and write to
/// it, and inform the other gateways. Used by the thread that calls step().
template <typename Store>
class QuarantineKeeper {
public:
    static constexpr std::string_view s_kind = "granitefield-quarantine";
    /// Time between two steps, and roughly the delay until a new quarantine is stored.
    static constexpr Core::Milliseconds s_interval {1'000};
    /// Delay after a failed call; it doubles up to the maximum.
    static constexpr Core::Milliseconds s_min_backoff {250};
    static constexpr Core::Milliseconds s_max_backoff {4'000};

    QuarantineKeeper(SharedQuarantine& shared, Store& store, Observe::EventLog& log)
        : m_shared(shared)
        , m_store(store)
        , m_log(log)
    {
    }

    /// Sets whether this gateway is one of the few that watch the store.
    void set_watching(bool value) { m_is_watching = value; }

    /// Performs the pending calls and returns the time until the next step.
    Core::Milliseconds step()
    {
        std::ranges::move(m_shared.take_changes(), std::back_inserter(m_changes));
        // Discards the changes, which the watching gateways store. This gateway may become one of them later.
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

    /// Does nothing, since the keeper holds no lease.
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
            // Another watcher has created the object, or an earlier call succeeded without an answer.
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
