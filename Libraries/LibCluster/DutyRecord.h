#pragma once

#include <LibCluster/UsageWindow.h>
#include <LibPlatform/Objects.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace GraniteField::Cluster {

/// A usage report that the holder stores before sending it, so that its successor sends an identical report or none.
struct RecordedReport {
    UsageReport report;
    /// Whether the recipient has confirmed the report.
    bool is_accepted {false};
};

/// The object in the platform's store that assigns a duty to one host at a time and holds the reports that this host is
/// about to send. Each write is conditional on the version that was read, so that the versions form a single chain.
struct DutyRecord {
    /// Maximum number of previous holders that are remembered.
    static constexpr std::size_t s_max_recent_holders = 8;

    /// Name and address of the holding host. The address distinguishes another host of the same name.
    std::string holder;
    /// The holder's incarnation.
    std::uint64_t term {0};
    /// Fencing token; increases with each change of holder. It is 0 in the write that changes the holder, where the
    /// version of that write is the token. The store never assigns a version twice, so two holders cannot share a
    /// token, even when an answer was lost or arrived late.
    std::uint64_t token {0};
    /// Incremented by each write, so that each write changes the object.
    std::uint64_t renewal {0};
    bool is_released {false};
    /// Previous holders, newest last. Each of them waits for a full lease before it acquires the duty again.
    std::vector<std::string> recent_holders;
    /// The last window whose report is recorded. Earlier windows without a report are never reported.
    UsageWindow recorded_through;
    /// The most recent reports.
    std::vector<RecordedReport> reports;

    [[nodiscard]] bool was_held_recently_by(std::string_view host) const
    {
        return std::ranges::find(recent_holders, host) != recent_holders.end();
    }

    /// Assigns the duty to another host.
    void hand_over(std::string host, std::uint64_t new_term)
    {
        if (!holder.empty() && holder != host)
            recent_holders.push_back(std::exchange(holder, host));
        holder = std::move(host);
        std::erase(recent_holders, holder);
        if (recent_holders.size() > s_max_recent_holders)
            recent_holders.erase(recent_holders.begin());
        term = new_term;
        token = 0;
        is_released = false;
    }
};

[[nodiscard]] Platform::Json encode_duty_record(DutyRecord const&);
/// Returns nullopt if the object has a different format.
[[nodiscard]] std::optional<DutyRecord> decode_duty_record(Platform::Json const&);

}
