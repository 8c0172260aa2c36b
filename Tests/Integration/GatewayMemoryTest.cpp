// Guards against a gateway that is killed for its memory: bodies of open requests were neither counted nor bounded.
#include "FakeBackend.h"
#include "GatewayFleet.h"
#include "ProcessMemory.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <optional>
#include <thread>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

constexpr std::size_t s_body_bytes = 4U << 20U;
constexpr unsigned s_memory_megabytes = 110;
constexpr std::size_t s_block_bytes = 1U << 20U;
/// More than the gateway's memory.
constexpr std::size_t s_endless_bytes = 160U << 20U;

/// Bytes that a server sends without end: those at the beginning, and a block that is repeated.
struct EndlessAnswer {
    std::string name;
    std::string start;
    std::string block;
};

std::vector<EndlessAnswer> endless_answers()
{
    auto const text = std::string(s_block_bytes, 'x');
    std::string const signature = "X-Request-Id: r-1\r\nX-Response-Stamp: s\r\n";
    auto const head = "HTTP/1.1 200 OK\r\n" + signature;
    auto const chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";
    std::string interim;
    while (interim.size() < s_block_bytes)
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    return {{"bytes", "", text}, {"empty-lines", "", std::string(s_block_bytes, '\n')}, {"interim", "", interim},
        {"reason", "HTTP/1.1 200 ", text}, {"field-name", head, text}, {"field-value", head + "X-Field: ", text},
        {"fields", head, "X-Field: " + text + "\r\n"}, {"status-000", "HTTP/1.1 000 X\r\n" + signature + "\r\n", text},
        {"status-099", "HTTP/1.1 099 X\r\n" + signature + "\r\n", text}, {"body", head + "\r\n", text},
        {"error-body", "HTTP/1.1 500 X\r\n" + signature + "\r\n", text},
        {"length", head + "Content-Length: 99999999999\r\n\r\n", text}, {"chunks", chunked_head, chunk(text)},
        {"chunk-size", chunked_head, std::string(s_block_bytes, '0')}, {"chunk-extension", chunked_head + "5;", text},
        {"trailers", chunked_head + "0\r\n", "X-Field: " + text + "\r\n"}};
}

class GatewayMemory : public ::testing::Test, protected GatewayFleet {
protected:
    void put_upload_route(std::string const& kind) const
    {
        auto upload = route("r-1", "/upload/", kind);
        upload["timeout_ms"] = 15'000;
        upload["latency_slo_ms"] = 10'000;
        upload["attempts"] = kind == "unsafe" ? 1 : 2;
        auto table = configuration(1, Json::array({upload}));
        table["limits"] = {{"max_header_bytes", 16'384}, {"max_body_bytes", s_body_bytes}, {"header_timeout_ms", 3'000},
            {"idle_timeout_ms", 15'000}};
        put("config", "main", table);
    }

    /// Starts a gateway for uploads, which the backend server answers after this time.
    Gateway start_ready(std::string const& kind, Core::Milliseconds time)
    {
        m_backend.emplace("i-1", [time](auto& connection, auto const& request, auto index) {
            std::this_thread::sleep_for(time);
            good()(connection, request, index);
        });
        put_upload_route(kind);
        put_server(*m_backend);
        set_memory_megabytes(s_memory_megabytes);
        auto gateway = start("g-1");
        EXPECT_TRUE(wait_until([&] { return is_ready(gateway); }));
        return gateway;
    }

    /// Sends uploads at this interval and returns their answers.
    static std::vector<RawCaller::Answer> upload(Gateway const& gateway, std::size_t count, Core::Milliseconds interval)
    {
        auto const text = Core::concat("POST /upload/a HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: r-1\r\n"
                                       "Content-Length: ",
                              s_body_bytes, "\r\n\r\n")
            + std::string(s_body_bytes, 'b');
        std::vector<std::future<RawCaller::Answer>> calls;
        for (std::size_t number = 0; number < count; ++number) {
            calls.push_back(std::async(std::launch::async, [&] {
                RawCaller caller(gateway.callers);
                caller.write(text);
                return caller.read_answer();
            }));
            std::this_thread::sleep_for(interval);
        }
        std::vector<RawCaller::Answer> answers;
        for (auto& call : calls)
            answers.push_back(call.get());
        return answers;
    }

    [[nodiscard]] static std::size_t count_status(std::vector<RawCaller::Answer> const& answers, int status)
    {
        return static_cast<std::size_t>(std::ranges::count(answers, status, &RawCaller::Answer::status));
    }

    /// Returns the largest resident size of the process until now.
    [[nodiscard]] static std::size_t peak_megabytes(Gateway const& gateway)
    {
        return peak_memory(gateway.process->id()) >> 20U;
    }

    /// Starts a gateway whose backend server answers with endless bytes where a path names them, and else well.
    Gateway start_with_endless_answers(std::vector<EndlessAnswer> const& answers)
    {
        m_backend.emplace("i-1", [this, answers](auto& connection, auto const& request, auto index) {
            for (auto const& answer : answers) {
                if (request.find(Core::concat("/", answer.name, " HTTP/1.1")) == std::string::npos)
                    continue;
                connection.write(answer.start);
                static_cast<void>(write_without_end(connection, answer.block, s_endless_bytes));
                ++m_ended;
                return;
            }
            good()(connection, request, index);
        });
        put("config", "main",
            configuration(1, Json::array({route("r-1", "/plain/", "unsafe"), route("r-2", "/stream/", "stream")})));
        put_server(*m_backend);
        set_memory_megabytes(s_memory_megabytes);
        auto gateway = start("g-1");
        EXPECT_TRUE(wait_until([&] { return is_ready(gateway); }));
        return gateway;
    }

    std::atomic<std::size_t> m_ended {0};
    std::optional<FakeBackend> m_backend;
};

}

TEST_F(GatewayMemory, KeepsWithinItsMemoryInABurstOfTheLargestBodies)
{
    auto const gateway = start_ready("safe", Core::Milliseconds(2'000));
    auto const answers = upload(gateway, 60, Core::Milliseconds(5));
    auto const answered = count_status(answers, 200);
    EXPECT_EQ(answered + count_status(answers, 503), answers.size());
    for (auto const& answer : answers)
        EXPECT_EQ(answer.status == 503, field_of(answer.head, "Retry-After").has_value());
    // A refused request has not run.
    EXPECT_EQ(m_backend->count(), answered);
    EXPECT_GE(answered, 8U);
    auto const peak = peak_megabytes(gateway);
    RecordProperty("peak_megabytes", static_cast<int>(peak));
    EXPECT_GT(peak, 0U);
    EXPECT_LE(peak, s_memory_megabytes);
}

TEST_F(GatewayMemory, HoldsNoBodyThatCannotBeSentAgain)
{
    auto const gateway = start_ready("unsafe", Core::Milliseconds(4'000));
    auto const answers = upload(gateway, 30, Core::Milliseconds(60));
    EXPECT_EQ(count_status(answers, 200), answers.size());
    EXPECT_LE(peak_megabytes(gateway), s_memory_megabytes / 2);
}

TEST_F(GatewayMemory, KeepsWithinItsMemoryBehindServersWithoutEnd)
{
    auto const endless = endless_answers();
    auto const gateway = start_with_endless_answers(endless);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (auto const& answer : endless) {
        for (auto const* prefix : {"/plain/", "/stream/"}) {
            callers.push_back(std::make_unique<RawCaller>(gateway.callers));
            callers.back()->write(
                Core::concat("GET ", prefix, answer.name, " HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: r-1\r\n\r\n"));
        }
    }
    // Others are served until all of these are over.
    EXPECT_TRUE(wait_until([&] {
        EXPECT_EQ(ask(gateway, "/plain/good"), 200);
        return m_ended >= callers.size();
    }));
    auto const peak = peak_megabytes(gateway);
    RecordProperty("peak_megabytes", static_cast<int>(peak));
    EXPECT_GT(peak, 0U);
    EXPECT_LE(peak, s_memory_megabytes);
}

}
