#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibObserve/TraceContext.h>
#include <LibTable/Rows.h>

#include <cstdint>
#include <string>

namespace GraniteField::Entry {

/// What can be said of a request in the end. Each is a promise; docs/PROTOCOL.md states them.
enum class Outcome {
    /// The whole answer, and nothing else.
    Done,
    /// No backend server began it, and none will.
    NotRun,
    /// It may have run, and nobody can say.
    Unknown,
    /// The answer began and can't be finished.
    Cut,
};

[[nodiscard]] std::string_view to_string(Outcome);

enum class CallKind {
    Completion,
    PlainService,
    /// Asks for a ticket; nothing runs.
    Ticket,
};

/// A caller's request, checked and bound to the rows of the table that hold for it.
struct Call {
    Core::RequestId id;
    CallKind kind {CallKind::Completion};
    std::string method;
    /// As the backend server sees it.
    std::string path;
    std::string content_type;
    std::string body;
    bool is_stream {false};
    bool is_repeatable {true};
    /// The ticket that the caller gave as its Idempotency-Key; may be empty.
    std::string ticket;
    Observe::TraceContext trace;
    std::string parent_span_id;

    std::string service;
    Table::RequestClass request_class;
    Table::Workspace workspace;
    Core::TableVersion table_version;
    /// Hash of the prompt's beginning; 0 for a plain service.
    std::uint64_t prefix_hash {0};
    Core::MonotonicTime received;
};

/// A final answer that is no backend server's.
struct ErrorAnswer {
    int status {503};
    /// A short name for programs, such as `queue_full`.
    std::string code;
    /// A sentence for people.
    std::string message;
    Outcome outcome {Outcome::NotRun};
    Core::Milliseconds retry_after {1000};
};

}
