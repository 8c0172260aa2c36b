// Changes of the configuration and of the servers under faults, by hand: `spread-soak --seed 1 --count 10 --gateways
// 30`. Prints a line a seed, and exits with 1 when a promise was broken. Where GRANITEFIELD_TEST_LOGS names a
// directory, the gateways' logs are kept there.
#include "SpreadSoak.h"

#include <LibHTTP/HttpClient.h>

#include <csignal>
#include <iostream>

#include <tclap/CmdLine.h>

using namespace GraniteField;

namespace {

constexpr std::size_t s_most_problems_shown = 12;
constexpr double s_bytes_per_megabit = 125'000;

/// The delay that so many of a thousand keep.
std::int64_t delay_of(std::vector<Core::Milliseconds> const& sorted, std::size_t permille)
{
    return sorted.empty() ? 0 : sorted[(sorted.size() - 1) * permille / 1'000].count();
}

void print(unsigned seed, Testing::SpreadSoak::Report const& report)
{
    std::cout << "seed " << seed << ": " << (report.problems.empty() ? "kept" : "BROKEN") << "; " << report.changes
              << " changes; seen after, ms: half " << delay_of(report.delays, 500) << ", 95 in 100 "
              << delay_of(report.delays, 950) << ", 999 in 1,000 " << delay_of(report.delays, 999) << ", last "
              << delay_of(report.delays, 1'000) << " of " << report.delays.size() << ';';
    for (auto const& [status, count] : report.answers)
        std::cout << ' ' << status << '=' << count;
    std::cout << ';';
    for (auto const& [fault, count] : report.faults)
        std::cout << ' ' << fault << '=' << count;
    std::cout << "; limited=" << report.limited_arrivals << " left alone=" << report.left_alone
              << " backoffs=" << report.backoffs << '\n';
    for (std::size_t index = 0; index < std::min(report.problems.size(), s_most_problems_shown); ++index)
        std::cout << "  " << report.problems[index] << '\n';
    if (report.problems.size() > s_most_problems_shown)
        std::cout << "  and " << report.problems.size() - s_most_problems_shown << " more\n";
    std::cout << std::flush;
}

}

int main(int argument_count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    HTTP::initialize_http_client();
    TCLAP::CmdLine command_line("Changes configurations and servers under faults and judges gateways.", ' ', "0.1.0");
    TCLAP::ValueArg<unsigned> seed("", "seed", "The first seed.", false, 1, "N", command_line);
    TCLAP::ValueArg<unsigned> count("", "count", "Seeds, one after the other.", false, 1, "N", command_line);
    TCLAP::ValueArg<std::string> length("", "length", "Changes of each seed.", false, "30s", "TIME", command_line);
    TCLAP::ValueArg<unsigned> gateways("", "gateways", "Gateways.", false, 12, "N", command_line);
    TCLAP::ValueArg<unsigned> routes("", "routes", "Routes of a large configuration.", false, 300, "N", command_line);
    TCLAP::ValueArg<double> share("", "share", "Share of a core of a small host.", false, 0, "SHARE", command_line);
    TCLAP::ValueArg<double> link("", "link", "Link of a small host, Mbit/s.", false, 0, "RATE", command_line);
    TCLAP::ValueArg<unsigned> growth("", "growth", "Routes that each change adds.", false, 0, "N", command_line);
    TCLAP::SwitchArg calm("", "calm", "No faults, changes only.", command_line);
    TCLAP::SwitchArg signals("", "signals", "Let backend servers state things about themselves as well.", command_line);
    TCLAP::SwitchArg series("", "leaving", "Let servers leave in series while watchers and relays fail.", command_line);
    TCLAP::ValueArg<unsigned> backends("", "backends", "Servers of each service.", false, 4, "N", command_line);
    TCLAP::ValueArg<unsigned> callers("", "callers", "Connections to each gateway.", false, 1, "N", command_line);
    command_line.parse(argument_count, arguments);
    auto const duration = Core::parse_duration(length.getValue());
    if (!duration) {
        std::cerr << "spread-soak: '" << length.getValue() << "' is no duration such as 30s\n";
        return 2;
    }
    bool has_failed = false;
    for (unsigned number = 0; number < count.getValue(); ++number) {
        Testing::SpreadSoak::Options options;
        options.seed = seed.getValue() + number;
        options.length = *duration;
        options.gateways = gateways.getValue();
        options.most_routes = routes.getValue();
        options.processor_share = share.getValue();
        options.link_rate = static_cast<std::size_t>(link.getValue() * s_bytes_per_megabit);
        options.growth = growth.getValue();
        options.has_faults = !calm.getValue();
        options.has_signals = signals.getValue();
        options.has_leaving_series = series.getValue();
        options.backends = backends.getValue();
        options.callers = callers.getValue();
        auto const report = Testing::SpreadSoak(options).run();
        print(options.seed, report);
        has_failed = has_failed || !report.problems.empty();
    }
    return has_failed ? 1 : 0;
}
