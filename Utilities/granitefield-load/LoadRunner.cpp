#include "LoadRunner.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace GraniteField::Load {

using Json = nlohmann::json;

namespace {

constexpr int s_longest_poll_milliseconds = 20;
constexpr int s_status_ok = 200;

}

/// One request under way, with all of its tries.
struct LoadRunner::Call {
    LoadRunner* runner {nullptr};
    Arrival arrival;
    CallResult result;
    std::string tag;
    std::string url;
    std::string body;
    std::unique_ptr<HTTP::HeaderList> headers;
    CURL* handle {nullptr};
    std::string answer;
    std::string outcome;
    double retry_after_seconds {0};
    HTTP::EventStreamScanner scanner;
    Core::Microseconds last_token {0};

    ~Call() { curl_easy_cleanup(handle); }
};

LoadRunner::LoadRunner(Settings settings, Scenario const& scenario)
    : m_settings(std::move(settings))
    , m_scenario(scenario)
    , m_multi(curl_multi_init())
{
}

LoadRunner::~LoadRunner()
{
    for (auto const& [handle, call] : m_calls)
        curl_multi_remove_handle(m_multi, handle);
    m_calls.clear();
    curl_multi_cleanup(m_multi);
}

Core::Microseconds LoadRunner::elapsed() const
{
    return std::chrono::duration_cast<Core::Microseconds>(Core::monotonic_now() - m_start);
}

std::size_t LoadRunner::take_header(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& call = *static_cast<Call*>(user);
    std::string_view const line(data, size * count);
    auto const colon = line.find(':');
    if (colon == std::string_view::npos)
        return size * count;
    auto const name = Core::to_lower(line.substr(0, colon));
    auto const value = Core::trim(line.substr(colon + 1));
    if (name == "granitefield-outcome")
        call.outcome = value;
    if (name == "retry-after")
        call.retry_after_seconds = std::strtod(value.c_str(), nullptr);
    return size * count;
}

std::size_t LoadRunner::take_body(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& call = *static_cast<Call*>(user);
    std::string_view const bytes(data, size * count);
    call.answer.append(bytes);
    bool const is_plain = !call.runner->m_scenario.streams[call.arrival.stream].service_path.empty();
    auto const tokens = is_plain ? (call.result.got_tokens == 0 ? 1U : 0U) : call.scanner.add(bytes);
    if (tokens == 0)
        return size * count;
    auto const now = call.runner->elapsed();
    if (call.result.got_tokens == 0)
        call.result.first_token = now - call.arrival.at;
    else
        call.result.gaps.push_back(now - call.last_token);
    call.last_token = now;
    call.result.got_tokens += tokens;
    return size * count;
}

void LoadRunner::make_request(Call& call) const
{
    auto const& stream = m_scenario.streams[call.arrival.stream];
    call.headers = std::make_unique<HTTP::HeaderList>();
    call.headers->append(Core::concat("Authorization: Bearer ", m_scenario.key_prefix, call.arrival.workspace));
    call.headers->append("Granitefield-Class: " + stream.request_class);
    call.headers->append("Expect:");
    auto const& entry = m_settings.entries[m_next_entry % m_settings.entries.size()];
    if (!stream.service_path.empty()) {
        call.url = Core::concat("http://", entry.to_string(), stream.service_path);
        call.body = call.tag;
        return;
    }
    call.url = Core::concat("http://", entry.to_string(), "/v1/chat/completions");
    auto const prefix = Core::concat("prefix ", call.arrival.prefix, " of ", stream.request_class, " ");
    std::string system = prefix;
    while (system.size() < stream.prefix_bytes)
        system += prefix;
    Json const messages = Json::array({{{"role", "system"}, {"content", system}},
        {{"role", "user"}, {"content", Core::concat("tag=", call.tag, " tokens=", call.arrival.tokens)}}});
    call.body = Json {{"model", m_scenario.model}, {"stream", true}, {"messages", messages}}.dump();
}

void LoadRunner::start(std::unique_ptr<Call> call)
{
    ++m_next_entry;
    make_request(*call);
    ++call->result.tries;
    call->answer.clear();
    call->outcome.clear();
    call->retry_after_seconds = 0;
    call->scanner = {};
    call->result.got_tokens = 0;
    call->result.gaps.clear();
    if (call->handle == nullptr)
        call->handle = curl_easy_init();
    auto* handle = call->handle;
    curl_easy_setopt(handle, CURLOPT_URL, call->url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, call->headers->list());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call->body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(call->body.size()));
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(m_settings.limit.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, call.get());
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, call.get());
    curl_multi_add_handle(m_multi, handle);
    m_calls[handle] = std::move(call);
}

std::vector<CallResult> LoadRunner::run(std::vector<Arrival> const& schedule)
{
    std::vector<CallResult> results;
    results.reserve(schedule.size());
    m_start = Core::monotonic_now();
    std::size_t next = 0;
    while (next < schedule.size() || !m_calls.empty() || !m_returning.empty()) {
        auto const now = elapsed();
        for (; next < schedule.size() && schedule[next].at <= now; ++next) {
            auto call = std::make_unique<Call>();
            call->runner = this;
            call->arrival = schedule[next];
            call->tag = Core::concat("r", next);
            call->result.stream = call->arrival.stream;
            call->result.intended = call->arrival.at;
            call->result.wanted_tokens = call->arrival.tokens;
            if (m_calls.size() < m_settings.largest_open_count) {
                start(std::move(call));
            } else {
                call->result.outcome = "failed";
                results.push_back(std::move(call->result));
            }
        }
        while (!m_returning.empty() && m_returning.begin()->first <= now) {
            auto call = std::move(m_returning.begin()->second);
            m_returning.erase(m_returning.begin());
            start(std::move(call));
        }
        int running = 0;
        curl_multi_perform(m_multi, &running);
        collect(results);
        auto wait = Core::Microseconds(Core::Milliseconds(s_longest_poll_milliseconds));
        if (next < schedule.size())
            wait = std::min(wait, schedule[next].at - elapsed());
        if (!m_returning.empty())
            wait = std::min(wait, m_returning.begin()->first - elapsed());
        auto const milliseconds = std::max<std::int64_t>(0, wait.count() / 1000);
        curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(milliseconds), nullptr);
    }
    return results;
}

void LoadRunner::collect(std::vector<CallResult>& results)
{
    int left = 0;
    while (auto const* message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        auto* handle = message->easy_handle;
        auto const code = message->data.result;
        curl_multi_remove_handle(m_multi, handle);
        auto call = std::move(m_calls.at(handle));
        m_calls.erase(handle);
        finish(std::move(call), code, results);
    }
}

void LoadRunner::finish(std::unique_ptr<Call> call, CURLcode code, std::vector<CallResult>& results)
{
    auto const& stream = m_scenario.streams[call->arrival.stream];
    long status = 0;
    curl_easy_getinfo(call->handle, CURLINFO_RESPONSE_CODE, &status);
    auto& result = call->result;
    result.duration = elapsed() - call->arrival.at;
    bool const may_return = call->outcome == "not-run" && result.tries <= stream.returns
        && call->retry_after_seconds > 0 && elapsed() < m_scenario.length;
    if (may_return) {
        Core::Microseconds const back(static_cast<std::int64_t>(call->retry_after_seconds * 1e6));
        m_returning.emplace(elapsed() + back, std::move(call));
        return;
    }
    result.outcome = call->outcome;
    if (result.outcome.empty())
        result.outcome = status == s_status_ok ? "cut" : "failed";
    if (result.outcome == "done" && code != CURLE_OK)
        result.outcome = "failed";
    if (stream.service_path.empty()) {
        auto const last = Core::concat("\"", call->tag, ":", result.wanted_tokens, " \"");
        result.is_own_and_whole
            = result.got_tokens == result.wanted_tokens && call->answer.find(last) != std::string::npos;
    } else {
        result.is_own_and_whole = call->answer.find("\"" + call->tag + "\"") != std::string::npos;
    }
    results.push_back(std::move(result));
}

}
