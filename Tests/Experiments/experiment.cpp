// Runs a scenario against a fleet of real processes, once for each policy and repetition in turn, and prints the
// results. docs/MEASUREMENTS.md holds figures made with it.
#include "Fleet.h"
#include "LoadRunner.h"
#include "Results.h"
#include "Scenario.h"
#include "Schedule.h"

#include <LibCore/Text.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include <absl/strings/str_format.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

namespace {

using namespace GraniteField;
using Testing::Fleet;
using Testing::Json;

/// `discipline/chooser`, as in the daemons' settings.
struct PolicyName {
    std::string discipline;
    std::string chooser;

    explicit PolicyName(std::string const& text)
        : discipline(text.substr(0, text.find('/')))
        , chooser(text.substr(text.find('/') + 1))
    {
    }
};

std::string read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw std::runtime_error("can't read " + path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string runner_name(unsigned number)
{
    return Core::concat("llm-", number);
}

void fill_fleet(Fleet& fleet, Json const& settings, Load::Scenario const& scenario, PolicyName const& policy)
{
    for (auto const& [name, cells] : settings["classes"].items())
        fleet.add_class(name, cells.get<std::map<std::string, std::string>>());
    unsigned workspaces = 1;
    for (auto const& stream : scenario.streams)
        workspaces = std::max(workspaces, stream.workspaces);
    for (unsigned number = 0; number < workspaces; ++number)
        fleet.add_workspace(Core::concat("workspace-", number), Core::concat(scenario.key_prefix, number));
    auto side = settings.value("side", Json::object());
    side["queue"]["discipline"] = policy.discipline;
    auto const slots = settings.value("slots", 8U);
    Testing::EngineOptions const engine {
        slots, settings.value("step-us", 10'000U), settings.value("step-per-sequence-us", 0U)};
    for (unsigned number = 0; number < settings.value("runners", 1U); ++number)
        fleet.add_model_backend(runner_name(number), engine, side);
    for (unsigned number = 0; number < settings.value("plain", 0U); ++number)
        fleet.add_plain_backend(Core::concat("pay-", number), slots, side);
    auto entry = settings.value("entry", Json::object());
    entry["routing"]["chooser"] = policy.chooser;
    fleet.start(settings.value("entries", 1U), entry);
}

/// Injects the faults of the scenario while the load runs: `{"at-ms": 5000, "runner": 0, "slowness": 4}` or `{"at-ms":
/// 5000, "runner": 1, "crash": true}`.
void make_faults(Fleet& fleet, Json const& faults)
{
    auto const start = std::chrono::steady_clock::now();
    for (auto const& fault : faults) {
        std::this_thread::sleep_until(start + Core::Milliseconds(fault.value("at-ms", 0)));
        auto& backend = fleet.backend(runner_name(fault.value("runner", 0U)));
        if (fault.value("crash", false))
            backend.engine->kill();
        else
            fleet.control_backend(backend, {{"slowness", fault.value("slowness", 1.0)}});
    }
}

/// Processor time used by a process, in seconds.
double processor_seconds(pid_t id)
{
    std::ifstream file(Core::concat("/proc/", id, "/stat"));
    std::string text((std::istreambuf_iterator<char>(file)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    // proc(5): utime and stime are fields 14 and 15; the text starts at field 3.
    double ticks = 0;
    for (int number = 3; number <= 15 && fields >> field; ++number) {
        if (number >= 14)
            ticks += std::stod(field);
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

Json engine_counts(Fleet& fleet, Json const& settings)
{
    std::uint64_t generated = 0;
    std::uint64_t wasted = 0;
    std::uint64_t hits = 0;
    std::uint64_t misses = 0;
    for (unsigned number = 0; number < settings.value("runners", 1U); ++number) {
        auto const counts
            = Testing::send_request(fleet.backend(runner_name(number)).engine_port, "GET", "/control/counts", "")
                  .json();
        if (!counts.is_object())
            continue;
        generated += counts["generated"].get<std::uint64_t>();
        wasted += counts["wasted"].get<std::uint64_t>();
        hits += counts["prefix-hits"].get<std::uint64_t>();
        misses += counts["prefix-misses"].get<std::uint64_t>();
    }
    return {{"generated", generated}, {"wasted", wasted},
        {"prefix-hit-share", static_cast<double>(hits) / std::max<double>(1, static_cast<double>(hits + misses))}};
}

Json run_once(
    Json const& settings, Load::Scenario const& scenario, PolicyName const& policy, std::uint64_t seed, double load)
{
    Fleet fleet;
    fill_fleet(fleet, settings, scenario, policy);
    Load::LoadRunner::Settings runner_settings;
    for (unsigned number = 0; number < settings.value("entries", 1U); ++number)
        runner_settings.entries.push_back(
            *Core::Address::from_string(Core::concat("127.0.0.1:", fleet.entry(number).caller_port)));
    Load::LoadRunner runner(runner_settings, scenario);
    std::thread faults([&] { make_faults(fleet, settings.value("faults", Json::array())); });
    auto const calls = runner.run(Load::make_schedule(scenario, seed, load));
    faults.join();
    auto results = Load::summarize(scenario, calls);
    auto const counts = engine_counts(fleet, settings);
    results["engines"] = counts;
    results["wasted-share"] = counts["wasted"].get<double>() / std::max(1.0, counts["generated"].get<double>());
    results["entry-cpu-seconds"] = processor_seconds(fleet.entry(0).process->id());
    results["side-cpu-seconds"] = processor_seconds(fleet.backend(runner_name(0)).side->id());
    results["seed"] = seed;
    results["load"] = load;
    return results;
}

void print(std::string const& policy, Json const& results)
{
    absl::PrintF("%-28s load %.2f seed %d: goodput %.0f tokens/s, wasted %.2f%%, prefix hits %.0f%%, cpu of an entry "
                 "%.2f s, of a side %.2f s\n",
        policy, results["load"].get<double>(), results["seed"].get<int>(), results["goodput"].get<double>(),
        100 * results["wasted-share"].get<double>(), 100 * results["engines"]["prefix-hit-share"].get<double>(),
        results["entry-cpu-seconds"].get<double>(), results["side-cpu-seconds"].get<double>());
    for (auto const& [name, item] : results["classes"].items()) {
        absl::PrintF("    %-16s offered %5d attained %6.2f%% done %6.2f%% first token p50 %7.1f p99 %8.1f ms, gap p95 "
                     "%6.1f ms, goodput %6.0f, foreign %d, %s\n",
            name, item["offered"].get<int>(), 100 * item["attainment"].get<double>(),
            100 * item["done-share"].get<double>(), item["first-token-ms"]["p50"].get<double>(),
            item["first-token-ms"]["p99"].get<double>(), item["token-gap-ms"]["p95"].get<double>(),
            item["goodput"].get<double>(), item["not-own-or-not-whole"].get<int>(), item["outcomes"].dump());
    }
    std::cout << std::flush;
}

}

int main(int argument_count, char** arguments)
{
    TCLAP::CmdLine command_line("Runs a scenario against a fleet of real processes under several policies in turn.");
    TCLAP::ValueArg<std::string> scenario_path(
        "", "scenario", "The JSON file with the load and the fleet.", true, "", "FILE", command_line);
    TCLAP::MultiArg<std::string> policies(
        "", "policy", "DISCIPLINE/CHOOSER; may be given several times.", true, "POLICY", command_line);
    TCLAP::ValueArg<unsigned> repeats(
        "", "repeats", "Runs of each policy, with seeds from 1.", false, 1, "COUNT", command_line);
    TCLAP::MultiArg<double> loads(
        "", "load", "Multiplies all rates; may be given several times.", false, "FACTOR", command_line);
    TCLAP::ValueArg<std::string> output(
        "", "output", "Folder for the results as JSON and SVG.", false, "", "FOLDER", command_line);
    command_line.parse(argument_count, arguments);
    auto const text = read_file(scenario_path.getValue());
    auto const scenario = Load::parse_scenario(text);
    auto const settings = Json::parse(text)["fleet"];
    auto factors = loads.getValue();
    if (factors.empty())
        factors.push_back(1);
    for (auto const load : factors) {
        for (unsigned seed = 1; seed <= repeats.getValue(); ++seed) {
            for (auto const& policy : policies.getValue()) {
                auto const results = run_once(settings, scenario, PolicyName(policy), seed, load);
                print(policy, results);
                if (output.getValue().empty())
                    continue;
                auto name = Core::concat(scenario.name, "-", policy, "-", load, "-", seed);
                std::ranges::replace(name, '/', '-');
                std::ofstream(output.getValue() + "/" + name + ".json") << results.dump(2);
                std::ofstream(output.getValue() + "/" + name + ".svg") << Load::to_svg(results);
            }
        }
    }
    return 0;
}
