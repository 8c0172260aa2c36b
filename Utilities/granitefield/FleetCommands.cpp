#include "FleetCommands.h"

#include "TextTable.h"

#include <LibCore/Identifiers.h>
#include <LibCore/Json.h>
#include <LibCore/RequestDigest.h>
#include <LibCore/Text.h>
#include <LibHTTP/HttpClient.h>

#include <algorithm>
#include <iostream>

#include <nlohmann/json.hpp>

namespace GraniteField::CommandLine {

using Json = nlohmann::json;

namespace {

struct Answer {
    Core::Address daemon;
    Json json;
    std::string problem;
};

/// Asks every daemon for the same path. One that does not answer is named, not fatal.
std::vector<Answer> ask_all(Options const& options, std::string const& path, std::string const& method = "GET")
{
    if (options.daemons.empty())
        throw UsageError("--daemon ADDRESS is missing");
    HTTP::HttpClient client;
    std::vector<Answer> answers;
    for (auto const& daemon : options.daemons) {
        HTTP::ClientRequest request;
        request.method = method;
        request.url = Core::concat("http://", daemon.to_string(), path);
        Answer answer {daemon, {}, ""};
        try {
            auto const response = client.send(request);
            if (response.status == 200)
                answer.json = Core::parse_json(response.body);
            else
                answer.problem = Core::concat("status ", response.status, ": ", response.body);
        } catch (std::exception const& error) {
            answer.problem = error.what();
        }
        answers.push_back(std::move(answer));
    }
    return answers;
}

int exit_code_of(std::vector<Answer> const& answers)
{
    bool const has_problem = std::ranges::any_of(answers, [](auto const& answer) { return !answer.problem.empty(); });
    return has_problem ? s_exit_failed : s_exit_done;
}

void print_problems(std::vector<Answer> const& answers)
{
    for (auto const& answer : answers) {
        if (!answer.problem.empty())
            std::cerr << answer.daemon.to_string() << ": " << answer.problem << '\n';
    }
}

std::string text_of(Json const& json)
{
    return json.is_string() ? json.get<std::string>() : json.dump();
}

void print_entry(Json const& status)
{
    TextTable text({"backend-server", "service", "up", "leaving", "running", "slots", "waiting by tier", "open here"});
    for (auto const& link : status["links"]) {
        text.add(
            {text_of(link["backend-server"]), text_of(link["service"]), text_of(link["up"]), text_of(link["leaving"]),
                text_of(link["running"]), text_of(link["slots"]), text_of(link["waiting"]), text_of(link["open"])});
    }
    std::cout << "entry, table version " << text_of(status["table-version"]) << ", open requests "
              << text_of(status["open-requests"]) << '\n'
              << text.to_string();
}

void print_gateway(Json const& status)
{
    std::cout << "gateway, " << (status["ready"].get<bool>() ? "ready" : "not ready") << ", table version "
              << text_of(status["table-version"]) << ", servers as of revision " << text_of(status["servers-revision"])
              << ", open requests " << text_of(status["open-requests"]) << '\n';
    TextTable text({"backend-server", "service", "address", "domain", "serving", "avoided", "open", "failure rate"});
    for (auto const& server : status["backend-servers"]) {
        text.add({text_of(server["backend-server"]), text_of(server["service"]), text_of(server["address"]),
            text_of(server["domain"]), text_of(server["serving"]), text_of(server["avoided"]), text_of(server["open"]),
            Core::concat(static_cast<int>(server["failure-rate"].get<double>() * 100), "%")});
    }
    std::cout << text.to_string();
}

void print_side(Json const& status)
{
    std::cout << "side of " << text_of(status["backend-server"]) << " (" << text_of(status["service"])
              << "): " << text_of(status["running"]) << " of " << text_of(status["slots"]) << " slots taken, "
              << text_of(status["waiting"]) << " waiting" << (status["draining"].get<bool>() ? ", draining" : "")
              << '\n';
}

}

int run_status_command(Options const& options)
{
    auto const answers = ask_all(options, "/status");
    Json all = Json::object();
    for (auto const& answer : answers) {
        if (!answer.problem.empty())
            continue;
        all[answer.daemon.to_string()] = answer.json;
        if (options.should_print_json)
            continue;
        std::cout << answer.daemon.to_string() << ": ";
        if (answer.json["role"] == "entry")
            print_entry(answer.json);
        else if (answer.json["role"] == "gateway")
            print_gateway(answer.json);
        else
            print_side(answer.json);
    }
    if (options.should_print_json)
        std::cout << all.dump(2) << '\n';
    print_problems(answers);
    return exit_code_of(answers);
}

int run_quarantine_command(Options const& options)
{
    auto const answers = ask_all(options, "/status");
    Json all = Json::object();
    TextTable text({"daemon", "digest", "held since, ms ago", "last asked for, ms ago"});
    for (auto const& answer : answers) {
        if (!answer.problem.empty())
            continue;
        auto const held = answer.json.value("quarantined", Json::array());
        all[answer.daemon.to_string()] = held;
        for (auto const& item : held) {
            text.add({answer.daemon.to_string(), text_of(item["digest"]), text_of(item["since-ms-ago"]),
                text_of(item["asked-ms-ago"])});
        }
    }
    std::cout << (options.should_print_json ? all.dump(2) + "\n" : text.to_string());
    print_problems(answers);
    return exit_code_of(answers);
}

int run_shares_command(Options const& options)
{
    auto const answers = ask_all(options, "/status");
    Json all = Json::object();
    TextTable text({"daemon", "service", "share of weight 1", "workspace", "weight", "requested work", "admitted work",
        "beyond share"});
    for (auto const& answer : answers) {
        if (!answer.problem.empty())
            continue;
        auto const admission = answer.json.value("admission", Json::object());
        all[answer.daemon.to_string()] = admission;
        for (auto const& service : admission.value("shortages", Json::array())) {
            for (auto const& workspace : service["workspaces"]) {
                text.add({answer.daemon.to_string(), text_of(service["service"]), text_of(service["share"]),
                    text_of(workspace["workspace"]), text_of(workspace["weight"]), text_of(workspace["requested-work"]),
                    text_of(workspace["admitted-work"]), text_of(workspace["beyond-share"])});
            }
        }
    }
    std::cout << (options.should_print_json ? all.dump(2) + "\n" : text.to_string());
    print_problems(answers);
    return exit_code_of(answers);
}

int run_release_command(Options const& options)
{
    if (options.words.size() != 2 || !Core::RequestDigest::from_string(options.words[1]))
        throw UsageError("DIGEST must be the 32 hexadecimal digits that 'quarantine' shows");
    auto const answers = ask_all(options, "/quarantine/release?digest=" + options.words[1], "POST");
    for (auto const& answer : answers) {
        if (answer.problem.empty())
            std::cout << answer.daemon.to_string() << ": "
                      << (answer.json.value("released", false) ? "released" : "nothing was held against it") << '\n';
    }
    print_problems(answers);
    return exit_code_of(answers);
}

int run_explain_command(Options const& options)
{
    if (options.words.size() != 2 || !Core::RequestId::from_string(options.words[1]))
        throw UsageError("REQUEST must be the 32 hexadecimal digits of the header Granitefield-Request");
    auto const answers = ask_all(options, "/decisions/" + options.words[1]);
    std::vector<Json> decisions;
    for (auto const& answer : answers) {
        for (auto decision : answer.json) {
            decision["daemon"] = answer.daemon.to_string();
            decisions.push_back(std::move(decision));
        }
    }
    std::ranges::stable_sort(
        decisions, {}, [](auto const& decision) { return decision["time"].template get<std::string>(); });
    if (options.should_print_json) {
        std::cout << Json(decisions).dump(2) << '\n';
    } else {
        TextTable text({"time", "daemon", "decision"});
        for (auto const& decision : decisions)
            text.add({text_of(decision["time"]), text_of(decision["daemon"]), text_of(decision["what"])});
        std::cout << text.to_string();
    }
    print_problems(answers);
    return exit_code_of(answers);
}

}
