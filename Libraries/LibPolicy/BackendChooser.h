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

/// State of a backend server as an entry knows it: the last load report and the attempts sent since.
struct BackendView {
    /// Name of the backend server, hashed for rendezvous hashing.
    std::string_view name;
    unsigned slots {1};
    unsigned running {0};
    unsigned headroom_slots {0};
    std::array<unsigned, s_tier_count> waiting_by_tier {};
    /// Attempts of this entry that no load report includes yet.
    std::array<unsigned, s_tier_count> sent_by_tier {};
    /// Number of open attempts of this entry at the server.
    unsigned open {0};
    Core::Milliseconds mean_service {0};
    Core::Milliseconds mean_first_token {0};
};

/// Properties of the request that the choice depends on.
struct ChoiceQuery {
    unsigned tier {s_tier_count};
    /// Hash of the prompt's prefix; 0 if prefix caching is not considered.
    std::uint64_t prefix_hash {0};
    /// Size of the prompt, in bytes. The cost of a cache miss is proportional to it.
    std::size_t prompt_bytes {0};
};

/// Strategy for the choice of a backend server. `choose` returns an index into the candidates, which are never empty.
template <typename Candidate>
concept BackendChooser = requires(Candidate chooser, ChoiceQuery const& query, std::span<BackendView const> candidates)
{
    {
        chooser.choose(query, candidates)
        } -> std::same_as<std::size_t>;
};

/// Predicted wait of a new attempt of the tier at the backend server.
[[nodiscard]] Core::Microseconds predicted_wait(BackendView const&, unsigned tier);

/// Chooses the backend server with the earliest predicted first token. The server that has probably cached the prefix
/// is preferred by the predicted cost of a cache miss.
class PredictedWaitChooser {
public:
    explicit PredictedWaitChooser(Core::Milliseconds missed_prefix_cost_per_kilobyte)
        : m_missed_prefix_cost_per_kilobyte(missed_prefix_cost_per_kilobyte)
    {
    }

    [[nodiscard]] std::size_t choose(ChoiceQuery const&, std::span<BackendView const>);

private:
    Core::Milliseconds m_missed_prefix_cost_per_kilobyte;
    std::uint64_t m_rotation {0};
};

/// Baseline: round robin.
class RoundRobinChooser {
public:
    [[nodiscard]] std::size_t choose(ChoiceQuery const&, std::span<BackendView const> candidates)
    {
        return m_rotation++ % candidates.size();
    }

private:
    std::uint64_t m_rotation {0};
};

/// Baseline: the server with the fewest open attempts of this entry.
class LeastOutstandingChooser {
public:
    [[nodiscard]] std::size_t choose(ChoiceQuery const&, std::span<BackendView const>);

private:
    std::uint64_t m_rotation {0};
};

}
