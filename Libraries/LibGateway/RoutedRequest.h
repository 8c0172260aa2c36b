#pragma once

#include <LibCore/RequestDigest.h>
#include <LibCore/Time.h>
#include <LibEntry/Call.h>
#include <LibGateway/Dialect.h>
#include <LibGateway/RequestBody.h>
#include <LibHTTP/RequestParser.h>
#include <LibPolicy/CrashFacts.h>
#include <LibTable/Table.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace GraniteField::Gateway {

/// One part of a prompt. An engine can reuse a cached part only if all parts before it are cached as well.
struct PromptPart {
    /// Hash of the ids of this part and of all parts before it; equal values mean equal prefixes.
    std::uint64_t prefix_hash {0};
    std::uint32_t tokens {0};
};

/// A caller's request with the table rows that apply to it.
struct RoutedRequest {
    /// As the caller sent it; may be empty.
    std::string id;
    HTTP::RequestHead head;
    /// Released once the request cannot be sent again.
    RequestBody body;

    /// Keeps the rows below alive.
    std::shared_ptr<Table::Table const> table;
    Table::Route const* route {nullptr};
    Table::RequestClass const* request_class {nullptr};
    /// Empty if the route needs no key.
    std::string workspace;
    std::string service;
    unsigned tier {Table::s_lowest_tier};
    /// Priority at the engine, 0 being the most urgent: by tier, then by the tier of the request class.
    unsigned priority {0};

    Core::MonotonicTime received;
    /// Time by which the caller must have its final response.
    Core::MonotonicTime deadline;
    /// Time at which the caller stops waiting; unset if the request does not state it.
    std::optional<Core::MonotonicTime> caller_deadline;

    /// Software version of the server that began the stream, which every further server of it must have. Unset before
    /// the first event.
    std::optional<std::string> stream_version;

    std::vector<PromptPart> prompt;
    std::uint32_t prompt_tokens {0};
    std::uint32_t max_output_tokens {0};

    /// Returns a digest that is equal for repetitions of the same request. Computed on demand, since most requests
    /// never need it, but before the body is released.
    [[nodiscard]] Core::RequestDigest const& digest() const
    {
        if (!cached_digest)
            cached_digest = Core::RequestDigest::of(head.target, workspace, body.text());
        return *cached_digest;
    }
    mutable std::optional<Core::RequestDigest> cached_digest;
    /// Digests of the parts of the prompt that other requests share, computed on demand by crash_identity().
    mutable std::optional<std::vector<Core::RequestDigest>> cached_part_digests;

    [[nodiscard]] bool is_stream() const { return route->answer == Table::AnswerKind::EventStream; }
    /// Whether the caller has received a part of the stream and asks for the rest.
    [[nodiscard]] bool is_resumption(Dialect const& dialect) const
    {
        bool const names_stream = head.fields.find(dialect.resumes) != nullptr;
        // Event streams have an empty id before the first event (WHATWG HTML, section 9.2).
        return is_stream() && (names_stream || !head.fields.value_or(dialect.last_event_id, "").empty());
    }
    /// Whether the request may be sent again after it may have run.
    [[nodiscard]] bool is_repeatable() const
    {
        if (is_stream())
            return route->continuation == Table::Continuation::Yes;
        return route->repetition == Table::Repetition::Allowed;
    }
};

/// Returns the parts of the prompt that other requests share: all but the last, which belongs to the request or its
/// session.
[[nodiscard]] std::span<PromptPart const> shared_parts(RoutedRequest const&);

/// Returns the ids of the parts of the prompt that other requests share, as the caller wrote them.
[[nodiscard]] std::vector<std::string> shared_part_ids(RoutedRequest const&, Dialect const&);

/// Returns what crashes of servers with this request are attributed to.
[[nodiscard]] Policy::CrashIdentity crash_identity(RoutedRequest const&, Dialect const&);

/// Returns the number of tokens in the last part.
[[nodiscard]] std::uint32_t own_tokens(RoutedRequest const&);

/// Returns the total time that the caller waits, or nullopt if the request does not state it.
[[nodiscard]] std::optional<Core::Milliseconds> read_caller_timeout(HTTP::RequestHead const&, Dialect const&);

/// Returns the request with its table rows, or the error response that rejects it. `table` is null before the first
/// table arrives.
[[nodiscard]] std::variant<RoutedRequest, Entry::ErrorAnswer> route_request(HTTP::RequestHead, RequestBody,
    std::shared_ptr<Table::Table const> table, Dialect const&, Core::MonotonicTime received);

}
