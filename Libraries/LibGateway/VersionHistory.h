#pragma once

#include <LibCore/Time.h>
#include <LibEntry/SharedServers.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace GraniteField::Gateway {

/// Software versions that the servers of one service had in a period that ends now.
struct RecentVersions {
    std::set<std::string> versions;
    /// Whether the servers were known throughout the period.
    bool is_complete {false};
};

/// Remembers which software versions the servers of each service have had. No I/O and no clock.
class VersionHistory {
public:
    /// Time for which a version is remembered after its last server has left the list.
    static constexpr Core::Milliseconds s_retention {600'000};

    /// Records a list of servers, which replaces the one before.
    void apply(Entry::ServerList const&, Core::MonotonicTime now);
    /// Records that the version has served until recently, without a list.
    void note_served(std::string const& service, std::string const& version, Core::MonotonicTime now);

    [[nodiscard]] RecentVersions recent(
        std::string const& service, Core::Milliseconds period, Core::MonotonicTime now) const;
    /// Whether a stream of the service may have begun at more than one version.
    [[nodiscard]] bool has_several(std::string const& service, Core::MonotonicTime now) const
    {
        return recent(service, s_retention, now).versions.size() > 1;
    }

private:
    struct Listing {
        bool is_listed {false};
        Core::MonotonicTime last_listed;
    };

    std::map<std::string, std::map<std::string, Listing>> m_services;
    std::optional<Core::MonotonicTime> m_first_list;
};

}
