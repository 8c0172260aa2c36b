#pragma once

#include <LibCore/Time.h>
#include <LibGateway/BackendFleet.h>
#include <LibGateway/LoadAggregator.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Gateway {

/// Keeps the loads of backend servers that other gateways report, by source, and adds them to the views of the fleet.
/// On the gateway's thread; no I/O and no clock.
class LoadSources {
public:
    enum class ReportKind {
        /// Servers that are not listed are unchanged.
        Delta,
        /// Servers that are not listed have no load.
        Full,
    };

    explicit LoadSources(BackendFleet& fleet)
        : m_fleet(fleet)
    {
    }

    /// Applies a report of a source. Returns false, and ignores it, if its sequence number is not newer than the last
    /// one.
    bool apply(std::uint64_t source, std::uint64_t sequence, ReportKind, LoadsByServer const&, Core::MonotonicTime now);
    void remove(std::uint64_t source);
    /// Removes sources without a report for `source_expiry`, and entries that were not reported for `entry_expiry`.
    void remove_silent(Core::MonotonicTime now, Core::Milliseconds source_expiry, Core::Milliseconds entry_expiry);

private:
    struct Entry {
        std::shared_ptr<BackendView> server;
        ServerLoad load;
        Core::MonotonicTime received_at;
    };

    struct Source {
        std::uint64_t sequence {0};
        Core::MonotonicTime received_at;
        absl::flat_hash_map<std::uint64_t, Entry> entries;
    };

    void set(Source&, std::uint64_t server, ServerLoad const&);
    static void remove_loads(Source&);

    BackendFleet& m_fleet;
    std::map<std::uint64_t, Source> m_sources;
};

}
