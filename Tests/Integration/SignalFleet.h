#pragma once

#include "Fleet.h"
#include "GatewayFleet.h"
#include "SignalBackend.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

/// Gateways as processes before backend servers that state things about themselves, with a caller at every gateway that
/// sends at a steady rate.
class SignalFleet : public ::testing::Test, protected GatewayFleet {
protected:
    ~SignalFleet() override { stop_callers(); }

    SignalBackend& add_backend(std::string const& instance, Core::Milliseconds work_time)
    {
        m_backends.push_back(std::make_unique<SignalBackend>(instance, work_time, m_judges));
        put_server(m_backends.back()->entry());
        return *m_backends.back();
    }

    /// Starts so many gateways that know each other.
    void start_gateways(std::size_t count)
    {
        put_configuration(1, "/v1/");
        Json seeds = Json::array();
        for (std::size_t number = 0; number < count; ++number) {
            m_gateways.push_back(start(gateway_name(number), seeds));
            if (number == 0)
                seeds.push_back(Core::concat("127.0.0.1:", m_gateways.front().peers));
        }
        for (auto const& gateway : m_gateways) {
            ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
            ASSERT_TRUE(wait_until([&] { return metric(gateway, "granitefield_peers") + 1 == count; }));
        }
    }

    /// Lets the callers send, the pause between two requests at each gateway.
    void start_callers(Core::Milliseconds pause)
    {
        for (std::size_t number = 0; number < m_gateways.size(); ++number)
            m_callers.emplace_back([this, number, pause] { call_until_stopped(number, pause); });
    }

    void stop_callers()
    {
        m_should_stop = true;
        for (auto& caller : m_callers)
            caller.join();
        m_callers.clear();
    }

    static void let_pass(Core::Milliseconds time) { std::this_thread::sleep_for(time); }

    void expect_promises_kept() const
    {
        for (auto const& finding : m_judges.findings())
            ADD_FAILURE() << finding;
    }

    SignalJudges m_judges;
    std::vector<std::unique_ptr<SignalBackend>> m_backends;
    std::vector<Gateway> m_gateways;
    std::atomic<unsigned> m_served {0};
    std::atomic<unsigned> m_refused {0};

private:
    void call_until_stopped(std::size_t number, Core::Milliseconds pause)
    {
        auto next = Core::monotonic_now();
        for (unsigned call = 0; !m_should_stop; ++call) {
            this->call(number, Core::concat(gateway_name(number), "-", call));
            next += pause;
            std::this_thread::sleep_for(next - Core::monotonic_now());
        }
    }

    void call(std::size_t number, std::string const& id)
    {
        RawCaller caller(m_gateways[number].callers);
        m_judges.leaving.note_sent(id, Core::monotonic_now());
        caller.write(Core::concat(
            "GET /v1/ HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: ", id, "\r\nX-Deadline-Ms: 2000\r\n\r\n"));
        auto const answer = caller.read_answer();
        ++(answer.status == 200 ? m_served : m_refused);
        note_passed_on(m_judges, answer.head, gateway_of(id));
    }

    std::vector<std::thread> m_callers;
    std::atomic<bool> m_should_stop {false};
};

}
