#pragma once

#include <LibCore/Address.h>
#include <LibCore/Time.h>
#include <LibHTTP/HttpServer.h>

#include <map>
#include <mutex>
#include <string>

namespace GraniteField::StandIns {

/// A plain service for tests and the demo, some of whose calls must not be repeated. It counts each
/// execution by the id that the caller put into the header `X-Execution` or the body, as the witness.
///
/// `GET /control/executions` gives the counts; `POST /control` sets `delay-ms` (before it answers, after it
/// has executed) and `lose-answers` (executes and closes the connection).
class PlainService {
public:
    explicit PlainService(Core::Address const&);

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

private:
    [[nodiscard]] HTTP::ServerResponse handle(HTTP::ServerRequest const&);
    [[nodiscard]] HTTP::ServerResponse control(HTTP::ServerRequest const&);

    std::mutex m_mutex;
    std::map<std::string, unsigned> m_executions;
    Core::Milliseconds m_delay {0};
    bool m_should_lose_answers {false};
    HTTP::HttpServer m_server;
};

}
