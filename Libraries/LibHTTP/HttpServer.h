#pragma once

#include <LibCore/Address.h>
#include <LibHTTP/HttpClient.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace GraniteField::HTTP {

struct ServerRequest {
    std::string method;
    /// Decoded path without the query.
    std::string path;
    Headers headers;
    Headers query;
    std::string body;
};

struct ServerResponse {
    /// 0 closes the connection without an answer; the stand-ins use it to lose answers.
    int status {200};
    std::string content_type {"application/json"};
    Headers headers;
    std::string body;
};

/// A small HTTP server for short answers (operators, health checks, stand-ins). Handlers run on the
/// server's threads, one for each connection, and may wait.
class HttpServer {
public:
    using Handler = std::function<ServerResponse(ServerRequest const&)>;

    /// Listens at once; throws std::system_error when the address can't be had.
    HttpServer(Core::Address const&, Handler);
    ~HttpServer();
    HttpServer(HttpServer const&) = delete;
    HttpServer& operator=(HttpServer const&) = delete;

    /// The port it listens on, also where the address left the choice to the kernel.
    [[nodiscard]] std::uint16_t port() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
