#pragma once

#include <LibCore/Address.h>
#include <LibCore/BoundedRing.h>
#include <LibCore/WakeEvent.h>
#include <LibSide/EngineCall.h>

#include <atomic>
#include <deque>
#include <memory>
#include <thread>

#include <absl/container/node_hash_map.h>
#include <curl/curl.h>

namespace GraniteField::Side {

class RunningCall;

/// Talks HTTP to the backend server, on a thread of its own: many answers at once over one libcurl multi
/// handle. Commands and events go over bounded rings.
class EngineClient {
public:
    struct Settings {
        Core::Address engine;
        Core::Milliseconds connect_timeout {1000};
        /// A call on which nothing comes for this long is broken.
        Core::Milliseconds silence_limit {60'000};
        std::size_t ring_capacity {8192};
    };

    /// `wake` is signalled when there are events.
    EngineClient(Settings, Core::WakeEvent& wake);
    ~EngineClient();
    EngineClient(EngineClient const&) = delete;
    EngineClient& operator=(EngineClient const&) = delete;

    /// False when the ring is full; the command is not taken then.
    [[nodiscard]] bool try_send(EngineCommand);
    [[nodiscard]] std::unique_ptr<EngineEvent> next_event() { return m_events.try_pop(); }

private:
    friend class RunningCall;

    void run();
    void handle(EngineCommand&&);
    void start(EngineCall&&);
    void cancel(Policy::AttemptKey const&);
    void set_paused(Policy::AttemptKey const&, bool is_paused);
    void collect_ended();
    void finish(RunningCall&, CURLcode);
    /// False when the ring is full.
    [[nodiscard]] bool emit(EngineEvent&&);
    void emit_end(AnswerEnd&&);
    void flush_ends();

    Settings m_settings;
    Core::WakeEvent& m_wake;
    Core::BoundedRing<EngineCommand> m_commands;
    Core::BoundedRing<EngineEvent> m_events;
    CURLM* m_multi;
    absl::node_hash_map<Policy::AttemptKey, std::unique_ptr<RunningCall>> m_calls;
    /// Ends that did not fit into the ring. There is at most one for each call, so the slots bound it.
    std::deque<AnswerEnd> m_waiting_ends;
    std::atomic<bool> m_should_stop {false};
    std::thread m_thread;
};

}
