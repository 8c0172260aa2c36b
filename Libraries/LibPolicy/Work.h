#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>

namespace GraniteField::Policy {

inline constexpr unsigned s_tier_count = 6;
/// Tier that may use the headroom.
inline constexpr unsigned s_urgent_tier = 1;

/// One attempt to run a request at one backend server.
struct AttemptKey {
    Core::RequestId request;
    Core::AttemptNumber attempt;

    auto operator<=>(AttemptKey const&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, AttemptKey const& key)
    {
        return Hash::combine(std::move(state), key.request, key.attempt);
    }
};

/// An attempt as the queue of a backend server sees it.
struct Work {
    AttemptKey key;
    /// From 1 (highest) to 6.
    unsigned tier {s_tier_count};
    std::string request_class;
    unsigned class_weight {1};
    unsigned floor_percent {0};
    /// Maximum number of waiting attempts of the class; 0 means no limit.
    unsigned class_queue_limit {0};
    std::string workspace;
    unsigned workspace_weight {1};
    /// Time by which the first token is due according to the class's target.
    Core::MonotonicTime target;
    /// Time at which the attempt is abandoned if it has not started.
    Core::MonotonicTime start_deadline;
    /// Whether to refuse the attempt once its target cannot be met.
    bool should_refuse_late {false};
    bool is_repeatable {true};
    /// Whether the attempt may be suspended for a higher tier. The backend server resumes it where it stopped.
    bool is_preemptible {false};
    /// Predicted slot time.
    Core::Milliseconds expected_service {0};
    /// Predicted time from the start to the first token.
    Core::Milliseconds expected_first_token {0};
};

/// Why an attempt is not queued, or is removed from the queue.
enum class Refusal {
    QueueFull,
    ClassQueueFull,
    Displaced,
    TargetOutOfReach,
    Deadline,
};

}
