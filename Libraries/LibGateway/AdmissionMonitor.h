#pragma once

#include <LibCore/Time.h>
#include <LibObserve/EventLog.h>
#include <LibPolicy/Admission.h>
#include <LibTable/Table.h>

#include <set>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace GraniteField::Gateway {

/// Shows operators the state of admission control: logs when a shortage of a service starts and ends, and describes
/// services with a shortage. On the gateway's thread.
class AdmissionMonitor {
public:
    AdmissionMonitor(Policy::Admission const& admission, Observe::EventLog& log)
        : m_admission(admission)
        , m_log(log)
    {
    }

    /// Logs the services whose shortage has started or ended.
    void tick(Core::MonotonicTime now);

    /// Returns the demand, shares and rejections of each service with a shortage. Workspaces are named if the table has
    /// them.
    [[nodiscard]] nlohmann::json status(Table::Table const*, Core::MonotonicTime now) const;

private:
    void log_change(std::string const& service, bool has_shortage, Core::MonotonicTime now) const;

    Policy::Admission const& m_admission;
    Observe::EventLog& m_log;
    std::set<std::string> m_short_services;
};

}
