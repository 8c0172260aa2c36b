#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace GraniteField::HTTP {

/// Header names in lower case.
using Headers = std::map<std::string, std::string>;

/// How a connection ends that is given up.
enum class ConnectionEnd {
    /// What is under way may still arrive.
    Orderly,
    /// What has not arrived is thrown away.
    Reset,
};

/// More than any answer of the platform or of a daemon holds.
inline constexpr std::size_t s_largest_body_bytes = 64U << 20U;

struct ClientRequest {
    std::string method {"GET"};
    std::string url;
    std::vector<std::string> headers;
    std::string body;
    Core::Milliseconds connect_timeout {1000};
    Core::Milliseconds timeout {5000};
    ConnectionEnd end {ConnectionEnd::Orderly};
    /// Bytes of the answer's body that are read at most.
    std::size_t largest_body {s_largest_body_bytes};
};

struct ClientResponse {
    int status {0};
    Headers headers;
    std::string body;
};

/// Whether a request that failed can have reached the server.
enum class Effect {
    None,
    Possible,
};

/// No whole answer came.
class RequestFailed : public std::runtime_error {
public:
    RequestFailed(std::string const& message, Effect effect)
        : std::runtime_error(message)
        , m_effect(effect)
    {
    }

    [[nodiscard]] Effect effect() const { return m_effect; }

private:
    Effect m_effect;
};

/// The answer's body is larger than was asked for. The rest of it was not read.
class BodyTooLarge : public RequestFailed {
public:
    using RequestFailed::RequestFailed;
};

/// A blocking HTTP client over one libcurl handle; it keeps its connection. For one thread.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(HttpClient const&) = delete;
    HttpClient& operator=(HttpClient const&) = delete;

    /// Throws RequestFailed when no whole answer came, and BodyTooLarge where its body is the reason.
    [[nodiscard]] ClientResponse send(ClientRequest const&);

    /// Makes the running and every later send() fail at once. May be called from any thread.
    void abort();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Initializes libcurl for the process; every program calls it before it starts a thread.
void initialize_http_client();

}
