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

/// Loads by the id of the backend server; servers without an entry have no load.
using LoadsByServer = absl::flat_hash_map<std::uint64_t, ServerLoad>;

/// Sums up, for each backend server, the loads that gateways report to a relay. No I/O and no clock.
class LoadAggregator {
public:
    /// Time without a report after which a gateway's loads are dropped: it has stopped or reports to another relay.
    /// Reports come every 100 ms.
    static constexpr Core::Milliseconds s_report_expiry {600};

    struct Report {
        std::uint64_t sequence {0};
        Core::MonotonicTime received_at;
        /// Address of the sender; empty for the relay's own report.
        std::string address;
        LoadsByServer loads;
    };

    /// Replaces the previous report of the gateway. Returns false for an outdated one, which is ignored.
    bool update(std::uint64_t gateway, Report);
    /// Removes gateways whose report has expired, and returns their ids.
    std::vector<std::uint64_t> remove_silent(Core::MonotonicTime now);

    /// Returns the sums of servers that have changed since the last call.
    [[nodiscard]] LoadsByServer take_changes();
    [[nodiscard]] bool has_changes() const { return !m_changed.empty(); }
    [[nodiscard]] LoadsByServer const& sums() const { return m_sums; }
    [[nodiscard]] absl::flat_hash_map<std::uint64_t, Report> const& reports() const { return m_reports; }
    /// Sequence number of the last report of that gateway; 0 if there is none.
    [[nodiscard]] std::uint64_t last_sequence_of(std::uint64_t gateway) const;

private:
    void replace_loads(LoadsByServer const& before, LoadsByServer const& now);
    void update_sum(std::uint64_t server, ServerLoad const& before, ServerLoad const& now);

    absl::flat_hash_map<std::uint64_t, Report> m_reports;
    LoadsByServer m_sums;
    absl::flat_hash_set<std::uint64_t> m_changed;
};

}
