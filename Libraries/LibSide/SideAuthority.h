#pragma once

#include <LibCore/Address.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibCore/WakeEvent.h>
#include <LibObserve/DecisionRing.h>
#include <LibObserve/Metrics.h>
#include <LibObserve/SpanExporter.h>
#include <LibPolicy/ServicePredictor.h>
#include <LibProtocol/Conversions.h>
#include <LibSide/Attempt.h>
#include <LibSide/BackendQueue.h>
#include <LibSide/EngineClient.h>
#include <LibSide/EntryLinks.h>
#include <LibSide/TicketBook.h>
#include <LibSide/Tombstones.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <absl/container/node_hash_map.h>
#include <zmq.hpp>

namespace GraniteField::Side {

struct SideSettings {
    std::string backend_server;
    std::string service;
    Core::Address link_address;
    Core::ListenRetry listen;
    EngineClient::Settings engine;
    Policy::QueueLimits limits;
    /// The backend server goes on with a cancelled stream when it is asked to.
    bool can_resume {false};
    DisciplineName discipline {DisciplineName::Tiered};
    /// An entry that is silent for this long is gone: what it sent and what waits is dropped.
    Core::Milliseconds entry_patience {10'000};
    TicketBook::Limits tickets;
};

/// The one authority over a backend server: every request to it passes here. It owns the queue, the slots,
/// the tickets and the word on leaving, all on one thread; the engine client does the HTTP on another.
class SideAuthority {
public:
    SideAuthority(
        SideSettings, zmq::context_t&, Observe::MetricRegistry&, Observe::DecisionRing&, Observe::SpanExporter*);
    ~SideAuthority();
    SideAuthority(SideAuthority const&) = delete;
    SideAuthority& operator=(SideAuthority const&) = delete;

    /// Takes no new work from now on, sends waiting work back and finishes what runs. From any thread.
    void drain();
    /// Takes new work again. From any thread.
    void undrain();
    /// Whether it drains and nothing is left to finish.
    [[nodiscard]] bool is_drained() const { return m_is_drained; }
    [[nodiscard]] bool is_draining() const { return m_wants_drain; }

    [[nodiscard]] std::uint16_t port() const { return m_links.port(); }
    [[nodiscard]] Core::Incarnation incarnation() const { return m_incarnation; }
    /// What an operator sees, as JSON. From any thread.
    [[nodiscard]] std::string status() const;

private:
    struct Entry {
        std::uint64_t session {0};
        Core::MonotonicTime last_heard;
        std::uint32_t answered_challenge {0};
    };

    void run();
    void wait_for_work();
    void note_pause(Core::MonotonicTime now);
    void receive_messages();
    void handle(Received const&);
    void handle_hello(std::string const& route);
    void handle_dispatch(std::string const& route, Protocol::Message::Dispatch const&);
    void handle_revoke(std::string const& route, Protocol::Message::Revoke const&);
    void handle_acknowledge(Protocol::Message::Acknowledge const&);
    void handle_resume(std::string const& route, Protocol::Message::Resume const&);
    void handle_ping(std::string const& route, Protocol::Message::Ping const&);

    [[nodiscard]] bool reserve_ticket(std::string const& route, Protocol::Message::Dispatch const&);
    void release_ticket(Protocol::Message::Dispatch const&);
    void replay_answer(std::string const& route, Protocol::Message::Dispatch const&, KeptAnswer const&);
    [[nodiscard]] Policy::Work make_work(Protocol::Message::Dispatch const&, Core::MonotonicTime now);
    Protocol::Message::PolicyRow const& newest_row(Protocol::Message::PolicyRow const&);

    void handle_engine_events();
    void handle_piece(AnswerPiece&&);
    void handle_end(AnswerEnd const&);
    void start_waiting();
    void start(Policy::Start const&);
    void suspend_for_higher_tiers();
    void expire_waiting();
    void send_back_waiting();
    void drop_silent_entries();
    void forget_attempts_of(std::string const& route, Core::MonotonicTime now);
    void repeat_unsettled();
    [[nodiscard]] bool is_in_session(std::string const& route, std::uint64_t session) const;
    void keep_house();

    void refuse(std::string const& route, Policy::AttemptKey const&, Protocol::Message::RefusalReason,
        Core::Milliseconds retry_after);
    /// Ends a waiting attempt that has left the queue without a start.
    void end_unstarted(Policy::AttemptKey const&, Protocol::Message::RefusalReason, Core::Milliseconds retry_after);
    /// Ends a suspended attempt that nobody wants any more.
    void end_cancelled(Attempt&);
    void settle_ticket(Attempt const&, bool is_whole);
    void record_spans(Attempt const&, bool has_failed);
    [[nodiscard]] bool are_entries_confirmed(Core::MonotonicTime now);
    void send_command(EngineCommand);
    void send_pong(std::string const& route);
    void fill_load(Protocol::Message::LoadReport&) const;
    [[nodiscard]] Core::Milliseconds uptime() const;
    void publish_status();

    SideSettings m_settings;
    Core::Incarnation m_incarnation;
    Core::MonotonicTime m_started;
    EntryLinks m_links;
    Core::WakeEvent m_wake;
    EngineClient m_engine;
    BackendQueue m_queue;
    TicketBook m_tickets;
    Tombstones m_tombstones;
    Policy::ServicePredictor m_predictor;
    absl::node_hash_map<Policy::AttemptKey, Attempt> m_attempts;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, Protocol::Message::PolicyRow> m_rows;
    std::uint64_t m_sessions {0};
    std::uint32_t m_challenge {1};
    std::optional<Core::MonotonicTime> m_challenged_at;
    Core::MonotonicTime m_loop_time;
    Core::MonotonicTime m_last_housekeeping;
    Core::MonotonicTime m_last_repeat;
    bool m_is_draining {false};

    Observe::MetricRegistry& m_metrics;
    Observe::Counter& m_tokens;
    Observe::DecisionRing& m_decisions;
    Observe::SpanExporter* m_spans;

    std::atomic<bool> m_wants_drain {false};
    std::atomic<bool> m_is_drained {false};
    std::atomic<bool> m_should_stop {false};
    mutable std::mutex m_status_mutex;
    std::string m_status;
    std::thread m_thread;
};

}
