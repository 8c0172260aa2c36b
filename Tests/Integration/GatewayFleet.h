#pragma once

#include "FakeBackend.h"
#include "Fleet.h"
#include "Process.h"

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace GraniteField::Testing {

/// Gateways as processes of their own, before the stand-in of the platform's store.
class GatewayFleet {
public:
    GatewayFleet();
    ~GatewayFleet();
    GatewayFleet(GatewayFleet const&) = delete;
    GatewayFleet& operator=(GatewayFleet const&) = delete;

    struct Gateway {
        std::unique_ptr<Process> process;
        std::uint16_t callers {0};
        std::uint16_t readiness {0};
        std::uint16_t operators {0};
        std::uint16_t peers {0};
    };

    /// Starts a gateway; `store` is the port of its way to the store, the store itself by default.
    Gateway start(std::string const& name, Json const& peer_addresses = Json::array(), std::uint16_t store = 0);

    /// Starts a gateway with these settings, which name it.
    Gateway start_with(Json const& settings);

    /// The settings that start() uses.
    [[nodiscard]] Json make_settings(
        std::string const& name, Json const& peer_addresses = Json::array(), std::uint16_t store = 0) const;
    /// Starts a gateway without waiting for its announcement.
    [[nodiscard]] std::unique_ptr<Process> launch(
        Json const& settings, Process::Errors errors = Process::Errors::Inherited);
    /// The same with a settings file of the test's own.
    [[nodiscard]] static std::unique_ptr<Process> launch_from(
        std::string const& path, Process::Errors errors = Process::Errors::Inherited);
    /// Writes the settings file of the gateway that they name, and returns its path.
    std::string write_settings(Json const& settings);
    [[nodiscard]] static Gateway wait_for_announcement(std::unique_ptr<Process>);

    /// Gateways that start from now on report usage; these are their settings for it.
    void set_duties(Json duties) { m_duties = std::move(duties); }

    /// Gateways that start from now on follow drains of failure domains, which hold within that time.
    void set_domain_drains(Core::Milliseconds limit) { m_drain_limit = limit; }

    /// Gateways that start from now on have this much memory.
    void set_memory_megabytes(unsigned megabytes) { m_memory_megabytes = megabytes; }

    [[nodiscard]] std::filesystem::path const& directory() const { return m_directory; }
    [[nodiscard]] Json const& settings_of(std::string const& name) const { return m_settings.at(name); }
    [[nodiscard]] std::uint16_t platform_port() const { return m_platform_port; }

    /// Sets the store's switches; PlatformServer.h lists them.
    void control(Json const&) const;
    void put(std::string const& kind, std::string const& name, Json const& spec) const;
    /// The same with a spec that need not be JSON.
    void put_text(std::string const& kind, std::string const& name, std::string const& spec_text) const;
    /// A configuration with one route to the service `svc`, for repeatable requests.
    void put_configuration(unsigned version, std::string const& prefix) const;
    void put_server(Entry::ServerEntry const&, std::string const& state = "ready") const;
    void put_server(FakeBackend const& backend, std::string const& state = "ready") const
    {
        put_server(backend.entry(), state);
    }
    void remove(std::string const& kind, std::string const& name) const;
    void remove_server(std::string const& instance) const { remove("servers", instance); }

    /// A route as the operators write it.
    [[nodiscard]] static Json route(std::string const& name, std::string const& prefix, std::string const& kind);
    [[nodiscard]] static Json configuration(unsigned version, Json const& routes);

    /// The status of a request that names its signature as the platform does.
    [[nodiscard]] static int ask(Gateway const&, std::string const& path);
    [[nodiscard]] static bool is_ready(Gateway const&);
    /// The value of a metric by its name and labels as they are written; 0 while it is not there.
    [[nodiscard]] static std::uint64_t metric(Gateway const&, std::string const& name);
    /// Answers every request well.
    [[nodiscard]] static FakeBackend::Script good();

private:
    Process m_platform;
    std::uint16_t m_platform_port;
    std::filesystem::path m_directory;
    std::map<std::string, Json> m_settings;
    Json m_duties;
    std::optional<Core::Milliseconds> m_drain_limit;
    std::optional<unsigned> m_memory_megabytes;
};

}
