#pragma once

#include "BackoffJudge.h"
#include "LeavingJudge.h"
#include "RateLimitJudge.h"

#include <LibCore/Time.h>

#include <iterator>
#include <string>
#include <vector>

namespace GraniteField::Testing {

/// The judges of all that backend servers state about themselves.
struct SignalJudges {
    explicit SignalJudges(Core::Milliseconds contact_time = Core::Milliseconds(3'000),
        Core::Milliseconds leave_bound = Core::Milliseconds(2'000))
        : limits(contact_time)
        , leaving(leave_bound)
    {
    }

    void note_restart(std::string const& gateway, Core::MonotonicTime now)
    {
        limits.note_restart(gateway, now);
        leaving.note_excuse(gateway, now);
        backoffs.note_disturbance(gateway, now, now);
    }

    void note_freeze(std::string const& gateway, Core::MonotonicTime begin, Core::MonotonicTime end)
    {
        limits.note_disturbance(gateway, begin, end);
        leaving.note_excuse(gateway, end);
        backoffs.note_disturbance(gateway, begin, end);
    }

    /// The gateway was parted from the store or from its peers.
    void note_cut(std::string const& gateway, Core::MonotonicTime begin, Core::MonotonicTime end)
    {
        limits.note_disturbance(gateway, begin, end);
        backoffs.note_disturbance(gateway, begin, end);
    }

    [[nodiscard]] std::vector<std::string> findings() const
    {
        auto all = limits.findings();
        std::ranges::move(leaving.findings(), std::back_inserter(all));
        std::ranges::move(backoffs.findings(), std::back_inserter(all));
        return all;
    }

    RateLimitJudge limits;
    LeavingJudge leaving;
    BackoffJudge backoffs;
};

}
