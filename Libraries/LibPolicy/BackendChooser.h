#pragma once

#include <LibCore/Hashing.h>
#include <LibCore/Time.h>
#include <LibPolicy/Work.h>

#include <array>
#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace GraniteField::Policy {

/// What an entry knows of a backend server: its last load report, and what was sent there since.
struct BackendView {
    /// The backend server's name; it seeds the rendezvous hash.
    std::string_view name;
    unsigned slots {1};
    unsigned running {0};
    unsigned headroom_slots {0};
    std::array<unsigned, s_tier_count> waiting_by_tier {};
    /// Sent by this entry and not yet part of a load report.
    std::array<unsigned, s_tier_count> sent_by_tier {};
    /// Open attempts of this entry there.
    unsigned open {0};
    Core::Milliseconds mean_service {0};
    Core::Milliseconds mean_first_token {0};
};

/// What the choice needs to know of the request.
struct ChoiceQuery {
    unsigned tier {s_tier_count};
    /// Hash of the prompt's prefix; 0 when a warm cache does not matter.
    std::uint64_t prefix_hash {0};
    /// Size of the prompt; what a cold cache costs grows with it.
    std::size_t prompt_bytes {0};
};

/// A way to choose one of several backend servers. `choose` gives an index into the candidates, which
/// are never empty.
template <typename Candidate>
concept BackendChooser = requires(Candidate chooser, ChoiceQuery const& query, std::span<BackendView const> candidates)
{
    {
        chooser.choose(query, candidates)
        } -> std::same_as<std::size_t>;
};

/// How long an attempt of the tier would wait at the backend server.
[[nodiscard]] Core::Microseconds predicted_wait(BackendView const&, unsigned tier);

/// The backend server where the first token is expected soonest, with a preference for the one that has
/// probably seen the prefix: worth the time that a missed prefix costs, and no more.
class PredictedWaitChooser {
public:
    explicit PredictedWaitChooser(Core::Milliseconds missed_prefix_cost_per_kilobyte)
        : m_missed_prefix_cost_per_kilobyte(missed_prefix_cost_per_kilobyte)
    {
    }

    [[nodiscard]] std::size_t choose(ChoiceQuery const&, std::span<BackendView const>);

private:
    Core::Milliseconds m_missed_prefix_cost_per_kilobyte;
    std::uint64_t m_turn {0};
};

/// Baseline: each in turn.
class RoundRobinChooser {
public:
    [[nodiscard]] std::size_t choose(ChoiceQuery const&, std::span<BackendView const> candidates)
    {
        return m_turn++ % candidates.size();
    }

private:
    std::uint64_t m_turn {0};
};

/// Baseline: the one with the fewest open attempts of this entry.
class LeastOutstandingChooser {
public:
    [[nodiscard]] std::size_t choose(ChoiceQuery const&, std::span<BackendView const>);

private:
    std::uint64_t m_turn {0};
};

}
