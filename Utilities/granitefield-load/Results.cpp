#include "Results.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <array>

#include <absl/strings/str_format.h>

namespace GraniteField::Load {

using Json = nlohmann::json;

namespace {

double to_milliseconds(Core::Microseconds duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

Json quantiles(Observe::Distribution const& distribution)
{
    return {{"p50", to_milliseconds(distribution.quantile(0.5))}, {"p95", to_milliseconds(distribution.quantile(0.95))},
        {"p99", to_milliseconds(distribution.quantile(0.99))}};
}

/// The figures of a class that runs are compared by.
struct Figure {
    std::string_view name;
    char const* path;
};

constexpr std::array s_figures {Figure {"attainment", "/attainment"}, Figure {"done share", "/done-share"},
    Figure {"goodput tokens/s", "/goodput"}, Figure {"first token p50 ms", "/first-token-ms/p50"},
    Figure {"first token p99 ms", "/first-token-ms/p99"}, Figure {"gap p95 ms", "/token-gap-ms/p95"}};

struct Spread {
    double mean {0};
    double least {0};
    double most {0};
};

Spread spread_of(std::vector<Json> const& runs, std::string const& path)
{
    std::vector<double> values;
    for (auto const& run : runs)
        values.push_back(run.at(Json::json_pointer(path)).get<double>());
    double sum = 0;
    for (auto const value : values)
        sum += value;
    auto const [least, most] = std::ranges::minmax(values);
    return {sum / static_cast<double>(values.size()), least, most};
}

std::string to_text(Spread const& spread)
{
    return absl::StrFormat("%.3f [%.3f, %.3f]", spread.mean, spread.least, spread.most);
}

}

void ClassResults::add(CallResult const& result)
{
    ++m_offered;
    ++m_outcomes[result.outcome];
    m_tries += result.tries;
    bool const is_done = result.outcome == "done";
    bool const is_attained = is_done && result.first_token <= m_stream.first_token_target;
    auto& second = m_seconds[std::chrono::duration_cast<std::chrono::seconds>(result.intended).count()];
    ++second.offered;
    if (is_attained) {
        ++m_attained;
        ++second.attained;
    }
    if (is_done && !result.is_own_and_whole)
        ++m_foreign;
    if (!is_done)
        return;
    m_useful_tokens += result.got_tokens;
    m_first_token.add(result.first_token);
    m_duration.add(result.duration);
    for (auto const gap : result.gaps)
        m_gap.add(gap);
}

Json ClassResults::to_json(Core::Milliseconds counted) const
{
    auto const offered = static_cast<double>(std::max<std::uint64_t>(m_offered, 1));
    auto const done = m_outcomes.contains("done") ? m_outcomes.at("done") : 0;
    Json timeline = Json::array();
    for (auto const& [time, second] : m_seconds)
        timeline.push_back({{"second", time}, {"offered", second.offered}, {"attained", second.attained}});
    return {{"offered", m_offered}, {"outcomes", m_outcomes}, {"tries", m_tries},
        {"attainment", static_cast<double>(m_attained) / offered}, {"done-share", static_cast<double>(done) / offered},
        {"useful-tokens", m_useful_tokens},
        {"goodput", static_cast<double>(m_useful_tokens) * 1000 / static_cast<double>(counted.count())},
        {"not-own-or-not-whole", m_foreign}, {"first-token-ms", quantiles(m_first_token)},
        {"token-gap-ms", quantiles(m_gap)}, {"duration-ms", quantiles(m_duration)}, {"timeline", timeline}};
}

Json summarize(Scenario const& scenario, std::vector<CallResult> const& results)
{
    std::map<std::string, std::unique_ptr<ClassResults>> classes;
    for (auto const& stream : scenario.streams)
        classes[stream.request_class] = std::make_unique<ClassResults>(stream);
    for (auto const& result : results) {
        if (result.intended >= scenario.warm_up)
            classes.at(scenario.streams[result.stream].request_class)->add(result);
    }
    auto const counted = scenario.length - scenario.warm_up;
    Json by_class = Json::object();
    double goodput = 0;
    for (auto const& [name, class_results] : classes) {
        by_class[name] = class_results->to_json(counted);
        goodput += by_class[name]["goodput"].get<double>();
    }
    return {{"scenario", scenario.name}, {"classes", by_class}, {"goodput", goodput}};
}

std::string to_csv(Json const& results)
{
    std::string text
        = "class,offered,attainment,done share,goodput,first token p50 ms,first token p99 ms,gap p95 ms\r\n";
    for (auto const& [name, item] : results["classes"].items()) {
        Core::append(&text, name, ",", item["offered"].get<std::uint64_t>(), ",", item["attainment"].get<double>(), ",",
            item["done-share"].get<double>(), ",", item["goodput"].get<double>(), ",",
            item["first-token-ms"]["p50"].get<double>(), ",", item["first-token-ms"]["p99"].get<double>(), ",",
            item["token-gap-ms"]["p95"].get<double>(), "\r\n");
    }
    return text;
}

std::string to_svg(Json const& results)
{
    constexpr int s_width = 800;
    constexpr int s_height = 300;
    constexpr int s_margin = 40;
    constexpr std::array s_colours {"#1b6ca8", "#c0392b", "#27ae60", "#8e44ad", "#d68910", "#555555"};
    std::int64_t last = 1;
    for (auto const& [name, item] : results["classes"].items()) {
        for (auto const& point : item["timeline"])
            last = std::max(last, point["second"].get<std::int64_t>());
    }
    auto svg = Core::concat("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"", s_width + 2 * s_margin + 140,
        "\" height=\"", s_height + 2 * s_margin, "\" font-family=\"sans-serif\" font-size=\"12\">\n<text x=\"",
        s_margin, "\" y=\"20\">attainment by second, ", results["scenario"].get<std::string>(), "</text>\n");
    for (int percent = 0; percent <= 100; percent += 25) {
        auto const y = s_margin + s_height - s_height * percent / 100;
        Core::append(&svg, "<line x1=\"", s_margin, "\" x2=\"", s_margin + s_width, "\" y1=\"", y, "\" y2=\"", y,
            "\" stroke=\"#dddddd\"/><text x=\"4\" y=\"", y + 4, "\">", percent, "%</text>\n");
    }
    std::size_t index = 0;
    for (auto const& [name, item] : results["classes"].items()) {
        auto const* colour = s_colours.at(index % s_colours.size());
        std::string points;
        for (auto const& point : item["timeline"]) {
            auto const share = point["attained"].get<double>() / std::max(point["offered"].get<double>(), 1.0);
            auto const x = s_margin + s_width * point["second"].get<double>() / static_cast<double>(last);
            Core::append(&points, x, ",", s_margin + s_height * (1 - share), " ");
        }
        Core::append(&svg, "<polyline fill=\"none\" stroke=\"", colour, "\" stroke-width=\"2\" points=\"", points,
            "\"/>\n<text x=\"", s_margin + s_width + 10, "\" y=\"", s_margin + 16 * static_cast<int>(++index),
            "\" fill=\"", colour, "\">", name, "</text>\n");
    }
    return svg + "</svg>\n";
}

std::string compare(std::vector<Json> const& before, std::vector<Json> const& after)
{
    std::string text = absl::StrFormat("%-20s %-20s %30s %30s\n", "class", "figure", "before", "after");
    for (auto const& [name, item] : before.front()["classes"].items()) {
        for (auto const& figure : s_figures) {
            auto const path = Core::concat("/classes/", name, figure.path);
            absl::StrAppendFormat(&text, "%-20s %-20s %30s %30s\n", name, std::string(figure.name),
                to_text(spread_of(before, path)), to_text(spread_of(after, path)));
        }
    }
    absl::StrAppendFormat(&text, "%-20s %-20s %30s %30s\n", "all", "goodput tokens/s",
        to_text(spread_of(before, "/goodput")), to_text(spread_of(after, "/goodput")));
    return text;
}

}
