#pragma once

#include <LibCluster/SharedQuarantine.h>
#include <LibGateway/BackendFleet.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/SuspectedCrashes.h>
#include <LibObserve/EventLog.h>
#include <LibPolicy/CrashLedger.h>

#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

namespace GraniteField::Gateway {

/// Detects requests that crash servers: probes servers whose answers broke off, updates the ledger, and logs and counts
/// its conclusions. On the gateway's thread.
class CrashDetector {
public:
    /// `store_quarantine` is null where the quarantine is not stored outside the gateways.
    CrashDetector(boost::asio::io_context&, BackendFleet const&, Observe::EventLog&, GatewayMetrics&,
        Cluster::SharedQuarantine* store_quarantine);

    [[nodiscard]] Policy::CrashLedger& ledger() { return m_ledger; }
    [[nodiscard]] Policy::CrashLedger const& ledger() const { return m_ledger; }

    /// Records a broken answer of the server. One probe serves all answers that break at the same time.
    void note_broken_answer(
        BackendView const&, Policy::CrashIdentity const&, Policy::Exposure, Core::MonotonicTime now);
    /// Records an answer that ended with its connection, at a server that accepts another one. It counts as completed
    /// once it is clear that the server was not restarted.
    void note_ended_answer(BackendView const&, Policy::CrashIdentity const&, Policy::Exposure, Core::MonotonicTime now);
    /// Records that another run of a server has the address.
    void note_replaced(BackendView const&, Core::MonotonicTime now);
    /// Updates the ledger and logs conclusions of this and of other gateways. To be called often.
    void tick(Core::MonotonicTime now);

private:
    void probe_server(Core::Address const&, std::uint64_t life);
    /// Counts the crash of a suspected server. `crashed` is nullopt if no other gateway has reported it.
    void confirm_crash(std::uint64_t life, std::optional<Core::MonotonicTime> crashed, Core::MonotonicTime now);
    /// Looks for evidence that suspected servers have crashed although they accept connections.
    void judge_suspects(Core::MonotonicTime now);
    void judge_suspect(SuspectedCrashes::Server const&, Core::MonotonicTime now);
    void count_witness(Policy::CrashWitness const&, Core::MonotonicTime now);
    /// Returns the instance of the server run, if it is still known.
    [[nodiscard]] std::string instance_of(std::uint64_t life) const;
    void log(Policy::CrashConclusion const&);
    /// Writes the conclusion to the store.
    void store(Policy::CrashConclusion const&);
    /// Adds the quarantine that was loaded from the store.
    void import_stored(Core::MonotonicTime now);

    boost::asio::io_context& m_loop;
    BackendFleet const& m_fleet;
    Observe::EventLog& m_log;
    GatewayMetrics& m_metrics;
    Cluster::SharedQuarantine* m_store_quarantine;
    Policy::CrashLedger m_ledger;
    SuspectedCrashes m_suspected_crashes;
    /// List of servers and number of recorded crashes by which the suspects were judged last.
    std::pair<Entry::ListRevision, std::uint64_t> m_judged_by;
};

}
