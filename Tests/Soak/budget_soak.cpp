// The soak of repeated sends by hand: `budget-soak --seed 1 --count 50 --length 25s --shape pwani-charts`. Prints a
// line a seed, and exits with 1 when a promise was broken. Where GRANITEFIELD_TEST_LOGS names a directory, the
// gateways' logs are kept there.
#include "BudgetSoak.h"

#include <LibHTTP/HttpClient.h>

#include <csignal>
#include <iostream>

#include <tclap/CmdLine.h>

using namespace GraniteField;

namespace {

std::optional<Testing::BudgetBackend::CrashMoment> moment_of(std::string const& name)
{
    using Moment = Testing::BudgetBackend::CrashMoment;
    if (name == "before-head")
        return Moment::BeforeHead;
    if (name == "after-head")
        return Moment::AfterHead;
    if (name == "after-event")
        return Moment::AfterEvent;
    return name == "late" ? std::optional(Moment::Late) : std::nullopt;
}

}

int main(int argument_count, char** arguments)
{
    using Soak = Testing::BudgetSoak;
    std::signal(SIGPIPE, SIG_IGN);
    HTTP::initialize_http_client();
    TCLAP::CmdLine command_line("Judges repeated sends of gateways under random faults.", ' ', "0.1.0");
    TCLAP::ValueArg<unsigned> seed("", "seed", "The first seed.", false, 1, "N", command_line);
    TCLAP::ValueArg<unsigned> count("", "count", "Seeds, one after the other.", false, 1, "N", command_line);
    TCLAP::ValueArg<std::string> length("", "length", "Faults of each seed.", false, "20s", "TIME", command_line);
    TCLAP::ValueArg<std::string> shape("", "shape", "The deployment.", false, "hrubec-pay", "NAME", command_line);
    TCLAP::ValueArg<unsigned> callers("", "callers", "Callers.", false, 30, "N", command_line);
    TCLAP::ValueArg<unsigned> gateways(
        "", "gateways", "Gateways, if not the deployment's.", false, 0, "N", command_line);
    TCLAP::ValueArg<double> share("", "share", "Share of a core of each gateway.", false, 0.19, "X", command_line);
    TCLAP::ValueArg<std::string> stall("", "stall",
        "Let all plain servers stall for that time instead of drawn faults.", false, "", "TIME", command_line);
    TCLAP::ValueArg<std::string> deadly("", "deadly",
        "Crash servers that restart at once by requests or by parts instead of drawn faults.", false, "", "KIND",
        command_line);
    TCLAP::ValueArg<std::string> moment("", "moment",
        "When deadly requests crash a server: before-head, after-head, after-event or late.", false, "after-head",
        "MOMENT", command_line);
    TCLAP::SwitchArg unframed("", "unframed", "Delimit answers by the end of the connection.", command_line);
    TCLAP::SwitchArg plain("", "plain", "Send deadly requests to the plain service.", command_line);
    TCLAP::ValueArg<unsigned> period(
        "", "period", "One of so many requests of their kind is deadly.", false, 4, "N", command_line);
    TCLAP::SwitchArg delayed("", "delayed", "Restart half of the crashed servers after up to 2.5 s.", command_line);
    TCLAP::ValueArg<std::string> kills(
        "", "kills", "Kill one gateway after the other in a script, with that pause.", false, "", "TIME", command_line);
    command_line.parse(argument_count, arguments);
    auto const duration = Core::parse_duration(length.getValue());
    auto const stalled = stall.isSet() ? Core::parse_duration(stall.getValue()) : Core::Milliseconds(0);
    auto const pause = kills.isSet() ? Core::parse_duration(kills.getValue()) : Core::Milliseconds(0);
    if (!duration || !stalled || !pause) {
        std::cerr << "budget-soak: a duration is written such as 8s\n";
        return 2;
    }
    auto const crash_moment = moment_of(moment.getValue());
    if (!crash_moment) {
        std::cerr << "budget-soak: unknown moment " << moment.getValue() << '\n';
        return 2;
    }
    Soak::DeadlyRequests const deadly_requests {
        *crash_moment, !unframed.getValue(), plain.getValue(), std::max(1U, period.getValue())};
    bool has_failed = false;
    for (unsigned number = 0; number < count.getValue(); ++number) {
        Soak::Options options;
        options.seed = seed.getValue() + number;
        options.length = *duration;
        options.shape = shape.getValue() == "pwani-charts" ? Soak::s_pwani_charts : Soak::s_hrubec_pay;
        if (gateways.isSet())
            options.shape.gateways = gateways.getValue();
        options.callers = callers.getValue();
        options.processor_share = share.getValue();
        if (moment.isSet())
            options.deadly = deadly_requests;
        options.has_immediate_restarts = deadly.isSet() && !delayed.getValue();
        Soak soak(options);
        auto const script = [&] {
            soak.pass(std::chrono::seconds(3));
            if (stall.isSet())
                soak.stall_service(Soak::s_plain_service, *stalled);
            if (deadly.getValue() == "requests")
                soak.send_deadly_requests(deadly_requests, *duration);
            if (deadly.getValue() == "parts")
                soak.send_deadly_parts(deadly_requests, *duration);
            if (kills.isSet())
                soak.kill_gateways_in_turn(*pause, std::max(*stalled, *duration));
            else
                soak.pass(std::max(*stalled, *duration));
            soak.pass(std::chrono::seconds(2));
        };
        bool const has_script = stall.isSet() || deadly.isSet() || kills.isSet();
        auto const report = has_script ? soak.run(script) : soak.run();
        std::cout << "seed " << options.seed << ": " << (report.problems.empty() ? "kept" : "BROKEN") << ';';
        for (auto const& [service, peak] : report.peaks)
            std::cout << ' ' << service << '=' << peak.repeats << '/' << peak.allowed;
        std::cout << " late=" << report.late_repeats << " backoffs=" << report.backoffs
                  << " crashing=" << report.crashing_subjects << ';';
        for (auto const& [answer, times] : report.answers)
            std::cout << ' ' << answer << '=' << times;
        for (auto const& [fault, times] : report.faults)
            std::cout << ' ' << fault << '=' << times;
        std::cout << '\n';
        for (auto const& problem : report.problems)
            std::cout << "  " << problem << '\n';
        std::cout << std::flush;
        has_failed = has_failed || !report.problems.empty();
    }
    return has_failed ? 1 : 0;
}
