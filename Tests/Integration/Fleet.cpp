#include "Fleet.h"

#include <LibCore/Hashing.h>
#include <LibCore/Text.h>
#include <LibHTTP/HeaderList.h>
#include <LibPlatform/TableStore.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <curl/curl.h>

namespace GraniteField::Testing {

namespace {

constexpr Core::Milliseconds s_condition_interval {10};
/// Entries that a new one is told of; it finds the others through them.
constexpr std::size_t s_seed_count = 3;
constexpr Core::Milliseconds s_platform_timeout {5'000};

Core::Address local(std::uint16_t port)
{
    return *Core::Address::from_string(Core::concat("127.0.0.1:", port));
}

std::size_t take_text(char* data, std::size_t size, std::size_t count, void* user)
{
    static_cast<std::string*>(user)->append(data, size * count);
    return size * count;
}

std::size_t take_header(char* data, std::size_t size, std::size_t count, void* user)
{
    std::string_view const line(data, size * count);
    auto const colon = line.find(':');
    if (colon != std::string_view::npos)
        (*static_cast<HTTP::Headers*>(user))[Core::to_lower(line.substr(0, colon))]
            = Core::trim(line.substr(colon + 1));
    return size * count;
}

Json merged(Json base, Json const& overrides)
{
    base.merge_patch(overrides);
    return base;
}

}

static Json side_settings(Backend const& backend, std::uint16_t engine_port, unsigned slots)
{
    return {{"role", "side"}, {"name", backend.name + "-side"}, {"failure-domain", "hall"}, {"region", "here"},
        {"operator-address", "127.0.0.1:0"}, {"link-address", "127.0.0.1:0"}, {"entry-patience", "3s"},
        {"backend-server",
            {{"name", backend.name}, {"service", backend.service}, {"address", Core::concat("127.0.0.1:", engine_port)},
                {"slots", slots}}}};
}

bool wait_until(std::function<bool()> const& condition, Core::Milliseconds limit)
{
    auto const deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(s_condition_interval);
    }
    return true;
}

std::string expected_content(std::string const& tag, unsigned tokens)
{
    std::string content;
    for (unsigned number = 1; number <= tokens; ++number)
        content += Core::concat(tag, ":", number, " ");
    return content;
}

CallerAnswer send_request(std::uint16_t port, std::string const& method, std::string const& target,
    std::string const& body, std::vector<std::string> headers, Core::Milliseconds limit)
{
    CallerAnswer answer;
    auto* handle = curl_easy_init();
    auto const url = Core::concat("http://127.0.0.1:", port, target);
    HTTP::HeaderList list;
    for (auto const& header : headers)
        list.append(header);
    list.append("Expect:");
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, list.list());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(limit.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, take_text);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &answer.headers);
    if (!body.empty() || method == "POST" || method == "PUT") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    auto const start = std::chrono::steady_clock::now();
    auto const code = curl_easy_perform(handle);
    answer.duration = std::chrono::duration_cast<Core::Milliseconds>(std::chrono::steady_clock::now() - start);
    answer.is_whole = code == CURLE_OK;
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    curl_easy_cleanup(handle);
    return answer;
}

std::string CallerAnswer::outcome() const
{
    auto const found = headers.find("granitefield-outcome");
    if (found != headers.end())
        return found->second;
    // A stream that was cut says so in its last event.
    return body.find("\"outcome\":\"cut\"") == std::string::npos ? "" : "cut";
}

std::string CallerAnswer::content() const
{
    auto const whole = json();
    if (whole.is_object() && whole.contains("choices"))
        return whole["choices"][0]["message"]["content"].get<std::string>();
    std::string content;
    std::istringstream lines(body);
    std::string line;
    while (std::getline(lines, line)) {
        auto const event = line.starts_with("data: {") ? Json::parse(line.substr(6), nullptr, false) : Json();
        if (event.is_object() && event.contains("choices"))
            content += event["choices"][0]["delta"]["content"].get<std::string>();
    }
    return content;
}

Fleet::Fleet()
{
    HTTP::initialize_http_client();
    std::string pattern = std::filesystem::temp_directory_path() / "granitefield-test-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("can't make a directory for the test");
    m_directory = pattern;
    m_platform = std::make_unique<Process>(program_path("Tests/standin-platform"), std::vector<std::string> {});
    m_platform_port = m_platform->wait_for_announcement().at("http");
    add_workspace("test", s_key);
}

Fleet::~Fleet()
{
    m_entries.clear();
    m_backends.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

Core::Address Fleet::platform_address() const
{
    return local(m_platform_port);
}

std::string Fleet::write_settings(std::string const& name, Json const& settings)
{
    auto path = m_directory + "/" + name + ".json";
    std::ofstream(path) << settings.dump(2);
    return path;
}

void Fleet::add_class(std::string const& name, std::map<std::string, std::string> cells)
{
    for (auto const& [column, value] : cells)
        m_change.push_back({{Table::SheetName::Classes, name, column}, value});
}

void Fleet::add_workspace(std::string const& name, std::string const& key, std::map<std::string, std::string> cells)
{
    m_change.push_back({{Table::SheetName::Workspaces, name, "key-hash"}, Core::sha256_hex(key)});
    for (auto const& [column, value] : cells)
        m_change.push_back({{Table::SheetName::Workspaces, name, column}, value});
}

Backend& Fleet::add_model_backend(std::string const& name, EngineOptions const& options, Json const& side_overrides)
{
    m_change.push_back({{Table::SheetName::Services, "llm", "kind"}, "model"});
    m_change.push_back({{Table::SheetName::Services, "llm", "model"}, "test-model"});
    Process engine(program_path("Tests/standin-model-engine"),
        {"--slots", std::to_string(options.slots), "--step-us", std::to_string(options.step_microseconds),
            "--step-per-sequence-us", std::to_string(options.step_per_sequence_microseconds)});
    return add_backend(name, "llm", std::move(engine), options.slots, side_overrides);
}

Backend& Fleet::add_shared_model_backend(std::string const& name, Json const& side_overrides)
{
    m_change.push_back({{Table::SheetName::Services, "llm", "kind"}, "model"});
    m_change.push_back({{Table::SheetName::Services, "llm", "model"}, "test-model"});
    if (!m_shared_engine) {
        m_shared_engine
            = std::make_unique<Process>(program_path("Tests/standin-model-engine"), std::vector<std::string> {});
        m_shared_engine_port = m_shared_engine->wait_for_announcement().at("http");
    }
    auto& backend = *(m_backends[name] = std::make_unique<Backend>());
    backend.name = name;
    backend.service = "llm";
    backend.engine_port = m_shared_engine_port;
    backend.side_settings = merged(side_settings(backend, m_shared_engine_port, 4), side_overrides);
    start_side(backend);
    m_change.push_back({{Table::SheetName::BackendServers, name, "service"}, backend.service});
    m_change.push_back(
        {{Table::SheetName::BackendServers, name, "side"}, Core::concat("127.0.0.1:", backend.side_port)});
    return backend;
}

Backend& Fleet::add_plain_backend(std::string const& name, unsigned slots, Json const& side_overrides)
{
    m_change.push_back({{Table::SheetName::Services, "pay", "kind"}, "plain"});
    return add_backend(name, "pay", Process(program_path("Tests/standin-plain-service"), {}), slots, side_overrides);
}

Backend& Fleet::add_backend(
    std::string const& name, std::string const& service, Process engine, unsigned slots, Json const& side_overrides)
{
    auto& backend = *(m_backends[name] = std::make_unique<Backend>());
    backend.name = name;
    backend.service = service;
    backend.engine = std::make_unique<Process>(std::move(engine));
    backend.engine_port = backend.engine->wait_for_announcement().at("http");
    backend.engine_proxy = std::make_unique<FaultProxy>(local(backend.engine_port));
    backend.side_settings = merged(side_settings(backend, backend.engine_proxy->port(), slots), side_overrides);
    start_side(backend);
    backend.link_proxy = std::make_unique<FaultProxy>(local(backend.side_port));
    m_change.push_back({{Table::SheetName::BackendServers, name, "service"}, service});
    m_change.push_back(
        {{Table::SheetName::BackendServers, name, "side"}, Core::concat("127.0.0.1:", backend.link_proxy->port())});
    return backend;
}

void Fleet::start_side(Backend& backend)
{
    backend.side = std::make_unique<Process>(program_path("Services/granitefieldd"),
        std::vector<std::string> {"--settings", write_settings(backend.name, backend.side_settings)});
    auto const ports = backend.side->wait_for_announcement();
    backend.side_port = ports.at("link");
    backend.side_operator_port = ports.at("operator");
}

void Fleet::restart_side(Backend& backend)
{
    backend.side.reset();
    start_side(backend);
    backend.link_proxy->set_target(local(backend.side_port));
    backend.link_proxy->reset_connections();
}

void Fleet::start_entry(EntryProcess& entry)
{
    auto seeds = Json::array();
    for (auto const& other : m_entries) {
        bool const is_seed = other->peer_port != 0 && other.get() != &entry && seeds.size() < s_seed_count;
        if (is_seed)
            seeds.push_back(Core::concat("127.0.0.1:", other->peer_port));
    }
    entry.settings["peers"]["seeds"] = seeds;
    entry.process = std::make_unique<Process>(program_path("Services/granitefieldd"),
        std::vector<std::string> {"--settings", write_settings(entry.name, entry.settings)});
    auto const ports = entry.process->wait_for_announcement();
    entry.caller_port = ports.at("callers");
    entry.operator_port = ports.at("operator");
    entry.peer_port = ports.at("peers");
}

void Fleet::restart_entry(EntryProcess& entry)
{
    entry.process.reset();
    start_entry(entry);
}

void Fleet::start(std::size_t entries, Json const& entry_overrides)
{
    change_table(m_change);
    for (std::size_t index = 0; index < entries; ++index) {
        auto& entry = *m_entries.emplace_back(std::make_unique<EntryProcess>());
        entry.name = Core::concat("entry-", index);
        entry.platform_proxy = std::make_unique<FaultProxy>(platform_address());
        Json const settings {{"role", "entry"}, {"name", entry.name}, {"failure-domain", "hall"}, {"region", "here"},
            {"operator-address", "127.0.0.1:0"}, {"drain-notice", "100ms"}, {"callers", {{"address", "127.0.0.1:0"}}},
            {"peers", {{"address", "127.0.0.1:0"}, {"announce-interval", "500ms"}}},
            {"platform",
                {{"address", Core::concat("127.0.0.1:", entry.platform_proxy->port())}, {"call-timeout", "1s"},
                    {"longest-pause", "500ms"}, {"host-interval", "200ms"}}},
            {"routing",
                {{"heartbeat", "100ms"}, {"link-patience", "1s"}, {"question-interval", "100ms"},
                    {"stall-limit", "4s"}}}};
        entry.settings = merged(settings, entry_overrides);
        start_entry(entry);
    }
    for (auto const& entry : m_entries)
        wait_until_ready(*entry);
}

void Fleet::wait_until_ready(EntryProcess const& entry)
{
    auto const is_ready = [&] {
        if (send_request(entry.operator_port, "GET", "/readyz", "").status != 200)
            return false;
        auto const links = status(entry.operator_port)["links"];
        return links.size() == m_backends.size()
            && std::ranges::all_of(links, [](auto const& link) { return link["up"].template get<bool>(); });
    };
    if (!wait_until(is_ready))
        throw std::runtime_error("the entry does not get ready: " + status(entry.operator_port).dump());
}

Backend& Fleet::backend(std::string const& name)
{
    return *m_backends.at(name);
}

Finished Fleet::tool(std::vector<std::string> arguments, std::string const& input)
{
    arguments.insert(arguments.begin(), {"--platform", platform_address().to_string()});
    return run_program(program_path("Utilities/granitefield"), std::move(arguments), input);
}

void Fleet::change_table(Table::Change const& change)
{
    Platform::ObjectClient client(platform_address(), s_platform_timeout);
    Platform::TableStore store(client);
    store.commit(store.read(), change, "test");
}

void Fleet::control_platform(Json const& json)
{
    static_cast<void>(send_request(m_platform_port, "POST", "/control", json.dump()));
}

Json Fleet::platform_counts()
{
    return send_request(m_platform_port, "GET", "/control/counts", "").json();
}

void Fleet::control_backend(Backend const& backend, Json const& json)
{
    static_cast<void>(send_request(backend.engine_port, "POST", "/control", json.dump()));
}

Json Fleet::executions(Backend const& backend)
{
    return send_request(backend.engine_port, "GET", "/control/executions", "").json();
}

CallerAnswer Fleet::complete(std::string const& request_class, std::string const& tag, unsigned tokens, bool is_stream,
    std::size_t entry_index, Json const& extra_headers)
{
    Json const body {{"model", "test-model"}, {"stream", is_stream},
        {"messages", Json::array({{{"role", "user"}, {"content", Core::concat("tag=", tag, " tokens=", tokens)}}})}};
    std::vector<std::string> headers {Core::concat("Authorization: Bearer ", s_key),
        "Granitefield-Class: " + request_class, "Content-Type: application/json"};
    for (auto const& [name, value] : extra_headers.items())
        headers.push_back(name + ": " + value.get<std::string>());
    return send_request(entry(entry_index).caller_port, "POST", "/v1/chat/completions", body.dump(), headers);
}

CallerAnswer Fleet::call_service(
    std::string const& path, std::string const& body, Json const& headers, std::size_t entry_index)
{
    std::vector<std::string> lines {Core::concat("Authorization: Bearer ", s_key)};
    for (auto const& [name, value] : headers.items())
        lines.push_back(name + ": " + value.get<std::string>());
    return send_request(entry(entry_index).caller_port, "POST", "/services/pay" + path, body, lines);
}

std::string Fleet::ticket(std::string const& service, std::size_t entry_index)
{
    auto const answer = send_request(entry(entry_index).caller_port, "POST", "/v1/tickets",
        Json {{"service", service}}.dump(), {Core::concat("Authorization: Bearer ", s_key)});
    return answer.json().at("ticket").get<std::string>();
}

Json Fleet::status(std::uint16_t operator_port)
{
    return send_request(operator_port, "GET", "/status", "").json();
}

double Fleet::metric(std::uint16_t operator_port, std::string const& name, std::string const& label_text)
{
    std::istringstream lines(send_request(operator_port, "GET", "/metrics", "").body);
    std::string line;
    double sum = 0;
    while (std::getline(lines, line)) {
        bool const is_named = line.starts_with(name + " ") || line.starts_with(name + "{");
        if (is_named && line.find(label_text) != std::string::npos)
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

}
