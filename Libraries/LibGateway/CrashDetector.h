#pragma once

#include <LibCluster/SharedQuarantine.h>
#include <LibGateway/BackendView.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/SuspectedCrashes.h>
#include <LibObserve/EventLog.h>
#include <LibPolicy/CrashLedger.h>

#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace GraniteField::Gateway {

/// This gateway's part in finding requests that crash servers: asks servers whose answers broke off whether they are
/// still there, keeps the ledger, and logs and counts what comes of it. On the gateway's thread.
class CrashDetector {
public:
    /// `kept` is null where nothing is kept beyond the gateways.
    CrashDetector(
        boost::asio::io_context&, Observe::EventLog&, GatewayMetrics&, Cluster::SharedQuarantine* store_quarantine);

    [[nodiscard]] Policy::CrashLedger& ledger() { return m_ledger; }
    [[nodiscard]] Policy::CrashLedger const& ledger() const { return m_ledger; }

    /// An answer of the server broke off. A connection is asked of it, once for all answers that break with this one.
    void note_broken_answer(BackendView const&, Core::RequestDigest const&, Policy::Exposure, Core::MonotonicTime now);
    /// Judges what has settled, and logs what was concluded here or elsewhere. To be called often.
    void tick(Core::MonotonicTime now);

private:
    class Probe;

    void probe_server(std::string const& instance, Core::Address const&, std::uint64_t life);
    void handle_refused_probe(std::string const& instance, std::uint64_t life, Core::MonotonicTime now);
    void count_witness(std::string_view instance, Policy::CrashWitness const&, Core::MonotonicTime now);
    void log(Policy::CrashConclusion const&);
    /// Hands what was concluded to the store.
    void store(Policy::CrashConclusion const&);
    /// Takes what the store had at the start.
    void import_stored(Core::MonotonicTime now);

    boost::asio::io_context& m_loop;
    Observe::EventLog& m_log;
    GatewayMetrics& m_metrics;
    Cluster::SharedQuarantine* m_store_quarantine;
    Policy::CrashLedger m_ledger;
    SuspectedCrashes m_suspected_crashes;
};

}
