#pragma once

#include "FakeBackend.h"
#include "NullDescriptor.h"

#include <LibCore/Hashing.h>
#include <LibGateway/GatewayServer.h>
#include <LibObserve/EventLog.h>

#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

/// Runs a gateway in this process, with scripted backend servers.
class GatewayFixture : public ::testing::Test {
protected:
    static constexpr char const* s_key = "key-1";

    GatewayFixture()
    {
        m_settings.callers = *Core::Address::from_string("127.0.0.1:0");
        m_settings.readiness = *Core::Address::from_string("127.0.0.1:0");
        m_settings.fleet.failure_domain = "here";
        m_settings.runs.retries = {1.0, 1000, Core::Milliseconds(10'000)};
        add_route("plain", {{"path-prefix", "/plain/"}, {"tries", "2"}});
        add_route("safe", {{"path-prefix", "/safe/"}, {"tries", "2"}, {"repeatable", "yes"}});
        add_route("stream", {{"path-prefix", "/stream/"}, {"tries", "2"}, {"answer", "events"}});
        add_route(
            "resumable", {{"path-prefix", "/resumable/"}, {"tries", "2"}, {"answer", "events"}, {"resumable", "yes"}});
        add_route("keyed", {{"path-prefix", "/keyed/"}, {"key", "required"}});
        set(Table::SheetName::Workspaces, "ws", {{"key-hash", Core::sha256_hex(s_key)}, {"tier", "1"}});
    }

    using Cells = std::vector<std::pair<std::string, std::string>>;

    void set(Table::SheetName sheet, std::string const& row, Cells const& cells)
    {
        for (auto const& [column, value] : cells)
            m_change.push_back({{sheet, row, column}, value});
    }

    /// Adds a route from the host `host.test` to the service `svc`. No key is required unless the cells say otherwise.
    void add_route(std::string const& name, Cells const& cells)
    {
        set(Table::SheetName::Services, "svc", {{"kind", "plain"}});
        set(Table::SheetName::Classes, name, {{"tier", "2"}, {"first-token", "1s"}});
        set(Table::SheetName::Routes, name,
            {{"host", "host.test"}, {"class", name}, {"services", "svc:1"}, {"key", "open"}, {"time-limit", "5s"}});
        set(Table::SheetName::Routes, name, cells);
    }

    FakeBackend& add_backend(std::string const& instance, FakeBackend::Script script,
        FakeBackend::Reading reading = FakeBackend::Reading::WholeRequest)
    {
        m_backends.push_back(std::make_unique<FakeBackend>(instance, std::move(script), reading));
        m_servers_list.servers.push_back(m_backends.back()->entry());
        return *m_backends.back();
    }

    void publish_servers()
    {
        m_servers_list.revision = m_servers_list.revision.next();
        m_servers.replace(m_servers_list);
        if (m_gateway)
            m_gateway->wake();
    }

    void publish_table()
    {
        m_table.offer(Table::Table().with(m_change));
        if (m_gateway)
            m_gateway->wake();
    }

    void start_without_table()
    {
        m_gateway = std::make_unique<Gateway::GatewayServer>(
            m_settings, m_table, m_servers, m_membership, m_duty, m_log, m_metrics);
        m_gateway->wake();
    }

    void start()
    {
        publish_table();
        publish_servers();
        start_without_table();
    }

    [[nodiscard]] std::unique_ptr<RawCaller> call(std::string const& request) const
    {
        auto caller = std::make_unique<RawCaller>(m_gateway->caller_port());
        caller->write(request);
        return caller;
    }

    [[nodiscard]] RawCaller::Answer answer_of(std::string const& request) const { return call(request)->read_answer(); }

    /// Returns a request with an id and the given fields and body.
    [[nodiscard]] static std::string request(std::string const& method, std::string const& target,
        std::string const& fields = "", std::string const& body = "")
    {
        auto text = method + " " + target + " HTTP/1.1\r\nHost: host.test\r\nGranitefield-Request: r-1\r\n" + fields;
        if (!body.empty())
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return text + "\r\n" + body;
    }

    [[nodiscard]] std::uint64_t counter(std::string const& name, Observe::Labels const& labels = {})
    {
        return m_metrics.counter(name, labels).value();
    }

    NullDescriptor m_log_descriptor;
    Gateway::GatewayServer::Settings m_settings;
    Table::Change m_change;
    Entry::ServerList m_servers_list;
    Observe::MetricRegistry m_metrics;
    Observe::EventLog m_log {m_log_descriptor.number(), "gateway-1", Core::Incarnation(1), m_metrics};
    Entry::SharedTable m_table;
    Entry::SharedServers m_servers;
    Entry::SharedMembership m_membership;
    Entry::WatchDuty m_duty {Core::Milliseconds(3'000), 0, m_table, m_servers, m_log, m_metrics};
    std::vector<std::unique_ptr<FakeBackend>> m_backends;
    std::unique_ptr<Gateway::GatewayServer> m_gateway;
};

}
