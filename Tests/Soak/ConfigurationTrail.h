#pragma once

#include <LibCore/Time.h>

#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Testing {

/// What one version of the configuration says, as far as callers can see it.
struct ConfigurationFacts {
    unsigned version {0};
    /// Path prefixes that have a route.
    std::set<std::string> paths;
    std::set<std::string> keys;
    /// Where the route that moves leads to.
    std::string moving_to;
};

/// What a caller saw of the configuration at a gateway, by one request.
struct Sighting {
    enum class Kind {
        Path,
        Key,
        Service,
    };
    Kind kind {Kind::Path};
    /// The path or key that was asked with, or the service that answered.
    std::string name;
    /// Whether the gateway knew the path or key.
    bool is_known {true};
    Core::MonotonicTime sent;
    Core::MonotonicTime answered;
};

/// The versions of the configuration that were sent to the store, in their order, and which of them a gateway may go
/// by. Any thread.
class ConfigurationTrail {
public:
    void note_sent(ConfigurationFacts, Core::MonotonicTime now);
    void note_acknowledged(unsigned version, Core::MonotonicTime now);

    /// The oldest version that a request sent at that moment may be handled by, when each holds `bound` after its
    /// acknowledgement.
    [[nodiscard]] unsigned oldest_in_force(Core::MonotonicTime sent, Core::Milliseconds bound) const;
    /// The oldest and the newest version from `oldest` on that the sighting agrees with; nothing if there is none.
    [[nodiscard]] std::optional<std::pair<unsigned, unsigned>> versions_of(Sighting const&, unsigned oldest) const;
    /// How long ago the version was acknowledged.
    [[nodiscard]] Core::Milliseconds age(unsigned version, Core::MonotonicTime now) const;

private:
    struct Step {
        ConfigurationFacts facts;
        Core::MonotonicTime sent;
        std::optional<Core::MonotonicTime> acknowledged;
    };

    [[nodiscard]] static bool agrees(ConfigurationFacts const&, Sighting const&);

    mutable std::mutex m_mutex;
    std::vector<Step> m_steps;
};

}
