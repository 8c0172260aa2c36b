// Gateways as processes of their own that report usage: what the recipient sees while holders die, stop and are
// refused.
#include "FakeBackend.h"
#include "GatewayFleet.h"

#include <LibCore/Text.h>
#include <LibHTTP/HttpServer.h>

#include <algorithm>
#include <csignal>
#include <mutex>
#include <set>
#include <vector>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

/// A call as the platform saw it.
struct SeenCall {
    std::string holder;
    std::uint64_t token {0};
    std::uint64_t window {0};
    std::map<std::string, std::uint64_t> counts;
    bool is_accepted {false};
};

/// Stands for the platform's end of the duty.
class Recipient {
public:
    Recipient()
        : m_server(*Core::Address::from_string("127.0.0.1:0"), [this](auto const& request) { return take(request); })
    {
    }

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
    /// Answers the next calls with this status and takes none of them.
    void refuse(unsigned count, int status)
    {
        std::lock_guard const lock(m_mutex);
        m_refusals = count;
        m_refusal_status = status;
    }
    [[nodiscard]] std::vector<SeenCall> calls() const
    {
        std::lock_guard const lock(m_mutex);
        return m_calls;
    }
    /// Requests of all windows that were reported.
    [[nodiscard]] std::uint64_t reported(std::string const& workspace) const
    {
        std::map<std::uint64_t, std::uint64_t> by_window;
        for (auto const& call : calls()) {
            auto const found = call.counts.find(workspace);
            if (call.is_accepted && found != call.counts.end())
                by_window[call.window] = found->second;
        }
        std::uint64_t total = 0;
        for (auto const& [window, count] : by_window)
            total += count;
        return total;
    }

private:
    HTTP::ServerResponse take(HTTP::ServerRequest const& request)
    {
        std::lock_guard const lock(m_mutex);
        auto const json = Json::parse(request.body);
        SeenCall call {request.headers.at("x-duty-holder"), std::stoul(request.headers.at("x-fence-token")),
            json.at("window_no"), json.at("counts"), m_refusals == 0};
        m_calls.push_back(call);
        if (call.is_accepted)
            return {200, "application/json", {}, "{}"};
        --m_refusals;
        return {m_refusal_status, "text/plain", {}, "later"};
    }

    mutable std::mutex m_mutex;
    std::vector<SeenCall> m_calls;
    unsigned m_refusals {0};
    int m_refusal_status {429};
    HTTP::HttpServer m_server;
};

/// Within which the word of a holder is with all gateways.
constexpr Core::Milliseconds s_word_limit {1'000};

class UsageDuty : public ::testing::Test, protected GatewayFleet {
protected:
    UsageDuty()
    {
        set_duties({{"address", Core::concat("127.0.0.1:", m_recipient.port())}, {"usage-window", "1s"},
            {"usage-late", "8s"}, {"lease", "900ms"}, {"lease-margin", "200ms"}, {"call-timeout", "300ms"},
            {"call-pause", "50ms"}, {"patience", "300ms"}});
        auto route = GatewayFleet::route("r-1", "/a/", "safe");
        route["no_auth"] = false;
        auto json = configuration(1, Json::array({route}));
        json["tenants"] = Json::array({{{"name", "w-1"}, {"api_keys", {"key-1"}}, {"prio", 0}}});
        put("config", "main", json);
        put_server(m_backend);
        for (auto const* name : {"g-1", "g-2", "g-3"})
            m_gateways.push_back(start(name, m_gateways.empty() ? Json::array() : seeds()));
    }

    [[nodiscard]] Json seeds() const { return Json::array({Core::concat("127.0.0.1:", m_gateways.front().peers)}); }

    /// Sends so many requests to each gateway that runs.
    void ask_all(unsigned count)
    {
        for (auto const& gateway : m_gateways) {
            if (!gateway.process)
                continue;
            ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
            for (unsigned number = 0; number < count; ++number) {
                RawCaller caller(gateway.callers);
                caller.write("GET /a/ HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: r-1\r\nAuthorization: Bearer "
                             "key-1\r\n\r\n");
                ASSERT_EQ(caller.read_answer().status, 200);
                ++m_asked;
            }
        }
    }

    [[nodiscard]] bool is_all_reported()
    {
        return wait_until([this] { return m_recipient.reported("w-1") == m_asked; }, 12s);
    }

    /// The gateway that holds the duty by its metrics, or the count of gateways.
    [[nodiscard]] std::size_t holder() const
    {
        auto const found = std::ranges::find_if(m_gateways,
            [](auto const& gateway) { return gateway.process && metric(gateway, "granitefield_duty_holding") == 1; });
        return static_cast<std::size_t>(found - m_gateways.begin());
    }

    void expect_sound_calls() const
    {
        std::uint64_t highest = 0;
        std::map<std::uint64_t, std::string> holders;
        std::map<std::uint64_t, std::map<std::string, std::uint64_t>> accepted;
        for (auto const& call : m_recipient.calls()) {
            EXPECT_GE(call.token, highest);
            highest = std::max(highest, call.token);
            EXPECT_EQ(holders.try_emplace(call.token, call.holder).first->second, call.holder);
            if (call.is_accepted) {
                EXPECT_EQ(accepted.try_emplace(call.window, call.counts).first->second, call.counts);
            }
        }
    }

    FakeBackend m_backend {"i-1", good()};
    Recipient m_recipient;
    std::vector<Gateway> m_gateways;
    std::uint64_t m_asked {0};
};

}

TEST_F(UsageDuty, ReportsEachRequestOnceByOneHolder)
{
    ask_all(10);
    EXPECT_TRUE(is_all_reported());
    expect_sound_calls();
    std::set<std::string> holders;
    for (auto const& call : m_recipient.calls())
        holders.insert(call.holder);
    EXPECT_EQ(holders.size(), 1U);
    // Every gateway knows of the holder and of the windows. The first report may be accepted before the word of its
    // holder has come to all: it comes with the datagrams about load, and right after a start there may be two relays.
    auto const usage_at
        = [](auto const& gateway) { return send_request(gateway.operators, "GET", "/status", "").json().at("usage"); };
    for (auto const& gateway : m_gateways) {
        ASSERT_TRUE(wait_until([&] { return usage_at(gateway).at("lease-version") > 0; }, s_word_limit));
        auto const usage = usage_at(gateway);
        EXPECT_GT(usage.at("lease-version"), 0);
        EXPECT_LT(usage.at("holder-heard-ms-ago"), 1'000);
        EXPECT_FALSE(usage.at("windows").empty());
    }
}

TEST_F(UsageDuty, AnotherGatewayFollowsAHolderThatIsKilled)
{
    ask_all(5);
    ASSERT_TRUE(is_all_reported());
    auto const killed = holder();
    ASSERT_LT(killed, m_gateways.size());
    m_gateways.at(killed).process.reset();
    ask_all(5);
    EXPECT_TRUE(is_all_reported());
    EXPECT_NE(holder(), killed);
    expect_sound_calls();
}

TEST_F(UsageDuty, SendsARefusedReportAgainWordForWord)
{
    m_recipient.refuse(4, 429);
    ask_all(5);
    EXPECT_TRUE(is_all_reported());
    EXPECT_GE(m_recipient.calls().size(), 5U);
    expect_sound_calls();
}

TEST_F(UsageDuty, ReportsWhatItCountedWhileTheStoreWasAway)
{
    ask_all(5);
    ASSERT_TRUE(is_all_reported());
    control({{"outage", "busy"}});
    ask_all(5);
    control({{"outage", ""}});
    EXPECT_TRUE(is_all_reported());
    expect_sound_calls();
}

}
