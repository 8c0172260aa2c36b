#include <LibGateway/CrashDetector.h>

#include <LibGateway/ServerProbe.h>

#include <absl/strings/str_join.h>

namespace GraniteField::Gateway {

CrashDetector::CrashDetector(boost::asio::io_context& loop, Observe::EventLog& log, GatewayMetrics& metrics,
    Cluster::SharedQuarantine* store_quarantine)
    : m_loop(loop)
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
    auto const& instance = server.record().instance;
    Policy::CrashWitness const witness {identity.request, server.life(), exposure, now, identity.parts};
    switch (m_suspected_crashes.add(witness, now)) {
    case SuspectedCrashes::Step::ProbeServer:
        return probe_server(instance, server.record().address, witness.server.incarnation);
    case SuspectedCrashes::Step::Count:
        return count_witness(instance, witness, now);
    case SuspectedCrashes::Step::AwaitProbe:
        return;
    }
}

void CrashDetector::probe_server(std::string const& instance, Core::Address const& address, std::uint64_t life)
{
    auto const started = Core::monotonic_now();
    ServerProbe::start(m_loop, address, [this, instance, life, started](ServerProbe::Result result) {
        m_metrics.note_crash_probe(to_string(result));
        m_log.write(Observe::LogEvent("crash-probe")
                        .add("server", instance)
                        .add("result", to_string(result))
                        .add("took_ms", Core::elapsed(started, Core::monotonic_now()))
                        .add("witnesses", m_suspected_crashes.count_unconfirmed(life)));
        if (result == ServerProbe::Result::Refused)
            return handle_refused_probe(instance, life, Core::monotonic_now());
        m_suspected_crashes.drop(life);
    });
}

void CrashDetector::handle_refused_probe(std::string const& instance, std::uint64_t life, Core::MonotonicTime now)
{
    for (auto const& witness : m_suspected_crashes.note_refused(life, now))
        count_witness(instance, witness, now);
}

namespace {

void append_digest(std::string* text, Core::RequestDigest const& digest)
{
    text->append(digest.to_string());
}

}

void CrashDetector::count_witness(
    std::string_view instance, Policy::CrashWitness const& witness, Core::MonotonicTime now)
{
    m_ledger.note_crash(witness, now);
    m_metrics.note_crash_witness();
    m_log.write(Observe::LogEvent("crash-witness")
                    .add("digest", witness.digest.to_string())
                    .add("server", instance)
                    .add("had_just_begun", witness.exposure == Policy::Exposure::Fresh)
                    .add("ms_ago", Core::elapsed(witness.crashed, now))
                    .add("parts", absl::StrJoin(witness.parts, ",", append_digest))
                    .add("moments", m_ledger.count_crash_moments({witness.digest, witness.parts})));
}

void CrashDetector::tick(Core::MonotonicTime now)
{
    import_stored(now);
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
