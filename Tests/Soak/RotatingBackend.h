#pragma once

#include "StatedSignals.h"

#include <LibCore/Address.h>
#include <LibCore/Text.h>
#include <LibCore/Time.h>
#include <LibEntry/SharedServers.h>
#include <LibHTTP/HttpServer.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Testing {

/// A backend server that is replaced at its address by one instance after the other, and says which request reached
/// which of them.
class RotatingBackend {
public:
    struct Arrival {
        std::string instance;
        std::string request;
        Core::MonotonicTime time;
        /// Time since the end of the bound.
        Core::Milliseconds late {0};
    };

    RotatingBackend(std::string service, std::string name, SignalJudges& judges)
        : m_service(std::move(service))
        , m_name(std::move(name))
        , m_judges(judges)
        , m_signals(make_signals())
        , m_server(*Core::Address::from_string("127.0.0.1:0"), [this](auto const& request) { return serve(request); })
    {
    }

    [[nodiscard]] std::string const& service() const { return m_service; }

    [[nodiscard]] std::string instance() const
    {
        std::lock_guard const lock(m_mutex);
        return instance_locked();
    }

    /// Another instance takes the place of this one.
    void replace()
    {
        std::lock_guard const lock(m_mutex);
        ++m_life;
        m_left_alone_from.reset();
        m_signals = make_signals();
    }

    /// What the present instance states about itself.
    [[nodiscard]] std::shared_ptr<StatedSignals> signals() const
    {
        std::lock_guard const lock(m_mutex);
        return m_signals;
    }

    /// The present instance leaves: requests that arrive after that time are recorded.
    void expect_left_alone_from(Core::MonotonicTime time)
    {
        std::lock_guard const lock(m_mutex);
        m_left_alone_from = time;
    }

    [[nodiscard]] bool is_leaving() const
    {
        std::lock_guard const lock(m_mutex);
        return m_left_alone_from.has_value();
    }

    [[nodiscard]] std::vector<Arrival> take_arrivals()
    {
        std::lock_guard const lock(m_mutex);
        return std::exchange(m_arrivals, {});
    }

    [[nodiscard]] Entry::ServerEntry entry() const
    {
        Entry::ServerEntry entry;
        entry.instance = instance();
        entry.service = m_service;
        entry.address = *Core::Address::from_string(Core::concat("127.0.0.1:", m_server.port()));
        return entry;
    }

private:
    [[nodiscard]] std::string instance_locked() const { return Core::concat(m_name, "-", m_life); }

    [[nodiscard]] std::shared_ptr<StatedSignals> make_signals() const
    {
        return std::make_shared<StatedSignals>(instance_locked(), m_judges);
    }

    [[nodiscard]] HTTP::ServerResponse serve(HTTP::ServerRequest const& request)
    {
        auto const value_of = [&](char const* name) {
            auto const found = request.headers.find(name);
            return found == request.headers.end() ? std::string() : found->second;
        };
        auto const id = value_of("x-request-id");
        std::lock_guard const lock(m_mutex);
        if (value_of("x-expect-instance") != instance_locked())
            return {421, "text/plain", {{"X-Not-Executed", "1"}, {"X-Request-Id", id}}, ""};
        auto const now = Core::monotonic_now();
        if (m_left_alone_from && now > *m_left_alone_from)
            m_arrivals.push_back({instance_locked(), id, now, Core::elapsed(*m_left_alone_from, now)});
        m_signals->note_arrival(id);
        if (auto const retry_after = m_signals->reject(id))
            return {
                503, "text/plain", {{"X-Not-Executed", "1"}, {"X-Request-Id", id}, {"Retry-After", *retry_after}}, ""};
        auto fields = m_signals->fields();
        fields["X-Request-Id"] = id;
        fields["X-Response-Stamp"] = instance_locked();
        return {200, "text/plain", std::move(fields), m_service};
    }

    std::string m_service;
    std::string m_name;
    mutable std::mutex m_mutex;
    unsigned m_life {0};
    SignalJudges& m_judges;
    std::shared_ptr<StatedSignals> m_signals;
    std::optional<Core::MonotonicTime> m_left_alone_from;
    std::vector<Arrival> m_arrivals;
    HTTP::HttpServer m_server;
};

}
