#include "Scenario.h"

#include <LibCore/Json.h>
#include <LibCore/Text.h>
#include <LibSettings/ObjectReader.h>

#include <nlohmann/json.hpp>

namespace GraniteField::Load {

using Json = nlohmann::json;
using Settings::ObjectReader;
using Settings::Presence;
using namespace std::chrono_literals;

namespace {

constexpr double s_largest_rate = 100'000;

void read_phases(Json const* list, std::string const& place, std::vector<Phase>& phases, Core::Findings& findings)
{
    if (list == nullptr)
        return;
    for (std::size_t index = 0; index < list->size(); ++index) {
        ObjectReader reader((*list)[index], place + "/" + std::to_string(index), findings);
        Phase phase;
        reader.read("from", phase.from, 0ms, 1h);
        reader.read("to", phase.to, 0ms, 1h);
        reader.read("factor", phase.factor, 0, 1000);
        reader.finish();
        phases.push_back(phase);
    }
}

Stream read_stream(Json const& json, std::string const& place, Core::Findings& findings)
{
    ObjectReader reader(json, place, findings);
    Stream stream;
    reader.read("class", stream.request_class, Presence::Required);
    reader.read("per-second", stream.per_second, 0, s_largest_rate);
    read_phases(reader.member("phases"), reader.place_of("phases"), stream.phases, findings);
    reader.read_number("workspaces", stream.workspaces, 1, 10'000);
    reader.read("skew", stream.skew, 0, 5);
    reader.read("median-tokens", stream.median_tokens, 1, 100'000);
    reader.read("sigma", stream.sigma, 0, 5);
    reader.read_number("most-tokens", stream.most_tokens, 1, 100'000);
    reader.read_number("prefixes", stream.prefixes, 1, 1'000'000);
    reader.read_number("prefix-bytes", stream.prefix_bytes, 1, 100'000);
    reader.read("first-token-target", stream.first_token_target, 1ms, 1h);
    reader.read_number("returns", stream.returns, 0, 1000);
    reader.read("service-path", stream.service_path);
    reader.finish();
    return stream;
}

}

Scenario parse_scenario(std::string_view text)
{
    Core::Findings findings;
    Scenario scenario;
    Json json;
    try {
        json = Core::parse_json(text);
    } catch (Core::JsonError const& error) {
        findings.add("byte " + std::to_string(error.byte()), Core::concat("the file is not JSON: ", error.what()));
        throw Core::InvalidInput(findings);
    }
    ObjectReader reader(json, "", findings);
    reader.read("name", scenario.name, Presence::Required);
    reader.read("length", scenario.length, 100ms, 1h);
    reader.read("warm-up", scenario.warm_up, 0ms, 1h);
    reader.read("model", scenario.model);
    reader.read("key-prefix", scenario.key_prefix);
    auto const* streams = reader.member("streams", Presence::Required);
    for (std::size_t index = 0; streams != nullptr && index < streams->size(); ++index)
        scenario.streams.push_back(read_stream((*streams)[index], "/streams/" + std::to_string(index), findings));
    // What describes the fleet for an experiment stands in the same file and is not read here.
    static_cast<void>(reader.member("fleet"));
    reader.finish();
    if (!findings.is_empty())
        throw Core::InvalidInput(findings);
    return scenario;
}

}
