#include "PlatformServer.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

#include <absl/strings/str_join.h>

namespace GraniteField::StandIns {

namespace {

constexpr std::string_view s_objects_prefix = "/objects/";
constexpr std::size_t s_largest_value_bytes = 1U << 20U;
constexpr std::chrono::seconds s_rate_window {1};
/// How long a silent store keeps a call open, unless it is switched back before.
constexpr std::chrono::seconds s_longest_silence {60};
constexpr std::size_t s_kept_changes = 10'000;

HTTP::ServerResponse json_answer(int status, nlohmann::json const& json)
{
    return {status, "application/json", {}, json.dump()};
}

HTTP::ServerResponse text_answer(int status, std::string text)
{
    return {status, "application/json", {}, std::move(text)};
}

/// Closes the connection without an answer.
HTTP::ServerResponse no_answer()
{
    return {0, "", {}, ""};
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

bool PlatformServer::is_over(std::deque<Core::MonotonicTime>& calls, unsigned limit) const
{
    auto const now = Core::monotonic_now();
    while (!calls.empty() && calls.front() + s_rate_window < now)
        calls.pop_front();
    calls.push_back(now);
    return limit != 0 && calls.size() > limit;
}

PlatformServer::Place PlatformServer::place_of(std::string const& path)
{
    auto const rest = path.substr(s_objects_prefix.size());
    auto const slash = rest.find('/');
    if (slash == std::string::npos)
        return {rest, ""};
    return {rest.substr(0, slash), rest.substr(slash + 1)};
}

void PlatformServer::do_due_work(Core::MonotonicTime now)
{
    for (std::size_t index = 0; index < m_due.size();) {
        if (m_due[index].first > now) {
            ++index;
            continue;
        }
        auto const work = m_due[index].second;
        m_due.erase(m_due.begin() + static_cast<std::ptrdiff_t>(index));
        work();
    }
}

std::optional<HTTP::ServerResponse> PlatformServer::refuse(bool is_write)
{
    std::unique_lock lock(m_mutex);
    ++m_counts[is_write ? "writes" : "reads"];
    if (m_switches.outage == "busy")
        return HTTP::ServerResponse {503, "text/plain", {}, "down\n"};
    if (m_switches.outage == "many")
        return HTTP::ServerResponse {429, "text/plain", {}, "too many\n"};
    if (m_switches.outage == "reset")
        return no_answer();
    if (m_switches.outage == "silent") {
        m_changed.wait_for(lock, s_longest_silence, [this] { return m_should_stop || m_switches.outage != "silent"; });
        return no_answer();
    }
    bool const is_over_rate = is_write ? is_over(m_recent_writes, m_switches.writes_per_second)
                                       : is_over(m_recent_reads, m_switches.reads_per_second);
    if (!is_over_rate)
        return std::nullopt;
    ++m_counts["rejected"];
    return HTTP::ServerResponse {429, "text/plain", {}, "over the rate\n"};
}

HTTP::ServerResponse PlatformServer::handle(HTTP::ServerRequest const& request)
{
    if (request.path.starts_with("/control"))
        return control(request);
    bool const is_write = request.method != "GET";
    if (auto const refusal = refuse(is_write))
        return *refusal;
    Core::Milliseconds slowness {0};
    {
        std::lock_guard const lock(m_mutex);
        slowness = m_switches.slowness;
    }
    std::this_thread::sleep_for(slowness);
    if (!request.path.starts_with(s_objects_prefix))
        return {404, "text/plain", {}, "there is nothing here\n"};
    auto const place = place_of(request.path);
    if (is_write)
        return write(request, place);
    if (!place.name.empty())
        return read(request, place);
    return request.query.contains("watch") ? watch(request, place.kind) : list(request, place.kind);
}

std::string PlatformServer::to_text(std::string const& name, Object const& object)
{
    Json const metadata {{"name", name}, {"rev", object.revision}, {"create_revision", object.created},
        {"finalizers", Json::array()}, {"deleting", false}};
    return Core::concat(R"({"metadata":)", metadata.dump(), R"(,"spec":)",
        object.spec_text.empty() ? object.spec.dump() : object.spec_text, R"(,"status":null})");
}

HTTP::ServerResponse PlatformServer::read(HTTP::ServerRequest const&, Place const& place)
{
    std::lock_guard const lock(m_mutex);
    do_due_work(Core::monotonic_now());
    auto const& objects = m_objects[place.kind];
    auto const object = objects.find(place.name);
    if (object == objects.end())
        return {404, "text/plain", {}, ""};
    return text_answer(200, to_text(place.name, object->second));
}

HTTP::ServerResponse PlatformServer::list(HTTP::ServerRequest const& request, std::string const& kind)
{
    std::lock_guard const lock(m_mutex);
    do_due_work(Core::monotonic_now());
    auto const& objects = m_objects[kind];
    auto const after = request.query.find("after_rev");
    auto next = after == request.query.end() ? objects.begin() : objects.upper_bound(after->second);
    std::vector<std::string> items;
    for (; next != objects.end() && items.size() < m_switches.page_size; ++next)
        items.push_back(to_text(next->first, next->second));
    return text_answer(200,
        Core::concat(R"({"items":[)", absl::StrJoin(items, ","), R"(],"truncated":)",
            next != objects.end() ? "true" : "false", R"(,"store_revision":)", m_revision, "}"));
}

HTTP::ServerResponse PlatformServer::watch(HTTP::ServerRequest const& request, std::string const& kind)
{
    std::unique_lock lock(m_mutex);
    ++m_counts["watches"];
    auto const from = std::stoull(request.query.at("watch"));
    auto const wait = request.query.find("wait_ms");
    auto const limit
        = Core::monotonic_now() + Core::Milliseconds(wait == request.query.end() ? 0 : std::stoll(wait->second));
    auto const generation = m_cut_generation;
    while (true) {
        do_due_work(Core::monotonic_now());
        if (m_should_stop || !m_switches.outage.empty())
            return no_answer();
        if (generation != m_cut_generation)
            return no_answer();
        if (from < m_history_begin || m_switches.has_no_history)
            return {410, "text/plain", {}, "the history is gone\n"};
        std::vector<std::string> events;
        for (auto const& change : m_history) {
            if (change.kind == kind && change.revision > from && !m_switches.holds_watches
                && !m_switches.has_deaf_watches)
                events.push_back(Core::concat(
                    R"({"tombstone":)", change.is_removal ? "true" : "false", R"(,"object":)", change.object, "}"));
        }
        bool const is_over = Core::monotonic_now() >= limit && !m_switches.holds_watches;
        if (!events.empty() || is_over)
            return text_answer(200,
                Core::concat(R"({"events":[)", absl::StrJoin(events, ","), R"(],"store_revision":)", m_revision, "}"));
        m_changed.wait_until(
            lock, next_due_time(m_switches.holds_watches ? Core::monotonic_now() + s_longest_silence : limit));
    }
}

Core::MonotonicTime PlatformServer::next_due_time(Core::MonotonicTime latest) const
{
    for (auto const& [time, work] : m_due)
        latest = std::min(latest, time);
    return latest;
}

void PlatformServer::note_change(std::string const& kind, bool is_removal, std::string object)
{
    m_history.push_back({m_revision, kind, is_removal, std::move(object)});
    if (m_history.size() > s_kept_changes) {
        m_history_begin = m_history.front().revision;
        m_history.pop_front();
    }
    m_changed.notify_all();
}

void PlatformServer::put(
    std::string const& kind, std::string const& name, Json const& spec, std::string const& spec_text)
{
    auto& object = m_objects[kind][name];
    bool const is_new = object.revision == 0;
    if (!is_new && object.spec == spec && object.spec_text == spec_text)
        return;
    ++m_revision;
    object.revision = m_revision;
    if (is_new)
        object.created = m_revision;
    object.spec = spec;
    object.spec_text = spec_text;
    note_change(kind, false, to_text(name, object));
}

bool PlatformServer::remove(std::string const& kind, std::string const& name)
{
    auto& objects = m_objects[kind];
    auto const object = objects.find(name);
    if (object == objects.end())
        return false;
    ++m_revision;
    auto text = to_text(name, object->second);
    objects.erase(object);
    note_change(kind, true, std::move(text));
    return true;
}

HTTP::ServerResponse PlatformServer::write(HTTP::ServerRequest const& request, Place const& place)
{
    std::lock_guard const lock(m_mutex);
    do_due_work(Core::monotonic_now());
    if (request.body.size() > s_largest_value_bytes)
        return {413, "text/plain", {}, "larger than a megabyte\n"};
    bool const should_lose_answer = m_switches.answers_to_lose > 0;
    if (should_lose_answer)
        --m_switches.answers_to_lose;
    if (should_lose_answer && m_switches.late_writes.count() > 0) {
        m_due.emplace_back(Core::monotonic_now() + m_switches.late_writes,
            [this, request, place] { static_cast<void>(apply(request, place)); });
        m_changed.notify_all();
        return no_answer();
    }
    auto answer = apply(request, place);
    if (should_lose_answer)
        return no_answer();
    return answer;
}

HTTP::ServerResponse PlatformServer::apply(HTTP::ServerRequest const& request, Place const& place)
{
    if (request.method == "DELETE")
        return remove(place.kind, place.name) ? HTTP::ServerResponse {200, "text/plain", {}, ""}
                                              : HTTP::ServerResponse {404, "text/plain", {}, ""};
    auto const json = Json::parse(request.body);
    auto const& metadata = json.at("metadata");
    bool const is_new = request.method == "POST";
    auto const name = is_new ? metadata.at("name").get<std::string>() : place.name;
    auto& objects = m_objects[place.kind];
    auto const object = objects.find(name);
    if (is_new && object != objects.end())
        return text_answer(409, to_text(name, object->second));
    if (!is_new && object == objects.end())
        return {404, "text/plain", {}, ""};
    if (!is_new && metadata.contains("rev") && metadata.at("rev") != object->second.revision)
        return text_answer(409, to_text(name, object->second));
    put(place.kind, name, json.at("spec"));
    return text_answer(200, to_text(name, objects.at(name)));
}

HTTP::ServerResponse PlatformServer::control(HTTP::ServerRequest const& request)
{
    std::lock_guard const lock(m_mutex);
    if (request.path == "/control/counts")
        return json_answer(200, m_counts);
    auto const json = Json::parse(request.body);
    if (json.contains("outage")) {
        auto const& outage = json["outage"];
        m_switches.outage = outage.is_string() ? outage.get<std::string>() : outage.get<bool>() ? "busy" : "";
    }
    m_switches.slowness = Core::Milliseconds(json.value("slow-ms", m_switches.slowness.count()));
    m_switches.answers_to_lose = json.value("lose-answers", m_switches.answers_to_lose);
    m_switches.late_writes = Core::Milliseconds(json.value("late-writes-ms", m_switches.late_writes.count()));
    m_switches.writes_per_second = json.value("writes-per-second", m_switches.writes_per_second);
    m_switches.reads_per_second = json.value("reads-per-second", m_switches.reads_per_second);
    m_switches.page_size = json.value("page-size", m_switches.page_size);
    m_switches.holds_watches = json.value("hold-watches", m_switches.holds_watches);
    m_switches.has_deaf_watches = json.value("deaf-watches", m_switches.has_deaf_watches);
    m_switches.has_no_history = json.value("no-history", m_switches.has_no_history);
    if (json.value("forget-history", false)) {
        m_history.clear();
        m_history_begin = ++m_revision;
        ++m_cut_generation;
    }
    auto const due = Core::monotonic_now() + Core::Milliseconds(json.value("lag-ms", 0));
    for (auto const& item : json.value("puts", Json::array())) {
        m_due.emplace_back(due, [this, item] {
            put(item.at("kind"), item.at("name"), item.value("spec", Json()), item.value("spec-text", ""));
        });
    }
    for (auto const& item : json.value("removals", Json::array()))
        m_due.emplace_back(due, [this, item] { static_cast<void>(remove(item.at("kind"), item.at("name"))); });
    do_due_work(Core::monotonic_now());
    m_changed.notify_all();
    return json_answer(200, Json::object());
}

}
