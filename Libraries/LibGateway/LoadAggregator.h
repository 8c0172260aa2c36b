#pragma once

#include <LibCore/Time.h>
#include <LibGateway/BackendView.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace GraniteField::Gateway {

/// Loads by the id of their backend server; what is not named has nothing open.
using LoadsByServer = absl::flat_hash_map<std::uint64_t, ServerLoad>;

/// What the gateways that report to a relay have open, and its sum for each backend server. No I/O and no clock.
class LoadAggregator {
public:
    /// A gateway that is silent for this long has stopped, or reports to another relay. It reports each 100 ms.
    static constexpr Core::Milliseconds s_report_expiry {600};

    struct Report {
        std::uint64_t sequence {0};
        Core::MonotonicTime received_at;
        /// Where it came from; empty for the relay's own.
        std::string address;
        LoadsByServer loads;
    };

    /// Takes a gateway's report in place of its one before, and says whether it is newer.
    bool update(std::uint64_t gateway, Report);
    /// Drops gateways that are silent, and returns who they were.
    std::vector<std::uint64_t> remove_silent(Core::MonotonicTime now);

    /// Sums of the servers whose load has changed since the last call.
    [[nodiscard]] LoadsByServer take_changes();
    [[nodiscard]] bool has_changes() const { return !m_changed.empty(); }
    /// All sums.
    [[nodiscard]] LoadsByServer const& sums() const { return m_sums; }
    [[nodiscard]] absl::flat_hash_map<std::uint64_t, Report> const& reports() const { return m_reports; }
    /// The last sequence taken of that gateway; 0 if there is none.
    [[nodiscard]] std::uint64_t last_sequence_of(std::uint64_t gateway) const;

private:
    void replace_loads(LoadsByServer const& before, LoadsByServer const& now);
    void update_sum(std::uint64_t server, ServerLoad const& before, ServerLoad const& now);

    absl::flat_hash_map<std::uint64_t, Report> m_reports;
    LoadsByServer m_sums;
    absl::flat_hash_set<std::uint64_t> m_changed;
};

}
