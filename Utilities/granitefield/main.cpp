// granitefield: the operator's command-line tool.
#include "FleetCommands.h"
#include "LogCommands.h"
#include "LossCommands.h"
#include "Options.h"
#include "TableCommands.h"

#include <LibCore/Findings.h>
#include <LibCore/Hashing.h>
#include <LibHTTP/HttpClient.h>
#include <LibPlatform/TableStore.h>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

namespace {

using namespace GraniteField;
using CommandLine::Options;
using CommandLine::UsageError;

constexpr char const* s_version = "0.1.0";
constexpr char const* s_help
    = "Operates granitefield.\n"
      "Commands: table show [SHEET] | table get SHEET ROW COLUMN | table set SHEET ROW COLUMN=VALUE... | "
      "table unset SHEET ROW COLUMN... | table remove SHEET ROW | table export SHEET | "
      "table import SHEET [--file FILE] | table check SHEET [--file FILE] | table history | "
      "status | shares | quarantine | release DIGEST | explain REQUEST | logs REQUEST-OR-DIGEST [FILE...] | losses "
      "[FILE...] | "
      "drain "
      "BACKEND-SERVER... | undrain "
      "BACKEND-SERVER... | "
      "hash-key (reads a key from standard input). "
      "Sheets: classes, workspaces, services, backend-servers, routes, limits. "
      "With --daemon in place of --platform, table show gives the table in force at a gateway. "
      "Exit codes: 0 done, 1 failed, 2 rejected, 3 conflict, 4 the effect is unknown.";

std::optional<Core::Address> parse_address(std::string const& text)
{
    if (text.empty())
        return std::nullopt;
    auto address = Core::Address::from_string(text);
    if (!address)
        throw UsageError("'" + text + "' is not an address by IP number such as 127.0.0.1:7000");
    return address;
}

Options parse_options(int argument_count, char** arguments)
{
    TCLAP::CmdLine command_line(s_help, ' ', s_version);
    auto const* user = std::getenv("USER");
    TCLAP::ValueArg<std::string> platform(
        "", "platform", "The platform's object API.", false, "", "ADDRESS", command_line);
    TCLAP::MultiArg<std::string> daemons(
        "", "daemon", "Operator port of a daemon; may be given several times.", false, "ADDRESS", command_line);
    TCLAP::ValueArg<std::string> author("", "author", "Who changes the table, for its history.", false,
        user == nullptr ? "unknown" : user, "NAME", command_line);
    TCLAP::ValueArg<std::string> file(
        "", "file", "The CSV file; standard input without it.", false, "", "FILE", command_line);
    TCLAP::SwitchArg json("", "json", "Print JSON.", command_line);
    TCLAP::UnlabeledMultiArg<std::string> words(
        "command", "The command and its arguments.", true, "COMMAND", command_line);
    command_line.parse(argument_count, arguments);

    Options options;
    options.words = words.getValue();
    options.platform = parse_address(platform.getValue());
    for (auto const& daemon : daemons.getValue())
        options.daemons.push_back(*parse_address(daemon));
    options.author = author.getValue();
    options.file = file.getValue();
    options.should_print_json = json.getValue();
    return options;
}

int hash_key()
{
    std::string key;
    std::getline(std::cin, key);
    if (key.empty())
        throw UsageError("standard input holds no key");
    std::cout << Core::sha256_hex(key) << '\n';
    return CommandLine::s_exit_done;
}

int run(Options const& options)
{
    auto const& command = options.words.front();
    if (command == "table")
        return CommandLine::run_table_command(options);
    if (command == "status")
        return CommandLine::run_status_command(options);
    if (command == "shares")
        return CommandLine::run_shares_command(options);
    if (command == "quarantine")
        return CommandLine::run_quarantine_command(options);
    if (command == "release")
        return CommandLine::run_release_command(options);
    if (command == "logs")
        return CommandLine::run_logs_command(options);
    if (command == "losses")
        return CommandLine::run_losses_command(options);
    if (command == "explain")
        return CommandLine::run_explain_command(options);
    if (command == "drain")
        return CommandLine::run_drain_command(options, "leaving");
    if (command == "undrain")
        return CommandLine::run_drain_command(options, "serving");
    if (command == "hash-key")
        return hash_key();
    throw UsageError("'" + command + "' is no command; see --help");
}

int report(Options const& options, std::string const& kind, std::exception const& error, int exit_code)
{
    if (options.should_print_json)
        std::cout << nlohmann::json {{"error", {{"kind", kind}, {"message", error.what()}}}}.dump() << '\n';
    std::cerr << kind << ": " << error.what() << '\n';
    return exit_code;
}

}

int main(int argument_count, char** arguments)
{
    HTTP::initialize_http_client();
    Options options;
    try {
        options = parse_options(argument_count, arguments);
        return run(options);
    } catch (UsageError const& error) {
        return report(options, "usage", error, CommandLine::s_exit_rejected);
    } catch (Core::InvalidInput const& error) {
        return report(options, "rejected", error, CommandLine::s_exit_rejected);
    } catch (Platform::EditConflict const& error) {
        return report(options, "conflict", error, CommandLine::s_exit_conflict);
    } catch (Platform::EffectUnknown const& error) {
        return report(options, "unknown", error, CommandLine::s_exit_unknown);
    } catch (std::exception const& error) {
        return report(options, "failed", error, CommandLine::s_exit_failed);
    }
}
