#include "PlainService.h"

#include <thread>

#include <nlohmann/json.hpp>

namespace GraniteField::StandIns {

using Json = nlohmann::json;

PlainService::PlainService(Core::Address const& address)
    : m_server(address, [this](auto const& request) { return handle(request); })
{
}

HTTP::ServerResponse PlainService::handle(HTTP::ServerRequest const& request)
{
    if (request.path.starts_with("/control"))
        return control(request);
    auto const header = request.headers.find("x-execution");
    auto const id = header != request.headers.end() ? header->second : request.body;
    unsigned count = 0;
    Core::Milliseconds delay {0};
    bool should_lose_answer = false;
    {
        std::lock_guard const lock(m_mutex);
        count = ++m_executions[id];
        delay = m_delay;
        should_lose_answer = m_should_lose_answers;
    }
    std::this_thread::sleep_for(delay);
    if (should_lose_answer)
        return {0, "", {}, ""};
    return {200, "application/json", {}, Json {{"id", id}, {"executions", count}, {"path", request.path}}.dump()};
}

HTTP::ServerResponse PlainService::control(HTTP::ServerRequest const& request)
{
    std::lock_guard const lock(m_mutex);
    if (request.path == "/control/executions")
        return {200, "application/json", {}, Json(m_executions).dump()};
    auto const json = Json::parse(request.body);
    m_delay = Core::Milliseconds(json.value("delay-ms", 0));
    m_should_lose_answers = json.value("lose-answers", false);
    return {200, "application/json", {}, "{}"};
}

}
