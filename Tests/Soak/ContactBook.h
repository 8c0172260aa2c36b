#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace GraniteField::Testing {

/// Which gateways are in touch, by the users' rule: a bound in time holds for a gateway that ran undisturbed with a
/// path to the store for the whole contact time, while the store was stable for as long. A store that is unstable and
/// neither down nor slow only stretches the bound. Any thread.
class ContactBook {
public:
    struct Settings {
        Core::Milliseconds contact_time {4'000};
        /// By how much an unstable store lengthens a bound at most.
        Core::Milliseconds longest_stretch {6'000};
    };

    enum class StoreTrouble {
        /// Watches are held or cut, its history is forgotten.
        Unstable,
        /// Down, slow, or answers are lost.
        Away,
    };

    ContactBook(Settings settings, std::size_t gateways)
        : m_settings(settings)
        , m_gateways(gateways)
    {
    }

    /// A disturbance of a gateway, of its links or of its way to the store begins; the number ends it.
    std::size_t begin_gateway(std::size_t gateway, std::string what, Core::MonotonicTime now);
    void end_gateway(std::size_t gateway, std::size_t number, Core::MonotonicTime now);
    std::size_t begin_store(StoreTrouble, std::string what, Core::MonotonicTime now);
    void end_store(std::size_t number, Core::MonotonicTime now);

    /// By how much a bound is stretched for the gateway at that moment; nothing while it is not in touch. `until` is
    /// when what is judged was over: nothing may have begun by then either.
    [[nodiscard]] std::optional<Core::Milliseconds> stretch(
        std::size_t gateway, Core::MonotonicTime at, Core::MonotonicTime until) const;
    /// Whether the gateway ran undisturbed with a path to the store; the store itself is left out.
    [[nodiscard]] bool is_undisturbed(std::size_t gateway, Core::MonotonicTime at, Core::MonotonicTime until) const;
    /// What disturbed the gateway, and the store, since that moment, for a report.
    [[nodiscard]] std::string describe(std::size_t gateway, Core::MonotonicTime since) const;

private:
    struct Trouble {
        std::string what;
        Core::MonotonicTime begin;
        Core::MonotonicTime end {Core::MonotonicTime::max()};
        StoreTrouble kind {StoreTrouble::Unstable};
    };
    using Troubles = std::vector<Trouble>;

    [[nodiscard]] bool has_touched(Trouble const&, Core::MonotonicTime at, Core::MonotonicTime until) const;

    Settings m_settings;
    mutable std::mutex m_mutex;
    std::vector<Troubles> m_gateways;
    Troubles m_store;
};

}
