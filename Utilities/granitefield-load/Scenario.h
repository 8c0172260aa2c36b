#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace GraniteField::Load {

/// A span of time in which a class asks for more, or less, than usual.
struct Phase {
    Core::Milliseconds from {0};
    Core::Milliseconds to {0};
    double factor {1};
};

/// The requests of one class.
struct Stream {
    std::string request_class;
    /// Requests a second without any phase; arrivals are Poisson.
    double per_second {1};
    std::vector<Phase> phases;
    /// Workspaces that ask, and how unequal they are: shares fall as 1/rank^skew.
    unsigned workspaces {1};
    double skew {0};
    /// Answer lengths are log-normal: the router does not know them in advance.
    double median_tokens {30};
    double sigma {0};
    unsigned most_tokens {1000};
    /// Prompts share one of so many prefixes of this size.
    unsigned prefixes {1};
    unsigned prefix_bytes {400};
    /// What counts as attained, from the time at which the request was meant to be sent.
    Core::Milliseconds first_token_target {1000};
    /// How often a refused request comes back, when it is told to.
    unsigned returns {0};
    /// A plain service's path instead of a completion; empty for completions.
    std::string service_path;
};

/// What is offered to the entries. Read from JSON; docs/OPERATIONS.md describes the file.
struct Scenario {
    std::string name;
    Core::Milliseconds length {10'000};
    /// Requests that are sent in this time at the beginning are not counted.
    Core::Milliseconds warm_up {0};
    std::string model;
    /// The key of workspace number n is this text with n behind it.
    std::string key_prefix {"load-key-"};
    std::vector<Stream> streams;
};

/// Throws Core::InvalidInput with everything that is wrong.
[[nodiscard]] Scenario parse_scenario(std::string_view json);

}
