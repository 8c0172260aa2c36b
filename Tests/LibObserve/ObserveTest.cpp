#include <LibObserve/DecisionRing.h>
#include <LibObserve/Metrics.h>
#include <LibObserve/SpanExporter.h>
#include <LibObserve/TraceContext.h>

#include <string>

#include <LibObserve/EventLog.h>

#include <array>
#include <poll.h>
#include <unistd.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Observe {

using namespace std::chrono_literals;

TEST(TraceContext, FollowsTheRecommendation)
{
    auto const context = TraceContext::from_header("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01");
    ASSERT_TRUE(context);
    EXPECT_TRUE(context->is_sampled);
    EXPECT_EQ(context->to_header(), "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01");
    EXPECT_FALSE(TraceContext::from_header("00-00000000000000000000000000000000-00f067aa0ba902b7-01"));
    EXPECT_FALSE(TraceContext::from_header("ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"));
    EXPECT_FALSE(TraceContext::from_header("00-4BF92F3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"));
    EXPECT_FALSE(TraceContext::from_header("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more"));
    EXPECT_TRUE(TraceContext::from_header("01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more"));
}

RC_GTEST_PROP(TraceContext, TakesAnyText, (std::string const& text))
{
    auto const context = TraceContext::from_header(text);
    if (context)
        RC_ASSERT(TraceContext::from_header(context->to_header()) == context);
    static_cast<void>(TraceContext::from_header("00-4bf92f3577b34da6a3ce929d0e0e4736-" + text));
}

TEST(Distribution, GivesQuantilesWithinABin)
{
    Distribution distribution;
    for (int value = 1; value <= 1000; ++value)
        distribution.add(Core::Microseconds(value * 100));
    auto const median = distribution.quantile(0.5);
    EXPECT_GE(median, 50ms);
    EXPECT_LE(median, 55ms);
    EXPECT_EQ(distribution.count(), 1000U);
}

TEST(MetricRegistry, WritesPrometheusText)
{
    MetricRegistry metrics;
    metrics.counter("requests_total", {{"class", "cl\"erk"}}).add(3);
    metrics.distribution("wait_seconds").add(2ms);
    auto const text = metrics.to_text();
    EXPECT_NE(text.find("requests_total{class=\"cl\\\"erk\"} 3\n"), std::string::npos) << text;
    EXPECT_NE(text.find("wait_seconds_bucket{le=\"+Inf\"} 1\n"), std::string::npos) << text;
}

TEST(DecisionRing, ForgetsTheOldest)
{
    DecisionRing ring(2);
    Core::RequestId const request {1, 2};
    ring.record(request, "one");
    ring.record({3, 4}, "two");
    ring.record(request, "three");
    ASSERT_EQ(ring.about(request).size(), 1U);
    EXPECT_EQ(ring.about(request).front().what, "three");
    EXPECT_EQ(ring.recent(10).size(), 2U);
}

TEST(SpanExporter, WritesTheOtlpForm)
{
    Span span;
    span.context = *TraceContext::from_header("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01");
    span.name = "entry";
    span.attributes = {{"class", "clerk"}};
    auto const json = nlohmann::json::parse(encode_spans("granitefield-entry", {span}));
    auto const& written = json["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    EXPECT_EQ(written["traceId"], "4bf92f3577b34da6a3ce929d0e0e4736");
    EXPECT_EQ(written["attributes"][0]["value"]["stringValue"], "clerk");
}

TEST(EventLog, AReaderThatStopsReadingStopsNobody)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(::pipe(ends.data()), 0);
    MetricRegistry metrics;
    auto const begun = Core::monotonic_now();
    {
        EventLog log(ends[1], "host", Core::Incarnation(1), metrics);
        // More than the pipe and the buffer hold together.
        for (int line = 0; line < 20'000; ++line)
            log.write(LogEvent("line").add("text", std::string(100, 'x')), LogWeight::Notable);
        EXPECT_GT(metrics.counter("granitefield_log_lines_dropped_total").value(), 0U);
    }
    // Neither the writers nor the end wait for the reader.
    EXPECT_LT(Core::elapsed(begun, Core::monotonic_now()).count(), 5'000);
    ::close(ends[0]);
    ::close(ends[1]);
}

// A daemon whose main thread waited for a processor printed a log line before its announcement, and whoever had started
// it found no ports in the first line.
TEST(EventLog, HoldsItsLinesUntilTheAnnouncement)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(::pipe(ends.data()), 0);
    MetricRegistry metrics;
    {
        EventLog log(ends[1], "host", Core::Incarnation(1), metrics, EventLog::Output::Held);
        log.write(LogEvent("early"));
        pollfd reader {ends[0], POLLIN, 0};
        EXPECT_EQ(::poll(&reader, 1, static_cast<int>(3 * EventLog::s_gathering_time.count())), 0);
        EXPECT_EQ(::write(ends[1], "{}\n", 3), 3);
        log.begin_output();
    }
    std::array<char, 4096> buffer {};
    auto const size = ::read(ends[0], buffer.data(), buffer.size());
    ASSERT_GT(size, 3);
    std::string_view const output(buffer.data(), static_cast<std::size_t>(size));
    EXPECT_EQ(output.substr(0, 3), "{}\n");
    EXPECT_NE(output.find("early"), std::string_view::npos);
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST(EventLog, LinesAreJsonWhateverTheyHold)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(::pipe(ends.data()), 0);
    MetricRegistry metrics;
    {
        EventLog log(ends[1], "host", Core::Incarnation(1), metrics);
        log.write(
            LogEvent("line").add("text", std::string_view("a\"b\\c\n\0\xff", 8)).add("flag", true).add("number", 7));
    }
    std::array<char, 4096> buffer {};
    auto const size = ::read(ends[0], buffer.data(), buffer.size());
    auto const json = nlohmann::json::parse(std::string(buffer.data(), static_cast<std::size_t>(size)));
    EXPECT_EQ(json["event"], "line");
    EXPECT_EQ(json["host"], "host");
    EXPECT_EQ(json["flag"], true);
    EXPECT_EQ(json["number"], 7);
    ::close(ends[0]);
    ::close(ends[1]);
}

}
