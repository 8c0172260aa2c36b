// granitefield-load: offers open-loop load to entries, reports what became of it, and compares runs.
#include "LoadRunner.h"
#include "Results.h"
#include "Scenario.h"
#include "Schedule.h"

#include <LibCore/Findings.h>
#include <LibCore/Json.h>
#include <LibHTTP/HttpClient.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

namespace {

using namespace GraniteField;

constexpr char const* s_version = "0.1.0";
constexpr char const* s_help = "Offers load to entries on this machine and reports attainment, goodput and latency. "
                               "Commands: run (needs --scenario and --entry) | compare (needs --before and --after).";
constexpr int s_exit_rejected = 2;

struct Options {
    std::string command;
    std::string scenario;
    std::vector<std::string> entries;
    std::vector<std::string> before;
    std::vector<std::string> after;
    std::string json;
    std::string csv;
    std::string svg;
    std::uint64_t seed {1};
    double load {1};
};

Options parse_options(int argument_count, char** arguments)
{
    TCLAP::CmdLine command_line(s_help, ' ', s_version);
    TCLAP::UnlabeledValueArg<std::string> command("command", "run or compare", true, "", "COMMAND", command_line);
    TCLAP::ValueArg<std::string> scenario(
        "", "scenario", "The JSON file with the load.", false, "", "FILE", command_line);
    TCLAP::MultiArg<std::string> entries(
        "", "entry", "An entry's address for callers; may be given several times.", false, "ADDRESS", command_line);
    TCLAP::MultiArg<std::string> before(
        "", "before", "Results of a run; may be given several times.", false, "FILE", command_line);
    TCLAP::MultiArg<std::string> after(
        "", "after", "Results to compare with; may be given several times.", false, "FILE", command_line);
    TCLAP::ValueArg<std::string> json(
        "", "json", "Where the results go as JSON; standard output without it.", false, "", "FILE", command_line);
    TCLAP::ValueArg<std::string> csv("", "csv", "Where the results go as CSV.", false, "", "FILE", command_line);
    TCLAP::ValueArg<std::string> svg(
        "", "svg", "Where a picture of attainment over time goes.", false, "", "FILE", command_line);
    TCLAP::ValueArg<std::uint64_t> seed(
        "", "seed", "The same seed gives the same load.", false, 1, "NUMBER", command_line);
    TCLAP::ValueArg<double> load("", "load", "Multiplies all rates.", false, 1, "FACTOR", command_line);
    command_line.parse(argument_count, arguments);
    return {command.getValue(), scenario.getValue(), entries.getValue(), before.getValue(), after.getValue(),
        json.getValue(), csv.getValue(), svg.getValue(), seed.getValue(), load.getValue()};
}

std::string read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw std::runtime_error("can't read '" + path + "'");
    return {std::istreambuf_iterator<char>(file), {}};
}

void write_file(std::string const& path, std::string const& text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    if (!file.flush())
        throw std::runtime_error("can't write '" + path + "'");
}

std::vector<Core::Address> parse_entries(std::vector<std::string> const& texts)
{
    std::vector<Core::Address> entries;
    for (auto const& text : texts) {
        auto const address = Core::Address::from_string(text);
        // Load is only ever offered to this machine.
        if (!address || !address->host().starts_with("127."))
            throw std::runtime_error("'" + text + "' is no address of this machine (127.0.0.0/8) with a port");
        entries.push_back(*address);
    }
    if (entries.empty())
        throw std::runtime_error("--entry ADDRESS is missing");
    return entries;
}

int run(Options const& options)
{
    auto const scenario = Load::parse_scenario(read_file(options.scenario));
    Load::LoadRunner::Settings settings;
    settings.entries = parse_entries(options.entries);
    Load::LoadRunner runner(std::move(settings), scenario);
    auto results = Load::summarize(scenario, runner.run(Load::make_schedule(scenario, options.seed, options.load)));
    results["seed"] = options.seed;
    results["load"] = options.load;
    if (options.json.empty())
        std::cout << results.dump(2) << '\n';
    else
        write_file(options.json, results.dump(2));
    if (!options.csv.empty())
        write_file(options.csv, Load::to_csv(results));
    if (!options.svg.empty())
        write_file(options.svg, Load::to_svg(results));
    return 0;
}

std::vector<nlohmann::json> read_results(std::vector<std::string> const& paths)
{
    std::vector<nlohmann::json> results;
    for (auto const& path : paths)
        results.push_back(Core::parse_json(read_file(path)));
    if (results.empty())
        throw std::runtime_error("--before FILE or --after FILE is missing");
    return results;
}

}

int main(int argument_count, char** arguments)
{
    try {
        HTTP::initialize_http_client();
        auto const options = parse_options(argument_count, arguments);
        if (options.command == "run")
            return run(options);
        if (options.command != "compare")
            throw std::runtime_error("'" + options.command + "' is no command; see --help");
        std::cout << Load::compare(read_results(options.before), read_results(options.after));
        return 0;
    } catch (Core::InvalidInput const& error) {
        std::cerr << error.what() << '\n';
        return s_exit_rejected;
    } catch (std::exception const& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
