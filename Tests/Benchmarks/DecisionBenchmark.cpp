// What a decision costs at the side process and at the entry, and what a change of the table costs, over the
// sizes that docs/CAPACITY.md needs slopes for.
#include <LibCore/Hashing.h>
#include <LibCore/RequestDigest.h>
#include <LibCore/Text.h>
#include <LibEntry/PeerView.h>
#include <LibEntry/TableHistory.h>
#include <LibPolicy/AdmissionQueue.h>
#include <LibPolicy/BackendChooser.h>
#include <LibPolicy/FleetDemand.h>
#include <LibPolicy/WorkspaceShares.h>
#include <LibTable/TablePages.h>

#include <deque>
#include <random>
#include <vector>

#include <benchmark/benchmark.h>

namespace GraniteField {

using namespace std::chrono_literals;

namespace {

constexpr unsigned s_classes = 12;
constexpr unsigned s_workspaces = 500;

Policy::Work make_work(std::uint64_t number, Core::MonotonicTime now, std::mt19937_64& random)
{
    Policy::Work work;
    work.key = {{1, number}, Core::AttemptNumber(1)};
    auto const request_class = random() % s_classes;
    work.tier = 1 + request_class % Policy::s_tier_count;
    work.request_class = Core::concat("class-", request_class);
    work.floor_percent = 2;
    work.workspace = Core::concat("workspace-", random() % s_workspaces);
    work.target = now + Core::Milliseconds(random() % 5000);
    work.start_deadline = now + 1h;
    work.expected_service = 100ms;
    return work;
}

/// A queue that holds so many waiting attempts, with all slots taken.
template <typename Rules>
void decide(benchmark::State& state)
{
    auto const depth = static_cast<unsigned>(state.range(0));
    Policy::AdmissionQueue<Rules> queue({64, 2 * depth, 0});
    std::mt19937_64 random(1);
    auto now = Core::MonotonicTime(1h);
    std::uint64_t number = 0;
    std::deque<Policy::AttemptKey> running;
    for (unsigned index = 0; index < depth + 64; ++index) {
        static_cast<void>(queue.offer(make_work(++number, now, random), now));
        while (auto start = queue.next(now))
            running.push_back(start->work.key);
    }
    while (state.KeepRunning()) {
        state.PauseTiming();
        auto work = make_work(++number, now, random);
        now += 100us;
        state.ResumeTiming();
        benchmark::DoNotOptimize(queue.offer(std::move(work), now));
        queue.finish(running.front(), now);
        running.pop_front();
        while (auto start = queue.next(now))
            running.push_back(start->work.key);
        benchmark::DoNotOptimize(queue.expire(now));
    }
}

void choose_backend(benchmark::State& state)
{
    std::vector<std::string> names;
    for (int index = 0; index < state.range(0); ++index)
        names.push_back(Core::concat("llm-", index));
    std::vector<Policy::BackendView> views;
    for (auto const& name : names) {
        Policy::BackendView view;
        view.name = name;
        view.slots = 8;
        view.running = 8;
        view.waiting_by_tier[2] = 3;
        view.mean_service = 300ms;
        views.push_back(view);
    }
    Policy::PredictedWaitChooser chooser(30ms);
    std::uint64_t prefix = 0;
    while (state.KeepRunning())
        benchmark::DoNotOptimize(chooser.choose({3, ++prefix, 1000}, views));
}

Table::Table make_table(int workspaces)
{
    Table::Change change;
    for (int number = 0; number < workspaces; ++number) {
        auto const name = Core::concat("workspace-", number);
        change.push_back({{Table::SheetName::Workspaces, name, "key-hash"}, Core::sha256_hex(name)});
        change.push_back({{Table::SheetName::Workspaces, name, "requests-per-second"}, "100"});
    }
    return Table::Table().with(change);
}

void apply_change(benchmark::State& state)
{
    auto const table = make_table(static_cast<int>(state.range(0)));
    Table::Change const change {{{Table::SheetName::Workspaces, "workspace-7", "weight"}, "5"}};
    while (state.KeepRunning())
        benchmark::DoNotOptimize(table.with(change));
}

void note_step(benchmark::State& state)
{
    auto const before = make_table(static_cast<int>(state.range(0)));
    auto const after = before.with({{{Table::SheetName::Workspaces, "workspace-7", "weight"}, "5"}});
    while (state.KeepRunning())
        benchmark::DoNotOptimize(Table::difference(before, after));
}

void decode_whole_table(benchmark::State& state)
{
    auto const text = Table::encode_table(make_table(static_cast<int>(state.range(0))));
    while (state.KeepRunning())
        benchmark::DoNotOptimize(Table::decode_table(text));
    state.counters["bytes"] = static_cast<double>(text.size());
}

void peer_round(benchmark::State& state)
{
    Entry::PeerView view({"entry-0", "region", "10.0.0.1:1", {}, true, "", 0});
    for (int number = 1; number < state.range(0); ++number)
        view.note({Core::concat("entry-", number), "region", Core::concat("10.0.0.1:", number), Core::MonotonicTime(1h),
            true, "", 0});
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(view.neighbours());
        benchmark::DoNotOptimize(view.should_watch());
    }
}

Policy::FleetDemand make_demand(std::size_t workspaces, Core::MonotonicTime now)
{
    std::string const service("svc");
    Policy::FleetDemand demand;
    for (std::size_t number = 0; number < workspaces; ++number) {
        Policy::FleetDemand::Request const request {service, Core::concat("workspace-", number), {2}, 100};
        demand.note(request, Policy::FleetDemand::Verdict::Rejected, Policy::FleetDemand::ClassState::Open, now);
    }
    return demand;
}

/// A relay sums up the reports of its gateways, each with hundreds of workspaces.
void relay_demand(benchmark::State& state)
{
    Core::MonotonicTime const now(1h);
    auto demand = make_demand(s_workspaces, now);
    auto const report = demand.own_report(now);
    for (int gateway = 0; gateway < state.range(0); ++gateway)
        demand.receive_from_gateway(static_cast<std::uint64_t>(gateway), report, now);
    while (state.KeepRunning())
        benchmark::DoNotOptimize(demand.relayed_report(now));
}

/// A gateway sums up the demand of all relays and works out the shares, as it does each 50 ms in a shortage.
void work_out_shares(benchmark::State& state)
{
    constexpr std::uint64_t relays = 15;
    Core::MonotonicTime const now(1h);
    auto demand = make_demand(static_cast<std::size_t>(state.range(0)), now);
    auto const report = demand.own_report(now);
    for (std::uint64_t relay = 0; relay < relays; ++relay)
        demand.receive_from_relay(relay, report, now);
    Policy::WorkspaceShares const shares;
    while (state.KeepRunning())
        benchmark::DoNotOptimize(shares.level(demand.total("svc", now)));
}

void draw_digest(benchmark::State& state)
{
    std::string const body(static_cast<std::size_t>(state.range(0)), 'b');
    while (state.KeepRunning())
        benchmark::DoNotOptimize(Core::RequestDigest::of("/some/path/of/usual/length", "workspace-17", body));
}

}

BENCHMARK(relay_demand)->Arg(7)->Arg(63)->Arg(357);
BENCHMARK(work_out_shares)->Arg(24)->Arg(670)->Arg(6700);
BENCHMARK(draw_digest)->Arg(0)->Arg(1'000)->Arg(60'000);
BENCHMARK(decide<Policy::TieredDiscipline>)->RangeMultiplier(10)->Range(100, 100'000);
BENCHMARK(decide<Policy::ArrivalDiscipline>)->RangeMultiplier(10)->Range(100, 100'000);
BENCHMARK(choose_backend)->Arg(9)->Arg(24)->Arg(64)->Arg(256);
BENCHMARK(apply_change)->Arg(10)->Arg(670)->Arg(6700);
BENCHMARK(note_step)->Arg(10)->Arg(670)->Arg(6700);
BENCHMARK(decode_whole_table)->Arg(10)->Arg(670)->Arg(6700)->Unit(benchmark::kMillisecond);
BENCHMARK(peer_round)->Arg(3)->Arg(95)->Arg(950);

}

BENCHMARK_MAIN();
