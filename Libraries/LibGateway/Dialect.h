#pragma once

#include <string>
#include <vector>

namespace GraniteField::Gateway {

/// How a time is written in `Retry-After`.
enum class RetryAfterFormat {
    /// As RFC 9110, section 10.2.3, has it.
    WholeSeconds,
    /// With fractions, for callers that read them.
    FractionalSeconds,
};

/// The names of the header fields that a gateway reads and writes. The product's own stand here; an adapter gives
/// those of its platform. docs/PROTOCOL.md says what each holds.
struct Dialect {
    /// Names the request; callers draw a new one for each try.
    std::string request_id {"Granitefield-Request"};
    /// Milliseconds that the sender still waits.
    std::string remaining_time {"Granitefield-Remaining-Ms"};
    /// The one run of a backend server that may take the request.
    std::string expected_instance {"Granitefield-Expect-Instance"};
    std::string workspace {"Granitefield-Workspace"};
    /// Says that a backend server did not run the request.
    std::string not_run {"Granitefield-Not-Run"};
    /// Requests per second that a backend server accepts from all gateways together.
    std::string rate_limit {"Granitefield-Rate-Limit"};
    /// Value 1: the backend server is leaving and wants no further requests.
    std::string leaving {"Granitefield-Leaving"};
    /// Proves that an answer is a backend server's own.
    std::string answer_signature {"Granitefield-Answer"};
    /// 0 to 9, the most urgent first.
    std::string priority {"Granitefield-Priority"};
    /// Tokens of the prompt and the most that may be generated: `1460,80`.
    std::string token_counts {"Granitefield-Tokens"};
    /// The prompt's parts in order, `ID:TOKENS` joined by commas.
    std::string prompt_parts {"Granitefield-Prompt-Parts"};
    std::string last_event_id {"Last-Event-ID"};
    /// Names another engine, as ADDRESS:PORT, from which an engine fetches what that one keeps of the prompt and it
    /// does not; empty where engines can't. Set by the gateway only.
    std::string prompt_source;
    /// Orders to an engine about its memory, its leases and its weights. Only the gateway may give them: what a caller
    /// sends under these names reaches no backend server, on any route.
    std::vector<std::string> engine_control_fields;
    RetryAfterFormat retry_after {RetryAfterFormat::WholeSeconds};
};

}
