#pragma once

#include <LibEntry/SideLink.h>
#include <LibTable/Table.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <zmq.hpp>

namespace GraniteField::Entry {

/// The links of an entry to side processes. Follows the table's backend servers and the host list.
class LinkSet {
public:
    struct Settings {
        SideLink::Settings link;
        /// Maximum number of links to one service. If it has more backend servers, the entry selects the first in a
        /// rendezvous hash of its name, so that all entries together cover all backend servers.
        std::size_t links_per_service {64};
    };

    LinkSet(zmq::context_t& context, Settings settings)
        : m_context(context)
        , m_settings(std::move(settings))
    {
    }

    /// Opens and removes links according to the table's backend servers. A link without a row remains until its
    /// attempts have ended.
    void follow(Table::Table const&);
    /// Sets the hosts (IP addresses) that are leaving according to the platform's list.
    void set_leaving_hosts(std::set<std::string>);
    /// Closes removed links without open attempts and returns whether there were any.
    bool close_removed();

    [[nodiscard]] SideLink* find(std::string const& backend_server);
    /// Returns the links of a service that accept new requests.
    [[nodiscard]] std::vector<SideLink*> available(std::string const& service);
    [[nodiscard]] bool has_service(std::string const& service) const;
    [[nodiscard]] std::map<std::string, std::unique_ptr<SideLink>> const& all() const { return m_links; }
    /// Changes when a link is added or closed, so that the poll list can be rebuilt.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }

private:
    [[nodiscard]] std::vector<Table::BackendServer const*> selected_rows(Table::Table const&) const;
    void apply_leaving_hosts();

    zmq::context_t& m_context;
    Settings m_settings;
    std::map<std::string, std::unique_ptr<SideLink>> m_links;
    std::set<std::string> m_leaving_hosts;
    std::uint64_t m_generation {0};
};

}
