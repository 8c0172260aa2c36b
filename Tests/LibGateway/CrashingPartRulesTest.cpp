// Guards against requests that share a part of their prompts, each of them new, under which one engine after the other
// crashes.
#include "CrashFixture.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <functional>
#include <thread>

namespace GraniteField::Testing {

namespace {

/// Requests with a part `bad...` in their prompts crash engines.
class CrashingPartRules : public CrashFixture {
protected:
    /// Number of crashes after which a part must be known.
    static constexpr std::size_t s_known_crashes = 5;
    static constexpr Core::Milliseconds s_crash_limit {6'000};
    /// Engines read a prompt before they begin to write.
    static constexpr Core::Milliseconds s_crash_delay {350};

    CrashingPartRules()
        : CrashFixture(has_bad_part, s_crash_delay)
    {
    }

    static bool has_bad_part(std::string const& request)
    {
        return field_of(request, "Granitefield-Prompt-Parts").value_or("").find("bad") != std::string::npos;
    }

    /// Sends a new request whose prompt has these shared parts.
    RawCaller::Answer send_prompt(std::string const& parts)
    {
        auto const number = ++m_requests;
        return send(Core::concat("body-", number),
            Core::concat("Granitefield-Prompt-Parts: ", parts, ",own", number, ":10\r\n"));
    }

    /// Calls `send_next` until five engines have crashed under bad parts, or the gateways find the parts before, and
    /// then for the time in which all gateways must learn of it.
    void crash_engines_and_wait(std::function<void()> const& send_next)
    {
        auto const crashed_until = Core::monotonic_now() + s_crash_limit;
        while (arrivals(has_bad_part) < s_known_crashes && Core::monotonic_now() < crashed_until)
            send_next();
        auto const known_at = Core::monotonic_now() + s_propagation_time;
        while (Core::monotonic_now() < known_at) {
            send_next();
            std::this_thread::sleep_for(s_restart_delay / 10);
        }
    }

    /// Returns a function that sends the prompts in turn.
    [[nodiscard]] std::function<void()> in_turn(std::vector<std::string> prompts)
    {
        return [this, prompts = std::move(prompts), next = std::size_t {0}]() mutable {
            static_cast<void>(send_prompt(prompts[next++ % prompts.size()]));
        };
    }

    std::size_t m_requests {0};
};

constexpr int s_late_requests = 40;

}

TEST_F(CrashingPartRules, SendsRequestsWithAPartThatCrashedFiveEnginesToThreeMoreAtMost)
{
    crash_engines_and_wait(in_turn({"system:100,bad:50", "system:100,fine:50"}));
    auto const before = arrivals(has_bad_part);
    int served = 0;
    for (int count = 0; count < s_late_requests; ++count) {
        auto const answer = send_prompt("system:100,bad:50");
        EXPECT_GE(answer.status, 500);
        EXPECT_NE(answer.status, 503);
        EXPECT_FALSE(field_of(answer.head, "Retry-After"));
        served += send_prompt("system:100,fine:50").is_whole ? 1 : 0;
    }
    EXPECT_LE(arrivals(has_bad_part) - before, s_max_late_sends);
    EXPECT_EQ(served, s_late_requests);
}

// No two prompts with the bad part have another shared part in common.
TEST_F(CrashingPartRules, FindsThePartWhateverElseThePromptHolds)
{
    std::size_t number = 0;
    crash_engines_and_wait([&] { static_cast<void>(send_prompt(Core::concat("bad:50,other", number++, ":30"))); });
    auto const before = arrivals(has_bad_part);
    for (int count = 0; count < s_late_requests; ++count) {
        EXPECT_GE(send_prompt(Core::concat("bad:50,late", count, ":30")).status, 500);
        EXPECT_TRUE(send_prompt(Core::concat("good:50,late", count, ":30")).is_whole);
    }
    EXPECT_LE(arrivals(has_bad_part) - before, s_max_late_sends);
}

// Together, the events of the two attempts of a request last longer than a part needs to be cleared.
TEST_F(CrashingPartRules, DoesNotClearAPartByTheEventsOfTwoAttempts)
{
    m_first_events = FirstEvents::BeforeCrashes;
    m_read_delay = Core::Milliseconds(250);
    crash_engines_and_wait(in_turn({"system:100,bad:50"}));
    m_read_delay = Core::Milliseconds(0);
    auto const before = arrivals(has_bad_part);
    for (int count = 0; count < s_late_requests; ++count)
        static_cast<void>(send_prompt("system:100,bad:50"));
    EXPECT_LE(arrivals(has_bad_part) - before, s_max_late_sends);
}

TEST_F(CrashingPartRules, DoesNotClearAPartByServerErrors)
{
    m_error_period = 3;
    crash_engines_and_wait(in_turn({"system:100,bad:50", "system:100,fine:50"}));
    auto const before = arrivals(has_bad_part);
    for (int count = 0; count < s_late_requests; ++count)
        static_cast<void>(send_prompt("system:100,bad:50"));
    EXPECT_LE(arrivals(has_bad_part) - before, s_max_late_sends);
}

// All gateways restarted at the same time; the store has kept the quarantine.
TEST_F(CrashingPartRules, DoesNotSendPromptsWithAPartQuarantinedInTheStore)
{
    load_quarantine(Core::RequestDigest::of("prompt-part", "svc", "bad"));
    for (std::size_t count = 0; count < s_gateways; ++count)
        EXPECT_EQ(send_prompt("system:100,bad:50").status, 502);
    EXPECT_EQ(arrivals(has_bad_part), 0U);
    EXPECT_TRUE(send_prompt("system:100,fine:50").is_whole);
}

TEST_F(CrashingPartRules, FindsTwoPartsThatCrashEnginesAtTheSameTime)
{
    crash_engines_and_wait(in_turn({"system:100,bad1:50", "system:100,bad2:50", "system:100,fine:50"}));
    auto const before = arrivals(has_bad_part);
    for (int count = 0; count < s_late_requests; ++count) {
        EXPECT_GE(send_prompt("system:100,bad1:50").status, 500);
        EXPECT_GE(send_prompt("system:100,bad2:50").status, 500);
        EXPECT_TRUE(send_prompt("system:100,fine:50").is_whole);
    }
    EXPECT_LE(arrivals(has_bad_part) - before, 2 * s_max_late_sends);
}

}
