// Measures the load of one region on this machine, with many entries and side processes and one small engine:
// resources that each process uses for control, the time until a change of the table applies everywhere, and the calls
// to the platform. docs/CAPACITY.md compares them with its predictions.
#include "Fleet.h"

#include <LibCore/Text.h>
#include <LibPlatform/TableStore.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>
#include <vector>

#include <tclap/CmdLine.h>
#include <unistd.h>

namespace {

using namespace GraniteField;
using Testing::Fleet;
using Testing::Json;

constexpr int s_changes = 10;

struct Usage {
    double processor_seconds {0};
    double resident_megabytes {0};
};

/// proc(5): utime, stime and rss are fields 14, 15 and 24 of /proc/<id>/stat.
Usage usage_of(pid_t id)
{
    std::ifstream file(Core::concat("/proc/", id, "/stat"));
    std::string const text((std::istreambuf_iterator<char>(file)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    Usage usage;
    std::string field;
    for (int number = 3; number <= 24 && fields >> field; ++number) {
        if (number == 14 || number == 15)
            usage.processor_seconds += std::stod(field) / static_cast<double>(::sysconf(_SC_CLK_TCK));
        if (number == 24)
            usage.resident_megabytes = std::stod(field) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
    }
    return usage;
}

struct Sample {
    std::vector<Usage> entries;
    std::vector<Usage> sides;
    std::vector<double> peer_bytes;
    std::vector<double> link_bytes;
    Json platform;
};

Sample take_sample(Fleet& fleet, unsigned entries, unsigned sides)
{
    Sample sample;
    for (unsigned number = 0; number < entries; ++number) {
        auto& entry = fleet.entry(number);
        sample.entries.push_back(usage_of(entry.process->id()));
        sample.peer_bytes.push_back(fleet.metric(entry.operator_port, "granitefield_peer_bytes_total"));
        sample.link_bytes.push_back(fleet.metric(entry.operator_port, "granitefield_entry_link_control_bytes"));
    }
    for (unsigned number = 0; number < sides; ++number)
        sample.sides.push_back(usage_of(fleet.backend(Core::concat("llm-", number)).side->id()));
    sample.platform = fleet.platform_counts();
    return sample;
}

double mean(std::vector<double> const& values)
{
    double sum = 0;
    for (auto const value : values)
        sum += value;
    return sum / static_cast<double>(std::max<std::size_t>(values.size(), 1));
}

void print_idle(Sample const& before, Sample const& after, double seconds)
{
    auto const processor = [&](std::vector<Usage> const& first, std::vector<Usage> const& last) {
        std::vector<double> shares;
        for (std::size_t index = 0; index < first.size(); ++index)
            shares.push_back(100 * (last[index].processor_seconds - first[index].processor_seconds) / seconds);
        return mean(shares);
    };
    auto const memory = [](std::vector<Usage> const& usages) {
        std::vector<double> megabytes;
        for (auto const& usage : usages)
            megabytes.push_back(usage.resident_megabytes);
        return mean(megabytes);
    };
    auto const rate = [&](std::vector<double> const& first, std::vector<double> const& last) {
        return (mean(last) - mean(first)) / seconds;
    };
    std::printf("idle %.0f s: entry %.2f%% of a core, %.1f MB, peers %.0f B/s, links %.0f B/s; side %.2f%% of a core, "
                "%.1f MB\n",
        seconds, processor(before.entries, after.entries), memory(after.entries),
        rate(before.peer_bytes, after.peer_bytes), rate(before.link_bytes, after.link_bytes),
        processor(before.sides, after.sides), memory(after.sides));
    std::printf("idle platform calls a second: reads %.2f, writes %.2f\n",
        (after.platform.value("reads", 0.0) - before.platform.value("reads", 0.0)) / seconds,
        (after.platform.value("writes", 0.0) - before.platform.value("writes", 0.0)) / seconds);
}

bool is_everywhere(Fleet& fleet, unsigned entries, std::uint64_t version)
{
    for (unsigned number = 0; number < entries; ++number) {
        if (fleet.metric(fleet.entry(number).operator_port, "granitefield_table_version")
            < static_cast<double>(version))
            return false;
    }
    return true;
}

}

int main(int argument_count, char** arguments)
try {
    TCLAP::CmdLine command_line("Runs many entries and side processes and prints what they use.");
    TCLAP::ValueArg<unsigned> entry_count("", "entries", "Entries.", false, 10, "COUNT", command_line);
    TCLAP::ValueArg<unsigned> side_count("", "sides", "Side processes.", false, 10, "COUNT", command_line);
    TCLAP::ValueArg<unsigned> workspace_count(
        "", "workspaces", "Rows in the sheet workspaces.", false, 10, "COUNT", command_line);
    TCLAP::ValueArg<unsigned> idle_seconds(
        "", "idle-seconds", "How long the idle fleet is watched.", false, 20, "SECONDS", command_line);
    TCLAP::ValueArg<unsigned> settle_seconds(
        "", "settle-seconds", "How long the fleet runs before it is watched.", false, 0, "SECONDS", command_line);
    TCLAP::ValueArg<std::string> heartbeat("", "heartbeat", "Of idle links.", false, "10s", "DURATION", command_line);
    command_line.parse(argument_count, arguments);
    auto const entries = entry_count.getValue();
    auto const sides = side_count.getValue();

    Fleet fleet;
    fleet.add_class("clerk", {{"tier", "1"}});
    for (unsigned number = 0; number < workspace_count.getValue(); ++number)
        fleet.add_workspace(
            Core::concat("workspace-", number), Core::concat("key-", number), {{"requests-per-second", "100"}});
    for (unsigned number = 0; number < sides; ++number)
        fleet.add_shared_model_backend(Core::concat("llm-", number), {{"entry-patience", "35s"}});
    Json const entry_settings {
        {"routing", {{"heartbeat", heartbeat.getValue()}, {"link-patience", "3s"}, {"links-per-service", 1000}}},
        {"peers", {{"announce-interval", "10s"}}}, {"platform", {{"host-interval", "1s"}}}};
    auto const start = std::chrono::steady_clock::now();
    fleet.start(entries, entry_settings);
    std::printf("%u entries, %u sides, %u workspaces: ready after %.1f s\n", entries, sides, workspace_count.getValue(),
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());

    // Entries that have just started are still discovering each other and hold their initial watches.
    std::this_thread::sleep_for(std::chrono::seconds(settle_seconds.getValue()));
    auto const before = take_sample(fleet, entries, sides);
    auto const idle_start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(std::chrono::seconds(idle_seconds.getValue()));
    auto const after = take_sample(fleet, entries, sides);
    print_idle(before, after, std::chrono::duration<double>(std::chrono::steady_clock::now() - idle_start).count());

    std::vector<double> times;
    auto const calls_before = fleet.platform_counts();
    Platform::ObjectClient client(fleet.platform_address(), Core::Milliseconds(5'000));
    Platform::TableStore store(client);
    for (int change = 0; change < s_changes; ++change) {
        auto const base = store.read();
        auto const change_start = std::chrono::steady_clock::now();
        auto const table = store.commit(
            base, {{{Table::SheetName::Classes, "clerk", "weight"}, std::to_string(2 + change)}}, "region");
        static_cast<void>(Testing::wait_until(
            [&] { return is_everywhere(fleet, entries, table.version().value()); }, Core::Milliseconds(30'000)));
        times.push_back(
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - change_start).count());
    }
    std::ranges::sort(times);
    auto const calls_after = fleet.platform_counts();
    auto const changed = take_sample(fleet, entries, sides);
    std::printf("a change is in force everywhere after %.0f ms (median of %d), %.0f ms at most, with the time to ask "
                "all entries\n",
        times[times.size() / 2], s_changes, times.back());
    std::printf("for each change: reads %.1f, writes %.1f, peer bytes of an entry %.0f\n",
        (calls_after.value("reads", 0.0) - calls_before.value("reads", 0.0)) / s_changes,
        (calls_after.value("writes", 0.0) - calls_before.value("writes", 0.0)) / s_changes,
        (mean(changed.peer_bytes) - mean(after.peer_bytes)) / s_changes);
    return 0;
} catch (std::exception const& error) {
    // The fleet's destructor has ended its processes.
    std::fprintf(stderr, "region: %s\n", error.what());
    return 1;
}
