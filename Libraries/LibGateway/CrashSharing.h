#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/CrashLedger.h>

#include <Peers.pb.h>

namespace GraniteField::Gateway {

/// Exchanges reports about requests that crash servers, in the load datagrams of the gateways. A gateway reports to its
/// relay; relays exchange their reports and forward them to their gateways.
class CrashSharing {
public:
    using Message = granitefield::protocol::CrashNews;

    explicit CrashSharing(Policy::CrashLedger& ledger)
        : m_ledger(ledger)
    {
    }

    [[nodiscard]] bool has_due_reports(Core::MonotonicTime now) const { return m_ledger.has_due_reports(now); }
    [[nodiscard]] static bool is_within_bounds(Message const&);
    void fill(Message&, Core::MonotonicTime now);
    void receive(Message const&, Policy::CrashLedger::Relaying, Core::MonotonicTime now);

private:
    Policy::CrashLedger& m_ledger;
};

}
