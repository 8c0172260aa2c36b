#pragma once

#include <LibCore/RequestDigest.h>
#include <LibCore/Time.h>
#include <LibEntry/Call.h>
#include <LibGateway/Dialect.h>
#include <LibHTTP/RequestParser.h>
#include <LibTable/Table.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace GraniteField::Gateway {

/// A part of a prompt. Engines keep what they have read of a part when they kept all parts before it.
struct PromptPart {
    /// Hash of this part's id and of all before it, so that equal values mean equal beginnings.
    std::uint64_t chain {0};
    std::uint32_t tokens {0};
};

/// A caller's request with the rows of the table that hold for it.
struct RoutedRequest {
    /// As the caller sent it; may be empty.
    std::string id;
    HTTP::RequestHead head;
    std::string body;

    /// Keeps the rows below alive.
    std::shared_ptr<Table::Table const> table;
    Table::Route const* route {nullptr};
    Table::RequestClass const* request_class {nullptr};
    /// Empty where the route needs no key.
    std::string workspace;
    std::string service;
    unsigned tier {Table::s_lowest_tier};
    /// Rank at the engine, from 0: by the tier, and among equal ones by the class's own.
    unsigned priority {0};

    Core::MonotonicTime received;
    /// By then the caller has a final answer.
    Core::MonotonicTime deadline;
    /// By then the caller is gone; unset when it did not say.
    std::optional<Core::MonotonicTime> caller_deadline;

    std::vector<PromptPart> prompt;
    std::uint32_t prompt_tokens {0};
    std::uint32_t max_output_tokens {0};

    /// What makes it the same request as one that came before. Drawn when it is first asked for, which most requests
    /// never are.
    [[nodiscard]] Core::RequestDigest const& digest() const
    {
        if (!cached_digest)
            cached_digest = Core::RequestDigest::of(head.target, workspace, body);
        return *cached_digest;
    }
    mutable std::optional<Core::RequestDigest> cached_digest;

    [[nodiscard]] bool is_stream() const { return route->answer == Table::AnswerKind::EventStream; }
    /// Whether it may run again after it may have run.
    [[nodiscard]] bool is_repeatable() const
    {
        if (is_stream())
            return route->continuation == Table::Continuation::Yes;
        return route->repetition == Table::Repetition::Allowed;
    }
};

/// The parts of the prompt that other requests share: all but the last, which belongs to the request or its session.
[[nodiscard]] std::span<PromptPart const> shared_parts(RoutedRequest const&);

/// Tokens of the last part.
[[nodiscard]] std::uint32_t own_tokens(RoutedRequest const&);

/// How long the caller waits in all, as it says; nothing where it does not say.
[[nodiscard]] std::optional<Core::Milliseconds> caller_timeout(HTTP::RequestHead const&, Dialect const&);

/// Binds a request to the table, or gives the answer that refuses it. `table` is null before the first one.
[[nodiscard]] std::variant<RoutedRequest, Entry::ErrorAnswer> route_request(HTTP::RequestHead, std::string body,
    std::shared_ptr<Table::Table const> table, Dialect const&, Core::MonotonicTime received);

}
