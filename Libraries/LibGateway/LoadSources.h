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

/// What others have said of the load of backend servers, kept by who said it and added up in the fleet's views. On the
/// gateway's thread; no I/O and no clock.
class LoadSources {
public:
    enum class ReportKind {
        /// Servers that are not named are as they were.
        Delta,
        /// Servers that are not named have nothing open.
        Full,
    };

    explicit LoadSources(BackendFleet& fleet)
        : m_fleet(fleet)
    {
    }

    /// Takes what a source says, unless something newer has come from it already; says whether it was taken.
    bool apply(std::uint64_t source, std::uint64_t sequence, ReportKind, LoadsByServer const&, Core::MonotonicTime now);
    void remove(std::uint64_t source);
    /// Forgets sources that have said nothing for `source_expiry`, and what they have not named for `entry_expiry`.
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
