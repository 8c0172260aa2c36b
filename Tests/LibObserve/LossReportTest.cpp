#include <LibObserve/LossReport.h>

#include <sstream>
#include <string>

#include <gtest/gtest.h>

namespace GraniteField::Observe {

namespace {

std::string dispatch(std::string const& request, int predicted)
{
    return R"({"time":1000,"event":"dispatch","request":")" + request + R"(","predicted_wait_ms":)"
        + std::to_string(predicted) + "}\n";
}

/// The line that ends a request of a class with a target of 600 ms, and 200 ms for pauses.
std::string end(std::string const& members)
{
    return R"(front-1 | {"time":3500,"event":"request-end","class":"chat","server":"i-1","target_ms":600,)"
           R"("pause_target_ms":200,)"
        + members + "}\n";
}

std::string reason_of(std::string const& members)
{
    std::istringstream input(end(members));
    LossReport report;
    report.read(input);
    return report.fates().empty() ? "" : report.fates().front().reason;
}

}

TEST(LossReport, SaysWhyARequestWasNotAnsweredInTime)
{
    std::string const done = R"("outcome":"done","status":200,)";
    EXPECT_EQ(reason_of(done + R"("first_ms":600,"longest_pause_ms":200,"total_ms":9000)"), "in-time");
    EXPECT_EQ(reason_of(done + R"("first_ms":601,"longest_pause_ms":300,"total_ms":9000)"), "first piece late");
    EXPECT_EQ(reason_of(done + R"("first_ms":20,"longest_pause_ms":201,"total_ms":9000)"), "pause late");
    // What is no stream has its first piece with its whole answer.
    EXPECT_EQ(reason_of(done + R"("first_ms":-1,"longest_pause_ms":0,"total_ms":600)"), "in-time");
    EXPECT_EQ(reason_of(done + R"("first_ms":-1,"longest_pause_ms":0,"total_ms":601)"), "first piece late");
    EXPECT_EQ(reason_of(R"("outcome":"done","status":500,"first_ms":-1,"total_ms":5)"), "answered 500");
    EXPECT_EQ(reason_of(R"("outcome":"unknown","status":0,"reason":"caller_gone","first_ms":-1)"),
        "caller left before the first piece");
    EXPECT_EQ(reason_of(R"("outcome":"unknown","status":0,"reason":"caller_gone","first_ms":5)"),
        "caller left within the answer");
    EXPECT_EQ(reason_of(R"("outcome":"not-run","status":503,"reason":"refused")"), "not-run: refused");
}

TEST(LossReport, JoinsTheLastChoiceAndCountsByWhatIsAsked)
{
    std::istringstream input("no line of ours\n{\"broken\n" + dispatch("r-1", 10) + dispatch("r-1", 700)
        + end(R"("request":"r-1","outcome":"done","status":200,"first_ms":900,"total_ms":950)")
        + end(R"("request":"r-2","outcome":"done","status":200,"first_ms":100,"total_ms":950)"));
    LossReport report;
    report.read(input);
    ASSERT_EQ(report.fates().size(), 2U);
    EXPECT_EQ(report.fates()[0].predicted_wait, Core::Milliseconds(700));
    EXPECT_EQ(report.fates()[0].first_piece, Core::Milliseconds(900));
    EXPECT_EQ(report.fates()[0].second, 2);
    EXPECT_FALSE(report.fates()[1].predicted_wait);
    auto const counts = report.count_by([](auto const& fate) { return fate.server; });
    EXPECT_EQ(counts.at("i-1").at("first piece late"), 1U);
    EXPECT_EQ(counts.at("i-1").at("in-time"), 1U);
}

}
