#include "PlatformServer.h"

#include <LibCore/Text.h>

#include <thread>

#include <nlohmann/json.hpp>

namespace GraniteField::StandIns {

using Json = nlohmann::json;

namespace {

constexpr std::string_view s_objects_prefix = "/objects/";
constexpr std::size_t s_largest_value_bytes = 1U << 20U;
constexpr std::chrono::seconds s_rate_window {1};

std::string quoted(std::uint64_t version)
{
    return Core::concat("\"", version, "\"");
}

std::string header_of(HTTP::ServerRequest const& request, std::string const& name)
{
    auto const found = request.headers.find(name);
    return found == request.headers.end() ? "" : found->second;
}

}

PlatformServer::PlatformServer(Core::Address const& address)
    : m_server(address, [this](auto const& request) { return handle(request); })
{
}

PlatformServer::~PlatformServer()
{
    std::lock_guard const lock(m_mutex);
    m_should_stop = true;
    m_changed.notify_all();
}

bool PlatformServer::is_over(std::deque<Core::MonotonicTime>& calls, unsigned limit)
{
    auto const now = std::chrono::steady_clock::now();
    while (!calls.empty() && calls.front() + s_rate_window < now)
        calls.pop_front();
    calls.push_back(now);
    return limit != 0 && calls.size() > limit;
}

HTTP::ServerResponse PlatformServer::handle(HTTP::ServerRequest const& request)
{
    if (request.path.starts_with("/control"))
        return control(request);
    bool const is_write = request.method != "GET";
    Core::Milliseconds slowness {0};
    {
        std::lock_guard const lock(m_mutex);
        ++m_counts[is_write ? "writes" : "reads"];
        if (m_switches.is_down)
            return {503, "text/plain", {}, "down\n"};
        bool const is_over_rate = is_write ? is_over(m_recent_writes, m_switches.writes_per_second)
                                           : is_over(m_recent_reads, m_switches.reads_per_second);
        if (is_over_rate) {
            ++m_counts["rejected"];
            return {429, "text/plain", {}, "over the rate\n"};
        }
        slowness = m_switches.slowness;
    }
    std::this_thread::sleep_for(slowness);
    if (request.path == "/hosts")
        return hosts();
    if (!request.path.starts_with(s_objects_prefix))
        return {404, "text/plain", {}, "there is nothing here\n"};
    auto const name = request.path.substr(s_objects_prefix.size());
    return is_write ? write(request, name) : read(request, name);
}

HTTP::ServerResponse PlatformServer::read(HTTP::ServerRequest const& request, std::string const& name)
{
    std::unique_lock lock(m_mutex);
    auto const known = header_of(request, "if-none-match");
    auto const wait = request.query.find("wait-ms");
    if (wait != request.query.end()) {
        ++m_counts["watches"];
        auto const limit = Core::Milliseconds(std::stoll(wait->second));
        m_changed.wait_for(lock, limit, [&] {
            auto const object = m_objects.find(name);
            bool const has_changed = object != m_objects.end() && quoted(object->second.version) != known;
            return has_changed || m_should_stop || m_switches.is_down;
        });
        if (m_switches.is_down)
            return {0, "", {}, ""};
    }
    auto const object = m_objects.find(name);
    if (object == m_objects.end())
        return {404, "text/plain", {}, ""};
    if (quoted(object->second.version) == known)
        return {304, "text/plain", {{"ETag", known}}, ""};
    return {200, "application/octet-stream", {{"ETag", quoted(object->second.version)}}, object->second.value};
}

HTTP::ServerResponse PlatformServer::write(HTTP::ServerRequest const& request, std::string const& name)
{
    std::lock_guard const lock(m_mutex);
    auto const object = m_objects.find(name);
    auto const expected = header_of(request, "if-match");
    bool const must_be_new = header_of(request, "if-none-match") == "*";
    bool const is_conflict = must_be_new
        ? object != m_objects.end()
        : !expected.empty() && (object == m_objects.end() || quoted(object->second.version) != expected);
    if (is_conflict)
        return {412, "text/plain", {}, "another version\n"};
    if (request.body.size() > s_largest_value_bytes)
        return {413, "text/plain", {}, "larger than a megabyte\n"};
    bool const should_lose_answer = m_switches.answers_to_lose > 0;
    if (should_lose_answer)
        --m_switches.answers_to_lose;
    HTTP::ServerResponse answer {204, "text/plain", {}, ""};
    if (request.method == "DELETE") {
        m_objects.erase(name);
    } else {
        auto& written = m_objects[name];
        written.version = m_next_version++;
        written.value = request.body;
        answer = {200, "text/plain", {{"ETag", quoted(written.version)}}, ""};
    }
    m_changed.notify_all();
    if (should_lose_answer)
        answer.status = 0;
    return answer;
}

HTTP::ServerResponse PlatformServer::hosts()
{
    std::lock_guard const lock(m_mutex);
    auto const now = std::chrono::steady_clock::now();
    while (!m_coming_hosts.empty() && m_coming_hosts.front().first <= now) {
        m_hosts = m_coming_hosts.front().second;
        ++m_hosts_version;
        m_coming_hosts.pop_front();
    }
    return {200, "application/json", {{"ETag", quoted(m_hosts_version)}}, "{\"hosts\":" + m_hosts + "}"};
}

HTTP::ServerResponse PlatformServer::control(HTTP::ServerRequest const& request)
{
    std::lock_guard const lock(m_mutex);
    if (request.path == "/control/counts")
        return {200, "application/json", {}, Json(m_counts).dump()};
    auto const json = Json::parse(request.body);
    m_switches.is_down = json.value("outage", m_switches.is_down);
    m_switches.slowness = Core::Milliseconds(json.value("slow-ms", m_switches.slowness.count()));
    m_switches.answers_to_lose = json.value("lose-answers", m_switches.answers_to_lose);
    m_switches.writes_per_second = json.value("writes-per-second", m_switches.writes_per_second);
    m_switches.reads_per_second = json.value("reads-per-second", m_switches.reads_per_second);
    if (json.contains("hosts")) {
        auto const lag = Core::Milliseconds(json.value("host-lag-ms", 0));
        m_coming_hosts.emplace_back(std::chrono::steady_clock::now() + lag, json["hosts"].dump());
    }
    m_changed.notify_all();
    return {200, "application/json", {}, "{}"};
}

}
