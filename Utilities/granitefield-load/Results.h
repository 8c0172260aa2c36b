#pragma once

#include "Scenario.h"

#include <LibObserve/Metrics.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace GraniteField::Load {

/// What became of one request.
struct CallResult {
    std::size_t stream {0};
    /// When it was meant to be sent, from the start of the run.
    Core::Microseconds intended {0};
    /// From then to the first token; zero without one.
    Core::Microseconds first_token {0};
    /// Between tokens.
    std::vector<Core::Microseconds> gaps;
    Core::Microseconds duration {0};
    /// `done`, `not-run`, `unknown`, `cut`, or `failed` when there was no answer in HTTP.
    std::string outcome;
    unsigned wanted_tokens {0};
    unsigned got_tokens {0};
    unsigned tries {0};
    /// The answer had all of its own tokens and nothing else.
    bool is_own_and_whole {false};
};

/// The results of one class, summed up.
class ClassResults {
public:
    explicit ClassResults(Stream const& stream)
        : m_stream(stream)
    {
    }

    void add(CallResult const&);
    [[nodiscard]] nlohmann::json to_json(Core::Milliseconds counted) const;

private:
    struct Second {
        std::uint64_t offered {0};
        std::uint64_t attained {0};
    };

    Stream const& m_stream;
    std::map<std::string, std::uint64_t> m_outcomes;
    std::map<std::int64_t, Second> m_seconds;
    std::uint64_t m_offered {0};
    std::uint64_t m_attained {0};
    std::uint64_t m_useful_tokens {0};
    std::uint64_t m_tries {0};
    std::uint64_t m_foreign {0};
    Observe::Distribution m_first_token;
    Observe::Distribution m_gap;
    Observe::Distribution m_duration;
};

/// The results of a run by class, as JSON.
[[nodiscard]] nlohmann::json summarize(Scenario const&, std::vector<CallResult> const&);

/// A line for each class, for a spreadsheet.
[[nodiscard]] std::string to_csv(nlohmann::json const& results);

/// Attainment of each class over time, as a picture that stands for itself.
[[nodiscard]] std::string to_svg(nlohmann::json const& results);

/// Two sets of runs side by side: the mean of each figure, and its least and largest.
[[nodiscard]] std::string compare(std::vector<nlohmann::json> const& before, std::vector<nlohmann::json> const& after);

}
