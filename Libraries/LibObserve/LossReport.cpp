#include <LibObserve/LossReport.h>

#include <LibCore/Text.h>
#include <LibObserve/LogLines.h>

#include <nlohmann/json.hpp>

namespace GraniteField::Observe {

using Json = nlohmann::json;

namespace {

constexpr int s_first_failure_status = 400;

/// Why the request that this line ends was not answered in time.
std::string reason_of(Json const& end)
{
    auto const number = [&end](char const* name) { return end.value(name, std::int64_t {-1}); };
    auto const outcome = end.value("outcome", "");
    auto const status = number("status");
    auto const first = number("first_ms");
    if (outcome != "done") {
        auto const reason = end.value("reason", "");
        if (reason != "caller_gone")
            return Core::concat(outcome, ": ", reason);
        return first < 0 ? "caller left before the first piece" : "caller left within the answer";
    }
    if (status >= s_first_failure_status)
        return Core::concat("answered ", status);
    auto const until_first = first >= 0 ? first : number("total_ms");
    if (until_first > number("target_ms"))
        return "first piece late";
    if (first >= 0 && number("longest_pause_ms") > number("pause_target_ms"))
        return "pause late";
    return std::string(LossReport::s_in_time);
}

}

void LossReport::read(std::istream& input)
{
    for_each_log_line(input, "", [this](Json const& line) { take(line); });
}

void LossReport::take(Json const& line)
{
    if (!m_first_time)
        m_first_time = line.at("time").get<std::int64_t>();
    auto const event = line.value("event", "");
    if (event == "dispatch")
        take_dispatch(line);
    else if (event == "request-end")
        take_end(line);
}

void LossReport::take_dispatch(Json const& line)
{
    m_predictions[line.value("request", "")] = Core::Milliseconds(line.value("predicted_wait_ms", std::int64_t {0}));
}

void LossReport::take_end(Json const& line)
{
    constexpr std::int64_t ms_of_a_second = 1'000;
    RequestFate fate;
    fate.reason = reason_of(line);
    fate.request_class = line.value("class", "");
    fate.server = line.value("server", "");
    fate.second = (line.at("time").get<std::int64_t>() - *m_first_time) / ms_of_a_second;
    if (auto const found = m_predictions.extract(line.value("request", "")))
        fate.predicted_wait = found.mapped();
    if (auto const first = line.value("first_ms", std::int64_t {-1}); first >= 0)
        fate.first_piece = Core::Milliseconds(first);
    m_fates.push_back(std::move(fate));
}

}
