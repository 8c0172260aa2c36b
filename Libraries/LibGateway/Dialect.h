#pragma once

#include <string>
#include <vector>

namespace GraniteField::Gateway {

/// Format of the duration in `Retry-After`.
enum class RetryAfterFormat {
    /// As in RFC 9110, section 10.2.3.
    WholeSeconds,
    /// Seconds with three decimal places, for callers that accept them.
    FractionalSeconds,
};

/// Names of the header fields that a gateway reads and writes. The defaults are the product's own; an adapter sets
/// those of its platform. docs/PROTOCOL.md describes the values.
struct Dialect {
    /// Identifies the request. Callers choose a new value for each try.
    std::string request_id {"Granitefield-Request"};
    /// Milliseconds until the sender times out.
    std::string remaining_time {"Granitefield-Remaining-Ms"};
    /// Instance id of the only backend server process that may accept the request.
    std::string expected_instance {"Granitefield-Expect-Instance"};
    std::string workspace {"Granitefield-Workspace"};
    /// Set by a backend server that did not run the request.
    std::string not_run {"Granitefield-Not-Run"};
    /// Requests per second that a backend server accepts from all gateways together.
    std::string rate_limit {"Granitefield-Rate-Limit"};
    /// Value 1: the backend server is leaving and accepts no further requests.
    std::string leaving {"Granitefield-Leaving"};
    /// Signature that proves that an answer was made by a backend server.
    std::string answer_signature {"Granitefield-Answer"};
    /// Priority of the request, from 0, the most urgent, to 9.
    std::string priority {"Granitefield-Priority"};
    /// Number of prompt tokens and the largest number of tokens to generate: `1460,80`.
    std::string token_counts {"Granitefield-Tokens"};
    /// Parts of the prompt in order, as `ID:TOKENS` separated by commas.
    std::string prompt_parts {"Granitefield-Prompt-Parts"};
    std::string last_event_id {"Last-Event-ID"};
    /// Id of the caller's request that received the first event of the stream that this request resumes.
    std::string resumes {"Granitefield-Resumes"};
    /// Address, as ADDRESS:PORT, of another engine from which an engine fetches cached parts of the prompt that it
    /// lacks. Empty if engines do not support this. Set by the gateway only.
    std::string prompt_source;
    /// Control fields for the memory, leases and weights of an engine. Only the gateway may set them: it removes those
    /// of a caller on every route.
    std::vector<std::string> engine_control_fields;
    RetryAfterFormat retry_after {RetryAfterFormat::WholeSeconds};
};

}
