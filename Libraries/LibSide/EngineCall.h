#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/Work.h>

#include <cstdint>
#include <string>
#include <variant>

namespace GraniteField::Side {

/// A request as it goes to the backend server.
struct EngineCall {
    Policy::AttemptKey key;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::string traceparent;
    std::string request_class;
    unsigned tier {Policy::s_tier_count};
    bool is_stream {false};
    bool is_repeatable {true};
    /// Tokens that the backend server has given before the call was suspended; it goes on behind them.
    std::uint32_t resume_after_tokens {0};
};

/// What the authority asks of the engine client.
struct StartCall {
    EngineCall call;
};

struct CancelCall {
    Policy::AttemptKey key;
};

/// The reader is behind: take no more of the answer until ResumeCall.
struct PauseCall {
    Policy::AttemptKey key;
};

struct ResumeCall {
    Policy::AttemptKey key;
};

using EngineCommand = std::variant<StartCall, CancelCall, PauseCall, ResumeCall>;

/// A piece of the backend server's answer. The first one has the status and the type.
struct AnswerPiece {
    Policy::AttemptKey key;
    int status {0};
    std::string content_type;
    std::string payload;
    std::uint32_t tokens {0};
};

enum class CallEnd {
    /// The whole answer came.
    Whole,
    /// No connection could be made; the backend server never saw the request.
    NeverSent,
    /// The backend server may have run it.
    Broken,
    /// CancelCall ended it.
    Cancelled,
};

struct AnswerEnd {
    Policy::AttemptKey key;
    CallEnd end {CallEnd::Broken};
    std::string message;
    /// Of the answer, also where it had no body and so no piece.
    int status {0};
    std::string content_type;
    /// What came last and was no whole event yet.
    std::string rest;
};

using EngineEvent = std::variant<AnswerPiece, AnswerEnd>;

}
