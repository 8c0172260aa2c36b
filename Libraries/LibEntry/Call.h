#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibObserve/TraceContext.h>
#include <LibTable/Rows.h>

#include <cstdint>
#include <string>

namespace GraniteField::Entry {

/// Final result of a request as stated to the caller. Each value is a promise, which docs/PROTOCOL.md specifies.
enum class Outcome {
    /// The complete answer was delivered.
    Done,
    /// No backend server started the request, and none will.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The answer was started and can't be completed.
    Cut,
};

[[nodiscard]] std::string_view to_string(Outcome);

enum class CallKind {
    Completion,
    PlainService,
    /// Requests a ticket; nothing runs.
    Ticket,
};

/// A caller's request after validation, with copies of the table rows that apply to it.
struct Call {
    Core::RequestId id;
    CallKind kind {CallKind::Completion};
    std::string method;
    /// The path that is sent to the backend server.
    std::string path;
    std::string content_type;
    std::string body;
    bool is_stream {false};
    bool is_repeatable {true};
    /// The ticket from the Idempotency-Key header; may be empty.
    std::string ticket;
    Observe::TraceContext trace;
    std::string parent_span_id;

    std::string service;
    Table::RequestClass request_class;
    Table::Workspace workspace;
    Core::TableVersion table_version;
    /// Hash of the prompt's prefix; 0 for a plain service.
    std::uint64_t prefix_hash {0};
    Core::MonotonicTime received;
};

/// A final answer that the entry generates itself.
struct ErrorAnswer {
    int status {503};
    /// A short identifier for programs, such as `queue_full`.
    std::string code;
    /// A description for people.
    std::string message;
    Outcome outcome {Outcome::NotRun};
    Core::Milliseconds retry_after {1000};
};

}
