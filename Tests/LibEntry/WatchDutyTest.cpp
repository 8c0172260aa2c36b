// Guards the time until a gateway that is behind reads from the store.
//
// The fault: single gateways still refused an added route later than the required 3 s. A gateway that knows of a newer
// version and does not receive it from a peer is to read the store after 0.7 s. The waiting thread had chosen the time
// of its next check before it knew that it was behind, and checked up to half the contact time (2 s) later. After one
// failed call the gateway waited equally long, as if the store were unavailable to all.
#include <LibCore/Hashing.h>
#include <LibEntry/WatchDuty.h>
#include <LibEntry/WatchElection.h>

#include <future>

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace GraniteField::Entry {

using namespace std::chrono_literals;

namespace {

constexpr Core::Milliseconds s_contact_time {4'000};
/// Time within which a change must be in force after the store has accepted it.
constexpr Core::Milliseconds s_apply_limit {3'000};
/// Order of a gateway with one of the longest timeouts.
constexpr std::uint64_t s_last_in_order = 1'000;

StoreReport report_of(unsigned version, Core::MonotonicTime now)
{
    return {now, now, {Core::TableVersion(version), {}, {}}};
}

}

TEST(WatchDuty, ReadsTheStoreInTimeAfterAReportOfANewerVersion)
{
    int const null_file = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    Observe::MetricRegistry metrics;
    Observe::EventLog log(null_file, "gateway-1", Core::Incarnation(1), metrics);
    SharedTable table;
    SharedServers servers;
    WatchDuty duty(s_contact_time, s_last_in_order, table, servers, log, metrics);
    duty.note_report(report_of(0, Core::monotonic_now()), Core::monotonic_now());
    auto duty_start = std::async(std::launch::async, [&] {
        WatchDuty::Follower follower(duty, WatchElection::Watch::Table);
        static_cast<void>(follower.wait_for_turn());
        return Core::monotonic_now();
    });
    // By now the follower waits, and a healthy watch was reported.
    std::this_thread::sleep_for(100ms);
    auto const reported_at = Core::monotonic_now();
    duty.note_report(report_of(1, reported_at), reported_at);
    // A healthy watch stays reported, so that only being behind puts this gateway on duty.
    auto const has_duty_started = [&] { return duty_start.wait_for(50ms) == std::future_status::ready; };
    while (!has_duty_started() && Core::elapsed(reported_at, Core::monotonic_now()) < s_apply_limit)
        duty.note_report(report_of(1, Core::monotonic_now()), Core::monotonic_now());
    duty.stop();
    // Half of the limit is left for the replies of the store, one of which may be lost.
    EXPECT_LE(Core::elapsed(reported_at, duty_start.get()), s_apply_limit / 2);
    ::close(null_file);
}

TEST(WatchDuty, RetriesSoonAfterAFailedCallWhileBehind)
{
    constexpr Core::Milliseconds silence_timeout {2'000};
    constexpr Core::Milliseconds call_timeout {800};
    Core::MonotonicTime const start {1h};
    WatchElection election({silence_timeout}, start);
    auto now = start;
    // A healthy watch is reported all the time: the store is available to other gateways.
    auto const advance_until_on_duty = [&] {
        do {
            now += 10ms;
            election.note_tick(now);
            election.note_report(report_of(1, now), now);
        } while (!election.is_on_duty(now) && Core::elapsed(start, now) < 2 * s_apply_limit);
    };
    advance_until_on_duty();
    for (auto const end = now + call_timeout; now < end; now += 10ms)
        election.note_tick(now);
    election.note_failure(WatchElection::Watch::Table, now);
    advance_until_on_duty();
    // The second call starts early enough for its reply to arrive within the limit.
    EXPECT_LE(Core::elapsed(start, now), s_apply_limit - 200ms);
}

}
