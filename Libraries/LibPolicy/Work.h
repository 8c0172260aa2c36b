#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>

namespace GraniteField::Policy {

inline constexpr unsigned s_tier_count = 6;
/// The tier that may use the headroom.
inline constexpr unsigned s_urgent_tier = 1;

/// One attempt to run a request at one backend server.
struct WorkKey {
    Core::RequestId request;
    Core::AttemptNumber attempt;

    auto operator<=>(WorkKey const&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, WorkKey const& key)
    {
        return Hash::combine(std::move(state), key.request, key.attempt);
    }
};

/// What the queue of a backend server has to know of an attempt.
struct Work {
    WorkKey key;
    /// 1 (served first) to 6.
    unsigned tier {s_tier_count};
    std::string request_class;
    unsigned class_weight {1};
    unsigned floor_percent {0};
    /// Waiting attempts of the class; 0 sets no limit.
    unsigned class_queue_limit {0};
    std::string workspace;
    unsigned workspace_weight {1};
    /// When the first token is due by the class's target.
    Core::MonotonicTime target;
    /// When the request is given up on if it has not begun.
    Core::MonotonicTime give_up;
    /// Refuse it once its target is out of reach.
    bool should_refuse_late {false};
    bool is_repeatable {true};
    /// It may be suspended for a higher tier, since the backend server goes on with it where it stopped.
    bool is_preemptible {false};
    /// How long it will hold a slot, by past answers.
    Core::Milliseconds expected_service {0};
    /// From its start to its first token, by past answers.
    Core::Milliseconds expected_first_token {0};
};

/// Why an attempt is not taken, or not kept.
enum class Refusal {
    QueueFull,
    ClassQueueFull,
    Displaced,
    TargetOutOfReach,
    GaveUp,
};

}
