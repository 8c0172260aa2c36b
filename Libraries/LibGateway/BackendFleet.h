#pragma once

#include <LibGateway/BackendView.h>
#include <LibGateway/GatewayCall.h>
#include <LibGateway/PauseModel.h>
#include <LibObserve/EventLog.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Gateway {

/// Why a backend server was chosen; for the log.
struct Choice {
    std::shared_ptr<BackendView> server;
    /// Prompt tokens that it is believed to read for this request.
    std::uint32_t unread_tokens {0};
    /// Time until the first piece of the answer, as predicted.
    Core::Milliseconds predicted_wait {0};
    /// Whether a long prompt's reading beside it makes it late.
    bool is_pause_sensitive {false};
    std::size_t candidates {0};
};

/// The backend servers of all services, and the choice among them. On the gateway's thread only.
class BackendFleet {
public:
    struct Settings {
        /// Where this gateway stands; servers there are preferred among equals.
        std::string failure_domain;
        /// Prompt tokens that an engine reads in a millisecond, until its answers tell better.
        double first_prefill_rate {30};
        /// What each request that runs at an engine adds to the next one's first token.
        Core::Milliseconds cost_per_running {4};
        /// How much longer a wait may be than the reading of shared parts that it saves. Reading them again takes
        /// the engine's time from all others, so it weighs more than its own time.
        double reread_weight {8};
        /// What speaks against an engine for each stream that a long prompt's reading would make late there. From
        /// trials with 0, 500, 1000 and 2000 ms (docs/MEASUREMENTS.md).
        Core::Milliseconds cost_per_late_stream {500};
        /// What speaks against an engine without such streams for the first of them: it closes the engine to long
        /// prompts, so these streams should share few engines. From trials with 0, 150 and 400 ms.
        Core::Milliseconds cost_per_first_sensitive_stream {400};
        /// What it costs to leave the own failure domain, in time.
        Core::Milliseconds cost_per_domain_change {2};
    };

    BackendFleet(Settings, Observe::EventLog&);

    void set_settings(Settings settings) { m_settings = std::move(settings); }

    /// Takes the list; servers that it lacks get nothing new.
    void follow(Entry::ServerList const&);
    /// Memory sizes by service.
    void follow(Table::Table const&);

    /// The best backend server that is not among `excluded`; no server when there is none.
    [[nodiscard]] Choice choose(
        GatewayCall const&, std::set<std::string> const& excluded, Core::MonotonicTime now) const;

    /// An engine gave the first event of a prompt of which it had to read so much.
    void note_first_event(std::string const& service, std::uint32_t unread_tokens, Core::Milliseconds wait);

    /// An event of a stream came after that pause.
    void note_pause(std::string const& service, BackendView const&, PauseModel::Time pause);

    [[nodiscard]] std::size_t count() const { return m_servers.size(); }
    /// The server of that id, or null.
    [[nodiscard]] std::shared_ptr<BackendView> find(std::uint64_t id) const;
    [[nodiscard]] std::map<std::string, std::shared_ptr<BackendView>> const& all() const { return m_servers; }

private:
    /// What a request would meet at a backend server.
    struct Estimate {
        using Time = std::chrono::duration<double, std::milli>;

        /// Until the first piece of the answer.
        Time wait {0};
        /// What speaks against the server besides the wait, in time.
        Time penalty {0};
        std::uint32_t unread_tokens {0};
    };

    /// What a request asks of an engine, the same for all candidates.
    struct EngineTask {
        std::uint32_t prompt_tokens {0};
        /// Those among them that other prompts share.
        double shared_tokens {0};
        /// Prompt tokens that an engine of the service reads in a millisecond.
        double prefill_rate {0};
        bool is_pause_sensitive {false};
    };

    struct Candidate {
        std::shared_ptr<BackendView> server;
        /// Place in the prompt's own order of the service's engines; 0 is its home.
        std::size_t rank {0};
    };

    [[nodiscard]] std::vector<Candidate> candidates_for(
        GatewayCall const&, std::set<std::string> const& excluded, Core::MonotonicTime now) const;
    void rank_by_prompt(std::vector<Candidate>&, GatewayCall const&) const;
    [[nodiscard]] Estimate estimate(
        Candidate const&, GatewayCall const&, EngineTask const&, Core::MonotonicTime now) const;
    [[nodiscard]] Estimate estimate_plain(BackendView const&) const;
    [[nodiscard]] EngineTask task_of(GatewayCall const&) const;
    [[nodiscard]] Estimate estimate_engine(Candidate const&, GatewayCall const&, EngineTask const&) const;
    /// What the request's reading costs streams there, and what the readings there cost the request's own stream.
    [[nodiscard]] Estimate::Time pause_penalty(ServerLoad const&, std::uint32_t unread_tokens, EngineTask const&) const;
    [[nodiscard]] bool is_pause_sensitive(GatewayCall const&) const;
    [[nodiscard]] double prefill_rate(std::string const& service) const;
    void log_change(Entry::ServerEntry const&, std::string_view change, Entry::ListRevision) const;

    Settings m_settings;
    Observe::EventLog& m_log;
    std::map<std::string, std::shared_ptr<BackendView>> m_servers;
    absl::flat_hash_map<std::uint64_t, std::weak_ptr<BackendView>> m_servers_by_id;
    std::map<std::string, std::uint64_t> m_memory_tokens;
    std::map<std::string, double> m_prefill_rates;
    std::map<std::string, PauseModel> m_pause_models;
};

}
