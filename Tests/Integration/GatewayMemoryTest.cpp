// Guards against a gateway that is killed for its memory: bodies of open requests were neither counted nor bounded.
#include "FakeBackend.h"
#include "GatewayFleet.h"
#include "ProcessMemory.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <future>
#include <optional>
#include <thread>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

constexpr std::size_t s_body_bytes = 4U << 20U;
constexpr unsigned s_memory_megabytes = 110;

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

}
