// The fault soak by hand: `soak --seed 1 --count 50 --length 8s`. Prints a line a seed, and exits with 1 when a promise
// was broken.
#include "GatewaySoak.h"

#include <LibHTTP/HttpClient.h>

#include <csignal>
#include <iostream>

#include <tclap/CmdLine.h>

using namespace GraniteField;

int main(int argument_count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    HTTP::initialize_http_client();
    TCLAP::CmdLine command_line("Runs gateways under random faults and checks their promises.", ' ', "0.1.0");
    TCLAP::ValueArg<unsigned> seed("", "seed", "The first seed.", false, 1, "N", command_line);
    TCLAP::ValueArg<unsigned> count("", "count", "Seeds, one after the other.", false, 1, "N", command_line);
    TCLAP::ValueArg<std::string> length("", "length", "Faults of each seed.", false, "8s", "TIME", command_line);
    TCLAP::ValueArg<unsigned> gateways("", "gateways", "Gateways.", false, 3, "N", command_line);
    TCLAP::ValueArg<unsigned> backends("", "backends", "Backend servers.", false, 4, "N", command_line);
    TCLAP::ValueArg<unsigned> callers("", "callers", "Callers.", false, 8, "N", command_line);
    TCLAP::SwitchArg drains("", "drains", "Drain failure domains as well.", command_line);
    TCLAP::SwitchArg signals("", "signals", "Let backend servers state things about themselves as well.", command_line);
    TCLAP::SwitchArg prompts("", "prompts", "Let streams carry more prompts than can be read in time.", command_line);
    TCLAP::SwitchArg releases(
        "", "releases", "Replace backend servers by ones of other software versions as well.", command_line);
    TCLAP::SwitchArg odd_bytes(
        "", "odd-bytes", "Leave odd objects in the store, and cut answers inside their heads as well.", command_line);
    TCLAP::SwitchArg joint_kills("", "joint-kills", "Kill all gateways at once now and then.", command_line);
    command_line.parse(argument_count, arguments);
    auto const duration = Core::parse_duration(length.getValue());
    if (!duration) {
        std::cerr << "soak: '" << length.getValue() << "' is no duration such as 8s\n";
        return 2;
    }
    bool has_failed = false;
    for (unsigned number = 0; number < count.getValue(); ++number) {
        using Drains = Testing::GatewaySoak::Drains;
        using Signals = Testing::GatewaySoak::Signals;
        using Prompts = Testing::GatewaySoak::Prompts;
        using Releases = Testing::GatewaySoak::Releases;
        using JointKills = Testing::GatewaySoak::JointKills;
        using OddBytes = Testing::GatewaySoak::OddBytes;
        Testing::GatewaySoak::Options const options {seed.getValue() + number, *duration, gateways.getValue(),
            backends.getValue(), callers.getValue(), drains.getValue() ? Drains::Yes : Drains::No,
            signals.getValue() ? Signals::Yes : Signals::No, prompts.getValue() ? Prompts::Yes : Prompts::No,
            releases.getValue() ? Releases::Yes : Releases::No,
            joint_kills.getValue() ? JointKills::Yes : JointKills::No,
            odd_bytes.getValue() ? OddBytes::Yes : OddBytes::No};
        auto const report = Testing::GatewaySoak(options).run();
        std::cout << "seed " << options.seed << ": " << (report.problems.empty() ? "kept" : "BROKEN") << ';';
        for (auto const& [answer, times] : report.answers)
            std::cout << ' ' << answer << '=' << times;
        if (signals.getValue())
            std::cout << " limited=" << report.limited_arrivals << " left alone=" << report.left_alone
                      << " backoffs=" << report.backoffs;
        if (releases.getValue())
            std::cout << " resumed=" << report.resumed << " went on=" << report.went_on;
        if (odd_bytes.getValue())
            std::cout << " odd objects=" << report.odd_objects;
        std::cout << '\n';
        for (auto const& problem : report.problems)
            std::cout << "  " << problem << '\n';
        std::cout << std::flush;
        has_failed = has_failed || !report.problems.empty();
    }
    return has_failed ? 1 : 0;
}
