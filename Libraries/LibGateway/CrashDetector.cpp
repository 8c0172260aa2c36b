#include <LibGateway/CrashDetector.h>

#include <LibGateway/ServerProbe.h>

#include <absl/strings/str_join.h>

namespace GraniteField::Gateway {

CrashDetector::CrashDetector(boost::asio::io_context& loop, BackendFleet const& fleet, Observe::EventLog& log,
    GatewayMetrics& metrics, Cluster::SharedQuarantine* store_quarantine)
    : m_loop(loop)
    , m_fleet(fleet)
    , m_log(log)
    , m_metrics(metrics)
    , m_store_quarantine(store_quarantine)
{
}

void CrashDetector::note_broken_answer(BackendView const& server, Policy::CrashIdentity const& identity,
    Policy::Exposure exposure, Core::MonotonicTime now)
{
    // A leaving server ends with its open streams, which is no crash.
    if (!server.accepts_new_requests())
        return;
    Policy::CrashWitness const witness {identity.request, server.life(), exposure, now, identity.parts};
    switch (m_suspected_crashes.add(witness, server.listed_since(), now)) {
    case SuspectedCrashes::Step::ProbeServer:
        probe_server(server.record().address, witness.server.incarnation);
        break;
    case SuspectedCrashes::Step::Count:
        return count_witness(witness, now);
    case SuspectedCrashes::Step::AwaitProbe:
        break;
    }
    judge_suspect({witness.server, server.listed_since()}, now);
}

void CrashDetector::note_ended_answer(BackendView const& server, Policy::CrashIdentity const& identity,
    Policy::Exposure exposure, Core::MonotonicTime now)
{
    Policy::CrashWitness const witness {identity.request, server.life(), exposure, now, identity.parts};
    // The address of a leaving server may soon be another one's.
    bool const is_suspect
        = server.accepts_new_requests() && m_suspected_crashes.add_ended(witness, server.listed_since());
    if (is_suspect)
        return judge_suspect({witness.server, server.listed_since()}, now);
    m_ledger.note_success(identity, now);
}

void CrashDetector::note_replaced(BackendView const& server, Core::MonotonicTime now)
{
    if (m_suspected_crashes.count_requests(server.id()) > 0)
        confirm_crash(server.id(), std::nullopt, now);
}

void CrashDetector::probe_server(Core::Address const& address, std::uint64_t life)
{
    auto const started = Core::monotonic_now();
    ServerProbe::start(m_loop, address, [this, life, started](ServerProbe::Result result) {
        m_metrics.note_crash_probe(to_string(result));
        m_log.write(Observe::LogEvent("crash-probe")
                        .add("server", instance_of(life))
                        .add("result", to_string(result))
                        .add("took_ms", Core::elapsed(started, Core::monotonic_now()))
                        .add("witnesses", m_suspected_crashes.count_requests(life)));
        if (result == ServerProbe::Result::Refused)
            return confirm_crash(life, std::nullopt, Core::monotonic_now());
        m_suspected_crashes.note_not_refused(life);
    });
}

void CrashDetector::confirm_crash(
    std::uint64_t life, std::optional<Core::MonotonicTime> crashed, Core::MonotonicTime now)
{
    auto const crash = m_suspected_crashes.confirm(life, crashed, now);
    for (auto const& completed : crash.completed)
        m_ledger.note_success({completed.digest, completed.parts}, completed.crashed, now);
    for (auto const& witness : crash.witnesses)
        count_witness(witness, now);
}

void CrashDetector::judge_suspects(Core::MonotonicTime now)
{
    auto const evidence = std::pair(m_fleet.list_revision(), m_ledger.recorded_crashes());
    if (std::exchange(m_judged_by, evidence) != evidence) {
        for (auto const& server : m_suspected_crashes.servers())
            judge_suspect(server, now);
    }
    for (auto const& ended : m_suspected_crashes.take_ended(now))
        m_ledger.note_success({ended.digest, ended.parts}, ended.crashed, now);
}

void CrashDetector::judge_suspect(SuspectedCrashes::Server const& server, Core::MonotonicTime now)
{
    auto const crashed = m_ledger.crash_time_of(server.life.incarnation);
    if (crashed || m_fleet.has_newer_server_at(server.life.address, server.listed_since))
        confirm_crash(server.life.incarnation, crashed, now);
}

std::string CrashDetector::instance_of(std::uint64_t life) const
{
    auto const server = m_fleet.find(life);
    return server ? server->record().instance : std::string();
}

namespace {

void append_digest(std::string* text, Core::RequestDigest const& digest)
{
    text->append(digest.to_string());
}

}

void CrashDetector::count_witness(Policy::CrashWitness const& witness, Core::MonotonicTime now)
{
    m_ledger.note_crash(witness, now);
    m_metrics.note_crash_witness();
    m_log.write(Observe::LogEvent("crash-witness")
                    .add("digest", witness.digest.to_string())
                    .add("server", instance_of(witness.server.incarnation))
                    .add("had_just_begun", witness.exposure == Policy::Exposure::Fresh)
                    .add("ms_ago", Core::elapsed(witness.crashed, now))
                    .add("parts", absl::StrJoin(witness.parts, ",", append_digest))
                    .add("moments", m_ledger.count_crash_moments({witness.digest, witness.parts})));
}

void CrashDetector::tick(Core::MonotonicTime now)
{
    import_stored(now);
    judge_suspects(now);
    m_ledger.tick(now);
    for (auto const& conclusion : m_ledger.take_conclusions()) {
        log(conclusion);
        store(conclusion);
    }
    m_metrics.set_quarantined(m_ledger.count_quarantined());
}

void CrashDetector::import_stored(Core::MonotonicTime now)
{
    if (m_store_quarantine == nullptr)
        return;
    Policy::CrashReport reports;
    for (auto const& digest : m_store_quarantine->take_loaded())
        reports.quarantined.push_back({digest, now});
    m_ledger.apply(reports, Policy::CrashLedger::Relaying::Yes, now);
}

void CrashDetector::store(Policy::CrashConclusion const& conclusion)
{
    if (m_store_quarantine == nullptr)
        return;
    using Change = Cluster::QuarantineChange;
    bool const is_quarantined = conclusion.kind == Policy::CrashConclusion::Kind::Quarantined;
    if (is_quarantined || conclusion.was_quarantined)
        m_store_quarantine->add_change(
            {is_quarantined ? Change::Kind::Added : Change::Kind::Removed, conclusion.digest});
}

void CrashDetector::log(Policy::CrashConclusion const& conclusion)
{
    using Kind = Policy::CrashConclusion::Kind;
    auto const write = [&](Observe::LogEvent event) {
        m_log.write(event.add("digest", conclusion.digest.to_string())
                        .add("concluded_here", conclusion.source == Policy::CrashConclusion::Source::Here)
                        .add("crashes", conclusion.crashes)
                        .add("moments", conclusion.moments));
    };
    switch (conclusion.kind) {
    case Kind::Quarantined:
        m_metrics.note_quarantine();
        return write(Observe::LogEvent("quarantined"));
    case Kind::Cleared:
        m_metrics.note_crash_cleared();
        return write(Observe::LogEvent("crash-cleared"));
    case Kind::Expired:
        return write(Observe::LogEvent("quarantine-expired"));
    }
}

}
