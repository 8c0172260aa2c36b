#include "LossCommands.h"

#include "InputFiles.h"
#include "TextTable.h"

#include <LibCore/Text.h>
#include <LibObserve/LossReport.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace GraniteField::CommandLine {

using Observe::LossReport;
using Observe::RequestFate;

namespace {

using Counts = std::map<std::string, std::map<std::string, std::size_t>>;

/// A second as it sorts among others as text.
std::string second_of(RequestFate const& fate)
{
    auto text = std::to_string(fate.second);
    constexpr std::size_t width = 5;
    return std::string(width - std::min(width, text.size()), ' ') + text;
}

std::string describe(std::map<std::string, std::size_t> const& reasons)
{
    std::vector<std::pair<std::size_t, std::string>> sorted;
    for (auto const& [reason, count] : reasons) {
        if (reason != LossReport::s_in_time)
            sorted.emplace_back(count, reason);
    }
    std::ranges::sort(sorted, std::ranges::greater());
    std::string text;
    for (auto const& [count, reason] : sorted)
        Core::append(&text, text.empty() ? "" : "; ", count, " ", reason);
    return text;
}

void print(std::string const& what, Counts const& counts)
{
    TextTable table({what, "requests", "in time", "lost"});
    for (auto const& [key, reasons] : counts) {
        std::size_t total = 0;
        for (auto const& [reason, count] : reasons)
            total += count;
        auto const in_time = reasons.find(std::string(LossReport::s_in_time));
        auto const served = in_time == reasons.end() ? 0 : in_time->second;
        table.add({key.empty() ? "(none)" : key, std::to_string(total), std::to_string(served), describe(reasons)});
    }
    std::cout << table.to_string() << '\n';
}

/// What had been predicted for those whose first piece was late or never came, in quarters.
void print_predictions(LossReport const& report)
{
    std::map<std::string, std::vector<std::int64_t>> predicted;
    for (auto const& fate : report.fates()) {
        if (fate.predicted_wait)
            predicted[fate.request_class + ", " + fate.reason].push_back(fate.predicted_wait->count());
    }
    TextTable table({"predicted wait, ms", "requests", "quarter", "half", "three quarters", "most"});
    for (auto& [key, waits] : predicted) {
        std::ranges::sort(waits);
        auto const at = [&sorted = waits](std::size_t quarter) {
            return std::to_string(sorted[std::min(sorted.size() - 1, sorted.size() * quarter / 4)]);
        };
        table.add({key, std::to_string(waits.size()), at(1), at(2), at(3), at(4)});
    }
    std::cout << table.to_string();
}

}

int run_losses_command(Options const& options)
{
    LossReport report;
    read_input_files(options, 1, [&report](std::istream& input) { report.read(input); });
    if (report.fates().empty()) {
        std::cerr << "no line ends a request\n";
        return s_exit_failed;
    }
    auto const by_class = report.count_by([](auto const& fate) { return fate.request_class; });
    auto const by_server = report.count_by([](auto const& fate) { return fate.server; });
    auto const by_second = report.count_by(second_of);
    if (options.should_print_json) {
        std::cout << nlohmann::json {{"class", by_class}, {"server", by_server}, {"second", by_second}}.dump(2) << '\n';
        return s_exit_done;
    }
    print("class", by_class);
    print("server", by_server);
    print("second", by_second);
    print_predictions(report);
    return s_exit_done;
}

}
