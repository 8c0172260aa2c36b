// What a change of the configuration costs a gateway, by the number of routes that there are: at the one that has it
// from the store, at those that have it from a peer, and at those that hand it on.
#include <LibCore/Compression.h>
#include <LibCore/Hashing.h>
#include <LibCore/Text.h>
#include <LibEntry/PeerMessages.h>
#include <LibEntry/TableHistory.h>
#include <LibTable/TablePages.h>

#include <memory>
#include <string>

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>
#include <platform/Decoders.h>

namespace GraniteField {

namespace {

using Json = nlohmann::json;

constexpr std::size_t s_hosts = 12;
constexpr std::size_t s_workspaces = 24;

/// As the operators write it; two of different `version` differ in one route.
std::string configuration_text(std::size_t routes, unsigned version)
{
    Json json {{"version", version}, {"services", {{{"name", "svc-a"}}, {{"name", "svc-b"}}}},
        {"limits", {{"max_header_bytes", 8'192}}}};
    for (std::size_t number = 0; number < routes; ++number) {
        json["routes"].push_back(
            {{"name", Core::concat("route-", number)}, {"host", Core::concat("host", number % s_hosts, ".example")},
                {"path_prefix", Core::concat("/path", number, "/")}, {"kind", "safe"},
                {"timeout_ms", number == 0 ? 1'000 + version : 1'200}, {"latency_slo_ms", 150}, {"prio", 2},
                {"service", number % 2 == 0 ? "svc-a" : "svc-b"}, {"attempts", 2}});
    }
    for (std::size_t number = 0; number < s_workspaces; ++number) {
        json["tenants"].push_back({{"name", Core::concat("workspace-", number)},
            {"api_keys", {Core::concat("key-a-", number), Core::concat("key-b-", number)}}});
    }
    return json.dump();
}

Table::Table table_of(std::size_t routes, unsigned version)
{
    Core::Findings findings;
    return Platform::decode_configuration(Json::parse(configuration_text(routes, version)), findings);
}

std::shared_ptr<Table::Table const> shared_table_of(std::size_t routes, unsigned version)
{
    return std::make_shared<Table::Table const>(table_of(routes, version));
}

std::optional<Table::Table> take(
    granitefield::protocol::TableUpdate const& update, std::shared_ptr<Table::Table const> const& current)
{
    return Entry::apply(update, Entry::read_edits(update), current);
}

void parse_text(benchmark::State& state)
{
    auto const text = configuration_text(static_cast<std::size_t>(state.range(0)), 2);
    state.counters["bytes"] = static_cast<double>(text.size());
    while (state.KeepRunning())
        benchmark::DoNotOptimize(Json::parse(text));
}

void decode(benchmark::State& state)
{
    auto const json = Json::parse(configuration_text(static_cast<std::size_t>(state.range(0)), 2));
    Core::Findings findings;
    while (state.KeepRunning())
        benchmark::DoNotOptimize(Platform::decode_configuration(json, findings));
}

void find_difference(benchmark::State& state)
{
    auto const before = table_of(static_cast<std::size_t>(state.range(0)), 1);
    auto const after = table_of(static_cast<std::size_t>(state.range(0)), 2);
    while (state.KeepRunning())
        benchmark::DoNotOptimize(Table::difference(before, after));
}

void find_difference_of_many_new(benchmark::State& state)
{
    auto const before = table_of(50, 1);
    auto const after = table_of(static_cast<std::size_t>(state.range(0)), 2);
    while (state.KeepRunning())
        benchmark::DoNotOptimize(Table::difference(before, after));
}

void take_one_edit(benchmark::State& state)
{
    auto const before = shared_table_of(static_cast<std::size_t>(state.range(0)), 1);
    auto const after = table_of(static_cast<std::size_t>(state.range(0)), 2);
    auto const update = Entry::to_message(before->version(), after.version(), Table::difference(*before, after));
    state.counters["bytes"] = static_cast<double>(update.ByteSizeLong());
    while (state.KeepRunning())
        benchmark::DoNotOptimize(take(update, before));
}

void take_many_new(benchmark::State& state)
{
    auto const before = shared_table_of(50, 1);
    auto const after = table_of(static_cast<std::size_t>(state.range(0)), 2);
    auto const update = Entry::to_message(before->version(), after.version(), Table::difference(*before, after));
    state.counters["bytes"] = static_cast<double>(update.ByteSizeLong());
    state.counters["whole_bytes"] = static_cast<double>(Core::decompress(update.compressed_edits(), 1U << 30U).size());
    while (state.KeepRunning())
        benchmark::DoNotOptimize(take(update, before));
}

void give_whole(benchmark::State& state)
{
    auto const table = table_of(static_cast<std::size_t>(state.range(0)), 2);
    while (state.KeepRunning())
        benchmark::DoNotOptimize(Entry::to_message({}, table.version(), Table::difference(Table::Table(), table)));
}

void take_whole(benchmark::State& state)
{
    auto const table = table_of(static_cast<std::size_t>(state.range(0)), 2);
    auto const update = Entry::to_message({}, table.version(), Table::difference(Table::Table(), table));
    state.counters["bytes"] = static_cast<double>(update.ByteSizeLong());
    while (state.KeepRunning())
        benchmark::DoNotOptimize(take(update, nullptr));
}

void take_changed_server(benchmark::State& state)
{
    Entry::ServerList list;
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        Entry::ServerEntry entry;
        entry.instance = Core::concat("i-", Core::hash_bytes(std::to_string(number)));
        entry.service = Core::concat("service-", number % 4);
        entry.address = *Core::Address::from_string(Core::concat("10.1.", number / 250, ".", number % 250, ":8080"));
        entry.failure_domain = Core::concat("domain-", number % 12);
        entry.slots = 64;
        list.servers.push_back(std::move(entry));
    }
    auto const now = Core::monotonic_now();
    auto const bytes_of = [&](Entry::ServerChanges const& changes) {
        return static_cast<double>(Entry::to_message(changes, now).ByteSizeLong());
    };
    list.revision = Entry::ListRevision(1);
    auto const before = std::make_shared<Entry::ServerList const>(list);
    auto after = list;
    after.revision = after.revision.next();
    after.servers.front().state = Table::BackendServerState::Leaving;
    auto const changes = Entry::difference(*before, after);
    // What one change cost each gateway before, and costs now.
    state.counters["whole_bytes"] = bytes_of(Entry::difference(Entry::ServerList(), list));
    state.counters["changed_bytes"] = bytes_of(changes);
    while (state.KeepRunning())
        benchmark::DoNotOptimize(Entry::apply_changes(changes, before));
}

void find_route(benchmark::State& state)
{
    auto const table = table_of(static_cast<std::size_t>(state.range(0)), 2);
    while (state.KeepRunning())
        benchmark::DoNotOptimize(table.find_route("host1.example", "/path1/item"));
}

void sizes(benchmark::internal::Benchmark* one)
{
    one->Arg(50)->Arg(1'450)->Arg(4'000)->Unit(benchmark::kMillisecond);
}

}

BENCHMARK(parse_text)->Apply(sizes);
BENCHMARK(decode)->Apply(sizes);
BENCHMARK(find_difference)->Apply(sizes);
BENCHMARK(find_difference_of_many_new)->Apply(sizes);
BENCHMARK(take_one_edit)->Apply(sizes);
BENCHMARK(take_many_new)->Apply(sizes);
BENCHMARK(give_whole)->Apply(sizes);
BENCHMARK(take_whole)->Apply(sizes);
BENCHMARK(take_changed_server)->Arg(60)->Arg(3'000)->Unit(benchmark::kMillisecond);
BENCHMARK(find_route)->Apply(sizes);

}

BENCHMARK_MAIN();
