#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/CrashLedger.h>

#include <Peers.pb.h>

namespace GraniteField::Gateway {

/// What the gateways' datagrams about load carry of requests that crash servers. A gateway tells its relay; relays tell
/// each other and their gateways, so that all of them know.
class CrashSharing {
public:
    using Message = granitefield::protocol::CrashNews;

    explicit CrashSharing(Policy::CrashLedger& ledger)
        : m_ledger(ledger)
    {
    }

    [[nodiscard]] bool has_due_reports(Core::MonotonicTime now) const { return m_ledger.has_news(now); }
    [[nodiscard]] static bool is_within_bounds(Message const&);
    void fill(Message&, Core::MonotonicTime now);
    void receive(Message const&, Policy::CrashLedger::Relaying, Core::MonotonicTime now);

private:
    Policy::CrashLedger& m_ledger;
};

}
