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
    enum class Extent {
        /// Servers that are not named are as they were.
        Changes,
        /// Servers that are not named have nothing open.
        Whole,
    };

    explicit LoadSources(BackendFleet& fleet)
        : m_fleet(fleet)
    {
    }

    /// Takes what a source says, unless something newer has come from it already; says whether it was taken.
    bool take(std::uint64_t source, std::uint64_t sequence, Extent, LoadsByServer const&, Core::MonotonicTime now);
    void forget(std::uint64_t source);
    /// Forgets sources that have said nothing for `source_memory`, and what they have not named for `entry_memory`.
    void forget_silent(Core::MonotonicTime now, Core::Milliseconds source_memory, Core::Milliseconds entry_memory);

private:
    struct Entry {
        std::shared_ptr<BackendView> server;
        ServerLoad load;
        Core::MonotonicTime heard;
    };

    struct Source {
        std::uint64_t sequence {0};
        Core::MonotonicTime heard;
        absl::flat_hash_map<std::uint64_t, Entry> entries;
    };

    void set(Source&, std::uint64_t server, ServerLoad const&);
    static void withdraw(Source&);

    BackendFleet& m_fleet;
    std::map<std::uint64_t, Source> m_sources;
};

}
