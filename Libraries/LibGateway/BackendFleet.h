#pragma once

#include <LibGateway/BackendView.h>
#include <LibGateway/GatewayCall.h>
#include <LibGateway/PlacementPolicy.h>
#include <LibObserve/EventLog.h>

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Gateway {

/// The backend servers of all services, and the choice among them. On the gateway's thread only.
class BackendFleet {
public:
    using Settings = PlacementPolicy::Settings;

    /// How often the engines' readings are looked at.
    static constexpr Core::Milliseconds s_observation_interval {100};

    BackendFleet(Settings, Observe::EventLog&);

    void set_settings(Settings settings) { m_policy.set_settings(std::move(settings)); }

    /// Takes the list; servers that it lacks get nothing new.
    void follow(Entry::ServerList const&);
    /// Memory sizes by service.
    void follow(Table::Table const&);

    /// The best backend server that is not among `excluded`; no server when there is none.
    [[nodiscard]] Choice choose(
        GatewayCall const&, std::set<std::string> const& excluded, Core::MonotonicTime now) const;

    /// Adds the instances that live at one of the places (hashes of addresses).
    void add_servers_at(std::span<std::uint64_t const> places, std::set<std::string>& instances) const;

    /// An engine gave the first event of a prompt of which it had to read so much.
    void note_first_event(std::string const& service, std::uint32_t unread_tokens, Core::Milliseconds wait);

    /// An event of a stream came after that pause.
    void note_pause(std::string const& service, BackendView const&, EngineModel::Time pause);

    /// Looks at what the engines have to read; to be called often.
    void observe(Core::MonotonicTime now);

    [[nodiscard]] std::size_t count() const { return m_servers.size(); }
    /// The server of that id, or null.
    [[nodiscard]] std::shared_ptr<BackendView> find(std::uint64_t id) const;
    [[nodiscard]] std::map<std::string, std::shared_ptr<BackendView>> const& all() const { return m_servers; }

private:
    [[nodiscard]] std::vector<Candidate> candidates_for(
        GatewayCall const&, std::set<std::string> const& excluded, Core::MonotonicTime now) const;
    void rank_by_prompt(std::vector<Candidate>&, GatewayCall const&) const;
    void log_change(Entry::ServerEntry const&, std::string_view change, Entry::ListRevision) const;

    [[nodiscard]] double spread_of(std::string const& instance) const;

    PlacementPolicy m_policy;
    std::uint64_t m_seed;
    Observe::EventLog& m_log;
    std::map<std::string, std::shared_ptr<BackendView>> m_servers;
    absl::flat_hash_map<std::uint64_t, std::weak_ptr<BackendView>> m_servers_by_id;
    std::map<std::string, std::uint64_t> m_memory_tokens;
    Core::MonotonicTime m_observed;
};

}
