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

/// A report that is written down before it is sent, so that whoever holds the duty next sends the same or nothing.
struct RecordedReport {
    UsageReport report;
    /// The recipient has said that it took it.
    bool is_accepted {false};
};

/// The one object in the platform's store that gives a duty to one host at a time, and holds what that host is about to
/// send. It is only written under the version that was read, so that its versions form one chain.
struct DutyRecord {
    /// Holders before the present one that are remembered.
    static constexpr std::size_t s_max_recent_holders = 8;

    /// The host that holds the duty: its name and address, since another host may come under the same name.
    std::string holder;
    /// The holder's incarnation.
    std::uint64_t term {0};
    /// Rises with each change of holder; 0 in the write that changes it, whose version is the token: the store gives
    /// no version twice, so that no two holders can have the same one, also when an answer was lost or came late.
    std::uint64_t token {0};
    /// Rises with each write, so that each one changes the object.
    std::uint64_t renewal {0};
    bool is_released {false};
    /// Holders before, the newest last. One of them waits for a whole lease before it follows again.
    std::vector<std::string> recent_holders;
    /// Windows up to this one are recorded, or will never be.
    UsageWindow recorded_through;
    /// The newest ones.
    std::vector<RecordedReport> reports;

    [[nodiscard]] bool was_held_recently_by(std::string_view host) const
    {
        return std::ranges::find(recent_holders, host) != recent_holders.end();
    }

    /// Another host follows.
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
/// Nothing where the object has another form.
[[nodiscard]] std::optional<DutyRecord> decode_duty_record(Platform::Json const&);

}
