#pragma once

#include <LibCluster/UsageReporter.h>
#include <LibCore/Address.h>
#include <LibCore/Findings.h>
#include <LibCore/Time.h>
#include <LibEntry/CallerServer.h>
#include <LibEntry/PeerExchange.h>
#include <LibEntry/PlatformSettings.h>
#include <LibEntry/Router.h>
#include <LibGateway/GatewayServer.h>
#include <LibSide/SideAuthority.h>

#include <optional>
#include <string>
#include <string_view>

namespace GraniteField::Settings {

enum class Role {
    Entry,
    Side,
    /// An entry that calls backend servers directly, on the users' platform.
    Gateway,
};

/// What both roles need.
struct CommonSettings {
    std::string name;
    std::string failure_domain;
    std::string region;
    /// Share of a core that this process may use; 0 if not known. Gateways with more relay for others.
    double processor_share {0};
    Core::Address operator_address;
    /// Where spans go; none by default.
    std::optional<Core::Address> trace_collector;
    /// How long not-ready is shown before the listener closes at a planned stop.
    Core::Milliseconds drain_notice {2'000};
    /// How long a planned stop waits for what is in flight.
    Core::Milliseconds drain_limit {120'000};
    std::size_t decisions_kept {20'000};
};

struct EntrySettings {
    Entry::CallerServer::Settings callers;
    Entry::Router::Settings router;
    Entry::PlatformSettings platform;
    Entry::PeerExchange::Settings peers;
};

/// Reporting usage to the platform.
struct DutiesSettings {
    /// Who takes the reports.
    Core::Address address;
    Cluster::UsageSettings usage;
    Cluster::DutySettings lease;
};

struct GatewaySettings {
    Gateway::GatewayServer::Settings server;
    Entry::PeerExchange::Settings peers;
    /// The platform's store, for the configuration and the backend servers.
    Entry::PlatformSettings platform;
    /// Duties that one gateway at a time has; none by default.
    std::optional<DutiesSettings> duties;
};

/// The settings of one daemon, read from its JSON file. docs/OPERATIONS.md lists them.
struct DaemonSettings {
    Role role {Role::Entry};
    CommonSettings common;
    EntrySettings entry;
    Side::SideSettings side;
    GatewaySettings gateway;
};

/// Reads settings. Throws Core::InvalidInput with everything that is wrong, each with its JSON pointer.
[[nodiscard]] DaemonSettings parse_settings(std::string_view json);

}
