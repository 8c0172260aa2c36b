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

/// All links of an entry: follows the table's backend servers and the host list.
class LinkSet {
public:
    struct Settings {
        SideLink::Settings link;
        /// Links to one service; where it has more backend servers, the entry takes those that come first
        /// in a rendezvous hash of its name, so that all entries together cover all of them.
        std::size_t links_per_service {64};
    };

    LinkSet(zmq::context_t& context, Settings settings)
        : m_context(context)
        , m_settings(std::move(settings))
    {
    }

    /// Links to the table's backend servers. A link whose row is gone stays until it has no open attempts.
    void follow(Table::Table const&);
    /// Hosts (IP numbers) that are leaving by the platform's list.
    void set_leaving_hosts(std::set<std::string>);
    /// Closes links that are removed and have nothing open, and says whether there were any.
    bool close_removed();

    [[nodiscard]] SideLink* find(std::string const& backend_server);
    /// The links of a service that may get new work.
    [[nodiscard]] std::vector<SideLink*> available(std::string const& service);
    [[nodiscard]] bool has_service(std::string const& service) const;
    [[nodiscard]] std::map<std::string, std::unique_ptr<SideLink>> const& all() const { return m_links; }
    /// Changes whenever a link comes or goes, for the poll list.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }

private:
    [[nodiscard]] std::vector<Table::BackendServer const*> chosen_rows(Table::Table const&) const;
    void apply_leaving_hosts();

    zmq::context_t& m_context;
    Settings m_settings;
    std::map<std::string, std::unique_ptr<SideLink>> m_links;
    std::set<std::string> m_leaving_hosts;
    std::uint64_t m_generation {0};
};

}
