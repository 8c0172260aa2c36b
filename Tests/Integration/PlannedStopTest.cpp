// Guards against requests that a stopping gateway accepts late in its grace period and cuts at the end of it.
#include "FakeBackend.h"
#include "GatewayFleet.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

/// Time from the signal within which the platform expects a gateway to end.
constexpr Core::Milliseconds s_grace {8'000};
/// Time after the last byte of a request within which its connection may end without an answer.
constexpr Core::Milliseconds s_loss_slack {200};
constexpr Core::Milliseconds s_plain_time {100};
constexpr Core::Milliseconds s_pause_between_events {200};
constexpr unsigned s_events = 3;
/// Duration of a stream that outlives the grace period.
constexpr Core::Milliseconds s_long_time {15'000};
constexpr unsigned s_callers = 16;
constexpr Core::Milliseconds s_pause_between_requests {20};
constexpr Core::Milliseconds s_time_before_stop {500};

/// A request and what its caller received.
struct SentRequest {
    std::string id;
    int status {0};
    bool is_whole {false};
    Core::MonotonicTime sent;
    Core::MonotonicTime ended;
};

class PlannedStop : public ::testing::Test, protected GatewayFleet {
protected:
    static FakeBackend::Script serve()
    {
        return [](auto& connection, auto const& text, auto) {
            auto const signature = Core::concat(
                "X-Request-Id: ", field_of(text, "X-Request-Id").value_or(""), "\r\nX-Response-Stamp: sig-1\r\n");
            if (text.starts_with("GET /long/")) {
                connection.write("HTTP/1.1 200 OK\r\n" + signature + "\r\n");
                static_cast<void>(connection.wait_until_closed(s_long_time));
                return;
            }
            if (text.starts_with("GET /plain/")) {
                std::this_thread::sleep_for(s_plain_time);
                return connection.write("HTTP/1.1 200 OK\r\n" + signature + "Content-Length: 4\r\n\r\nfine");
            }
            connection.write("HTTP/1.1 200 OK\r\n" + signature + "Transfer-Encoding: chunked\r\n\r\n");
            for (unsigned id = 1; id <= s_events; ++id) {
                std::this_thread::sleep_for(s_pause_between_events);
                connection.write(chunk(event(id)));
            }
            connection.write("0\r\n\r\n");
        };
    }

    Gateway start_ready()
    {
        auto long_stream = route("r-3", "/long/", "stream");
        long_stream["timeout_ms"] = s_long_time.count();
        put("config", "main",
            configuration(
                1, Json::array({route("r-1", "/plain/", "unsafe"), route("r-2", "/stream/", "stream"), long_stream})));
        put_server(m_backend);
        auto settings = make_settings("g-1");
        settings["drain-notice"] = "2500ms";
        settings["drain-limit"] = Core::format_duration(s_grace);
        settings["platform"]["watch-wait"] = "10s";
        auto gateway = start_with(settings);
        EXPECT_TRUE(wait_until([&] { return is_ready(gateway); }));
        return gateway;
    }

    /// Sends requests one after the other until no connection is accepted any more, each over a connection of its own
    /// or all over one that is kept as long as possible.
    void send_until_stopped(Gateway const& gateway, std::string const& prefix, bool keeps_connection)
    {
        std::unique_ptr<RawCaller> caller;
        for (;; std::this_thread::sleep_for(s_pause_between_requests)) {
            SentRequest request;
            request.id = Core::concat("r-", ++m_count);
            try {
                if (!caller)
                    caller = std::make_unique<RawCaller>(gateway.callers);
            } catch (std::runtime_error const&) {
                return;
            }
            caller->write(
                Core::concat("GET ", prefix, " HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: ", request.id, "\r\n\r\n"));
            request.sent = Core::monotonic_now();
            auto const answer = caller->read_answer();
            request.ended = Core::monotonic_now();
            request.status = answer.status;
            request.is_whole = answer.is_whole;
            if (!keeps_connection || !answer.is_whole || field_of(answer.head, "Connection"))
                caller.reset();
            std::lock_guard const lock(m_mutex);
            m_sent.push_back(request);
        }
    }

    /// Returns the ids of the requests that reached the backend server.
    [[nodiscard]] std::set<std::string> passed_on() const
    {
        std::set<std::string> ids;
        for (auto const& request : m_backend.requests())
            ids.insert(field_of(request, "X-Request-Id").value_or(""));
        return ids;
    }

    /// Stops the gateway while callers send requests to it through the whole grace period, and checks that each one is
    /// answered, or ends soon without having been passed on.
    void check_stop(Gateway& gateway)
    {
        std::vector<std::thread> callers;
        for (unsigned number = 0; number < s_callers; ++number)
            callers.emplace_back(
                [&, number] { send_until_stopped(gateway, number % 2 == 0 ? "/plain/" : "/stream/", number % 4 < 2); });
        std::this_thread::sleep_for(s_time_before_stop);
        auto const stopped = Core::monotonic_now();
        gateway.process->terminate();
        // Takes the log as well, since a stopping gateway waits for a full pipe.
        EXPECT_TRUE(wait_until([&] {
            static_cast<void>(gateway.process->has_printed(""));
            return !gateway.process->is_running();
        }));
        EXPECT_EQ(gateway.process->wait(), 0);
        EXPECT_LE(Core::elapsed(stopped, Core::monotonic_now()), s_grace);
        for (auto& caller : callers)
            caller.join();
        auto const passed = passed_on();
        for (auto const& request : m_sent) {
            if (request.is_whole)
                continue;
            SCOPED_TRACE(Core::concat(
                request.id, " was sent ", Core::elapsed(stopped, request.sent).count(), " ms after the signal"));
            EXPECT_FALSE(passed.contains(request.id));
            EXPECT_LE(Core::elapsed(request.sent, request.ended), s_loss_slack);
        }
    }

    FakeBackend m_backend {"i-1", serve()};
    std::atomic<unsigned> m_count {0};
    std::mutex m_mutex;
    std::vector<SentRequest> m_sent;
};

}

TEST_F(PlannedStop, CutsNoRequestThatWasPassedOn)
{
    auto gateway = start_ready();
    check_stop(gateway);
}

TEST_F(PlannedStop, EndsWithinTheGracePeriodBesideALongStream)
{
    auto gateway = start_ready();
    RawCaller caller(gateway.callers);
    caller.write("GET /long/ HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: r-long\r\n\r\n");
    ASSERT_TRUE(caller.has_received("HTTP/1.1 200"));
    check_stop(gateway);
}

}
