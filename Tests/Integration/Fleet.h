#pragma once

#include "FaultProxy.h"
#include "Process.h"

#include <LibCore/Address.h>
#include <LibHTTP/HttpClient.h>
#include <LibTable/Table.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace GraniteField::Testing {

using Json = nlohmann::json;

/// What a caller got.
struct CallerAnswer {
    int status {0};
    HTTP::Headers headers;
    std::string body;
    /// The end of the answer came as HTTP marks it.
    bool is_whole {false};
    Core::Milliseconds duration {0};

    [[nodiscard]] std::string outcome() const;
    [[nodiscard]] Json json() const { return Json::parse(body, nullptr, false); }
    /// The tokens of a streamed or whole completion.
    [[nodiscard]] std::string content() const;
};

struct EngineOptions {
    unsigned slots {4};
    unsigned step_microseconds {1000};
    unsigned step_per_sequence_microseconds {0};
};

/// One backend server with its side process, and the proxies before both.
struct Backend {
    std::string name;
    std::string service;
    std::unique_ptr<Process> engine;
    std::uint16_t engine_port {0};
    /// Between the side process and the backend server.
    std::unique_ptr<FaultProxy> engine_proxy;
    std::unique_ptr<Process> side;
    std::uint16_t side_port {0};
    std::uint16_t side_operator_port {0};
    /// Between entries and the side process.
    std::unique_ptr<FaultProxy> link_proxy;
    Json side_settings;
};

struct EntryProcess {
    std::string name;
    std::unique_ptr<Process> process;
    std::uint16_t caller_port {0};
    std::uint16_t operator_port {0};
    std::uint16_t peer_port {0};
    std::unique_ptr<FaultProxy> platform_proxy;
    Json settings;
};

/// A small fleet of real processes on this machine: a platform, backend servers with side processes, and
/// entries, with a fault proxy on every link between them.
class Fleet {
public:
    Fleet();
    ~Fleet();

    /// The table before any entry starts; more rows can be added with change_table().
    void add_class(std::string const& name, std::map<std::string, std::string> cells);
    void add_workspace(std::string const& name, std::string const& key, std::map<std::string, std::string> cells = {});
    Backend& add_model_backend(
        std::string const& name, EngineOptions const& = {}, Json const& side_overrides = Json::object());
    /// A side process before the one engine that all backend servers of this kind share, without proxies: for
    /// fleets too large to have one each.
    Backend& add_shared_model_backend(std::string const& name, Json const& side_overrides = Json::object());
    Backend& add_plain_backend(
        std::string const& name, unsigned slots = 4, Json const& side_overrides = Json::object());
    /// Writes the table and starts entries; waits until they are ready.
    void start(std::size_t entries = 1, Json const& entry_overrides = Json::object());

    [[nodiscard]] Backend& backend(std::string const& name);
    [[nodiscard]] EntryProcess& entry(std::size_t index = 0) { return *m_entries.at(index); }
    [[nodiscard]] Process& platform() { return *m_platform; }
    [[nodiscard]] Core::Address platform_address() const;

    /// Starts the side process again, as a new run at the same place.
    void restart_side(Backend&);
    /// Starts the entry again; its ports may change.
    void restart_entry(EntryProcess&);
    void wait_until_ready(EntryProcess const&);

    /// Runs the command-line tool against the platform.
    Finished tool(std::vector<std::string> arguments, std::string const& input = "");
    void change_table(Table::Change const&);
    void control_platform(Json const&);
    Json platform_counts();
    void control_backend(Backend const&, Json const&);
    [[nodiscard]] Json executions(Backend const&);

    [[nodiscard]] CallerAnswer complete(std::string const& request_class, std::string const& tag, unsigned tokens,
        bool is_stream = true, std::size_t entry_index = 0, Json const& extra_headers = Json::object());
    [[nodiscard]] CallerAnswer call_service(std::string const& path, std::string const& body,
        Json const& headers = Json::object(), std::size_t entry_index = 0);
    [[nodiscard]] std::string ticket(std::string const& service, std::size_t entry_index = 0);
    [[nodiscard]] Json status(std::uint16_t operator_port);
    /// The value of a metric's line, summed over its labels that hold the text; 0 without one.
    [[nodiscard]] double metric(
        std::uint16_t operator_port, std::string const& name, std::string const& label_text = "");

    static constexpr char const* s_key = "key-of-the-test-workspace";

private:
    void start_side(Backend&);
    void start_entry(EntryProcess&);
    Backend& add_backend(std::string const& name, std::string const& service, Process engine, unsigned slots,
        Json const& side_overrides);
    std::string write_settings(std::string const& name, Json const&);

    std::string m_directory;
    std::unique_ptr<Process> m_platform;
    std::uint16_t m_platform_port {0};
    std::unique_ptr<Process> m_shared_engine;
    std::uint16_t m_shared_engine_port {0};
    Table::Change m_change;
    std::map<std::string, std::unique_ptr<Backend>> m_backends;
    std::vector<std::unique_ptr<EntryProcess>> m_entries;
};

/// The answer that the model engine's stand-in gives for a tag and a count.
[[nodiscard]] std::string expected_content(std::string const& tag, unsigned tokens);

/// Sends a request to a port of this machine. Throws HTTP::RequestFailed only when there is no status.
[[nodiscard]] CallerAnswer send_request(std::uint16_t port, std::string const& method, std::string const& target,
    std::string const& body, std::vector<std::string> headers = {},
    Core::Milliseconds limit = Core::Milliseconds(60'000));

/// Waits until the condition holds; false when the limit is over first.
[[nodiscard]] bool wait_until(
    std::function<bool()> const& condition, Core::Milliseconds limit = Core::Milliseconds(20'000));

}
