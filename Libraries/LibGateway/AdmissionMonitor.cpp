#include <LibGateway/AdmissionMonitor.h>

#include <cmath>
#include <map>

#include <nlohmann/json.hpp>

namespace GraniteField::Gateway {

namespace {

using Json = nlohmann::json;
using Policy::ShareStanding;

/// Returns the level as a whole number, or null while it is infinite.
Json level_json(double level)
{
    return std::isfinite(level) ? Json(std::llround(level)) : Json();
}

std::map<Policy::NameHash, std::string> workspace_names(Table::Table const* table)
{
    std::map<Policy::NameHash, std::string> names;
    if (table == nullptr)
        return names;
    for (auto const& [name, workspace] : table->workspaces())
        names.emplace(Policy::hash_name(name), name);
    return names;
}

Json classes_json(Policy::ServiceDemand const& demand)
{
    Json classes = Json::array();
    for (auto const& [admission_class, counts] : demand.classes) {
        classes.push_back(
            {{"priority", admission_class.rank}, {"beyond-share", admission_class.standing == ShareStanding::Beyond},
                {"requested", counts.requested}, {"late", counts.late}, {"admitted", counts.admitted}});
    }
    return classes;
}

}

void AdmissionMonitor::tick(Core::MonotonicTime now)
{
    auto const names = m_admission.demand().services_with_shortage(now);
    std::set<std::string> current(names.begin(), names.end());
    for (auto const& service : current) {
        if (!m_short_services.contains(service))
            log_change(service, true, now);
    }
    for (auto const& service : m_short_services) {
        if (!current.contains(service))
            log_change(service, false, now);
    }
    m_short_services = std::move(current);
}

void AdmissionMonitor::log_change(std::string const& service, bool has_shortage, Core::MonotonicTime now) const
{
    auto const summary = m_admission.summary(service, now);
    m_log.write(Observe::LogEvent("shortage")
                    .add("service", service)
                    .add("begun", has_shortage)
                    .add("requested_work", std::llround(summary.demand.total.requested))
                    .add("admitted_work", std::llround(summary.demand.total.admitted))
                    .add("share", std::isfinite(summary.level) ? std::llround(summary.level) : -1));
}

Json AdmissionMonitor::status(Table::Table const* table, Core::MonotonicTime now) const
{
    auto const names = workspace_names(table);
    Json services = Json::array();
    for (auto const& service : m_admission.demand().services_with_shortage(now)) {
        auto const summary = m_admission.summary(service, now);
        Json workspaces = Json::array();
        for (auto const& [hash, rate] : summary.demand.workspaces) {
            auto const name = names.find(hash);
            if (name == names.end())
                continue;
            auto const standing = m_admission.shares().standing(summary.demand, summary.level, name->second);
            workspaces.push_back({{"workspace", name->second}, {"weight", m_admission.shares().weight_of(hash)},
                {"requested-work", std::llround(rate.requested)}, {"admitted-work", std::llround(rate.admitted)},
                {"beyond-share", standing == ShareStanding::Beyond}});
        }
        services.push_back({{"service", service}, {"requested-work", std::llround(summary.demand.total.requested)},
            {"admitted-work", std::llround(summary.demand.total.admitted)}, {"share", level_json(summary.level)},
            {"classes", classes_json(summary.demand)}, {"workspaces", workspaces}});
    }
    return {{"shortages", services}, {"return-places", m_admission.return_line().size()}};
}

}
