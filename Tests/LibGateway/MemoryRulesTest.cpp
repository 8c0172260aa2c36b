// Checks the memory that a gateway holds for requests, and what it answers when there is none left.
#include "GatewayFixture.h"

#include <LibCore/Text.h>

#include <atomic>
#include <thread>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

class MemoryRules : public GatewayFixture {
protected:
    static constexpr std::size_t s_body_bytes = 1U << 20U;
    static constexpr std::size_t s_memory_limit = 8U << 20U;
    /// Number of bodies that fit into the part of the limit that all tiers may use.
    static constexpr std::size_t s_fitting_bodies = 5;

    MemoryRules()
    {
        m_settings.runs.memory_limit = s_memory_limit;
        add_route("urgent", {{"path-prefix", "/urgent/"}});
        set(Table::SheetName::Classes, "urgent", {{"tier", "1"}});
        add_route("file", {{"path-prefix", "/file/"}, {"time-limit", "60s"}});
        add_route("once", {{"path-prefix", "/once/"}, {"tries", "1"}});
    }

    /// Starts a gateway whose backend server answers once release() was called.
    void start_with_held_answers()
    {
        m_backend = &add_backend("i-1", [this](auto& connection, auto const& request, auto) {
            m_may_answer.wait(false);
            connection.write(answer_to(request, 200, "fine"));
        });
        start();
    }
    ~MemoryRules() override { release(); }

    void release()
    {
        m_may_answer = true;
        m_may_answer.notify_all();
    }

    /// Sends requests with bodies, of which each is held by the gateway before the next one is sent.
    std::vector<std::unique_ptr<RawCaller>> hold_bodies(std::string const& target, std::size_t count)
    {
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (std::size_t number = 0; number < count; ++number) {
            callers.push_back(call(request("POST", target, "", std::string(s_body_bytes, 'b'))));
            EXPECT_TRUE(wait_until([&] { return m_backend->count() == number + 1; }))
                << number << " " << m_backend->count();
        }
        return callers;
    }

    [[nodiscard]] std::size_t held_bytes() const
    {
        return nlohmann::json::parse(m_gateway->status())["held-bytes"].get<std::size_t>();
    }

    template <typename Condition>
    static bool wait_until(Condition condition)
    {
        auto const end = Core::monotonic_now() + Core::Milliseconds(5'000);
        while (!condition() && Core::monotonic_now() < end)
            std::this_thread::sleep_for(Core::Milliseconds(5));
        return condition();
    }

    [[nodiscard]] static std::string head_with_length(std::string const& target, std::size_t length)
    {
        return request("POST", target, Core::concat("Content-Length: ", length, "\r\n"));
    }

    FakeBackend* m_backend {nullptr};
    std::atomic<bool> m_may_answer {false};
};

}

TEST_F(MemoryRules, RefusesARequestBeforeItsBodyIsRead)
{
    start_with_held_answers();
    auto const held = hold_bodies("/safe/", s_fitting_bodies);
    auto const caller = call(head_with_length("/safe/", 2 * s_body_bytes));
    auto const answer = caller->read_answer();
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(field_of(answer.head, "Retry-After"));
    EXPECT_EQ(field_of(answer.head, "Connection"), "close");
    EXPECT_EQ(counter("granitefield_gateway_memory_refusals_total"), 1U);
    release();
    for (auto const& other : held)
        EXPECT_EQ(other->read_answer().body, "fine");
    EXPECT_EQ(m_backend->count(), s_fitting_bodies);
}

TEST_F(MemoryRules, DoesNotAskForABodyThatItRefuses)
{
    start_with_held_answers();
    auto const held = hold_bodies("/safe/", s_fitting_bodies);
    auto const fields = Core::concat("Expect: 100-continue\r\nContent-Length: ", 2 * s_body_bytes, "\r\n");
    auto const caller = call(request("POST", "/safe/", fields));
    EXPECT_TRUE(caller->has_received("HTTP/1.1 503"));
}

// The kernel resets a connection that is closed with unread input, and discards the answer at the caller.
TEST_F(MemoryRules, DeliversTheRefusalToACallerThatSendsItsWholeBodyFirst)
{
    start_with_held_answers();
    auto const held = hold_bodies("/safe/", s_fitting_bodies);
    auto const caller = call(head_with_length("/safe/", 4 * s_body_bytes));
    std::string const part(s_body_bytes / 2, 'b');
    // Takes longer than a connection waits for a silent caller.
    for (int count = 0; count < 8; ++count) {
        std::this_thread::sleep_for(Core::Milliseconds(200));
        caller->write(part);
    }
    EXPECT_EQ(caller->read_answer().status, 503);
    EXPECT_LE(held_bytes(), s_memory_limit);
}

TEST_F(MemoryRules, RefusesAChunkedBodyOnceItDoesNotFit)
{
    start_with_held_answers();
    auto const held = hold_bodies("/safe/", s_fitting_bodies);
    auto const caller = call(request("POST", "/safe/", "Transfer-Encoding: chunked\r\n"));
    std::string const part(256U << 10U, 'b');
    for (std::size_t sent = 0; sent < 4 * s_body_bytes; sent += part.size())
        caller->write(chunk(part));
    EXPECT_EQ(caller->read_answer().status, 503);
    EXPECT_LE(held_bytes(), s_memory_limit);
    EXPECT_EQ(m_backend->count(), s_fitting_bodies);
}

TEST_F(MemoryRules, AdmitsUrgentRequestsBesideHeldBulk)
{
    start_with_held_answers();
    auto const held = hold_bodies("/safe/", s_fitting_bodies);
    EXPECT_EQ(call(head_with_length("/safe/", s_body_bytes * 3 / 2))->read_answer().status, 503);
    auto const urgent = call(request("POST", "/urgent/", "", std::string(s_body_bytes * 3 / 2, 'b')));
    EXPECT_TRUE(wait_until([&] { return m_backend->count() == s_fitting_bodies + 1; }));
    release();
    EXPECT_EQ(urgent->read_answer().body, "fine");
}

TEST_F(MemoryRules, AdmitsRequestsAgainOnceOthersAreAnswered)
{
    start_with_held_answers();
    auto held = hold_bodies("/safe/", s_fitting_bodies);
    auto const large = request("POST", "/safe/", "", std::string(2 * s_body_bytes, 'b'));
    EXPECT_EQ(answer_of(large).status, 503);
    release();
    for (auto const& caller : held)
        EXPECT_EQ(caller->read_answer().status, 200);
    EXPECT_EQ(answer_of(large).status, 200);
    // The connections stay open.
    EXPECT_TRUE(wait_until([&] { return held_bytes() < s_body_bytes / 2; })) << held_bytes();
}

TEST_F(MemoryRules, HoldsNoBodyThatWasSentForTheLastTime)
{
    start_with_held_answers();
    auto const held = hold_bodies("/once/", 3 * s_fitting_bodies);
    EXPECT_TRUE(wait_until([&] { return held_bytes() < s_body_bytes; })) << held_bytes();
    release();
    for (auto const& caller : held)
        EXPECT_EQ(caller->read_answer().body, "fine");
}

TEST_F(MemoryRules, SendsTheWholeBodyAgainAfterAnAttemptThatDidNotRun)
{
    std::string const body(s_body_bytes, 'b');
    auto const script = [](auto& connection, auto const& request, auto index) {
        connection.write(index == 0 ? refusal_to(request, 503) : answer_to(request, 200, "fine"));
    };
    auto& first = add_backend("i-1", script);
    auto& second = add_backend(
        "i-2", [](auto& connection, auto const& request, auto) { connection.write(refusal_to(request, 503)); });
    start();
    static_cast<void>(answer_of(request("POST", "/plain/", "", body)));
    EXPECT_EQ(first.count() + second.count(), 2U);
    for (auto const* backend : {&first, &second}) {
        for (auto const& received : backend->requests())
            EXPECT_EQ(body_of(received), body);
    }
}

TEST_F(MemoryRules, CountsABodyWhileItArrives)
{
    start_with_held_answers();
    auto const caller = call(head_with_length("/safe/", s_body_bytes) + std::string(s_body_bytes / 2, 'b'));
    EXPECT_TRUE(wait_until([&] { return held_bytes() >= s_body_bytes; }));
    caller->close();
    EXPECT_TRUE(wait_until([&] { return held_bytes() < s_body_bytes / 2; }));
}

TEST_F(MemoryRules, CountsAResponseThatIsNotComplete)
{
    add_backend("i-1", [this](auto& connection, auto const& request, auto) {
        auto const answer = answer_to(request, 200, std::string(s_body_bytes, 'x'));
        connection.write(answer.substr(0, answer.size() - 1));
        m_may_answer.wait(false);
        connection.write(answer.substr(answer.size() - 1));
    });
    m_settings.runs.max_buffered_response = 2 * s_body_bytes;
    start();
    auto const caller = call(request("GET", "/file/"));
    EXPECT_TRUE(wait_until([&] { return held_bytes() >= s_body_bytes; }));
    release();
    EXPECT_EQ(caller->read_answer().body.size(), s_body_bytes);
    EXPECT_TRUE(wait_until([&] { return held_bytes() < s_body_bytes / 2; }));
}

TEST_F(MemoryRules, KeepsNoLargeBuffersForIdleConnections)
{
    constexpr std::size_t count = 50;
    add_backend(
        "i-1", [](auto& connection, auto const& request, auto) { connection.write(answer_to(request, 200, "fine")); });
    start();
    std::vector<std::unique_ptr<RawCaller>> idle;
    for (std::size_t number = 0; number < count; ++number) {
        idle.push_back(call(request("POST", "/safe/", "", std::string(s_body_bytes / 4, 'b'))));
        EXPECT_EQ(idle.back()->read_answer().status, 200);
    }
    EXPECT_TRUE(wait_until([&] { return held_bytes() <= count * (4U << 10U); })) << held_bytes();
}

}
