#pragma once

#include <LibCore/Time.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace GraniteField::StandIns {

/// One answer that is being generated.
struct Sequence {
    std::string request;
    std::string attempt;
    std::string tag;
    unsigned tier {6};
    std::uint32_t wanted {0};
    std::size_t prompt_tokens {0};
    std::uint64_t prefix {0};
    /// It goes on behind so many tokens of an execution that was cancelled before.
    std::uint32_t resumed_after {0};

    std::uint32_t generated {0};
    std::uint32_t taken {0};
    bool is_cancelled {false};
    bool is_broken {false};
};

/// How an execution stands, for the log that tests take as their witness.
struct Execution {
    std::string request;
    std::string attempt;
    std::string tag;
    std::uint32_t generated {0};
    std::string end;
};

/// Generates answers as a continuously batching engine does: all admitted sequences advance by one token a
/// step, a step takes longer the more there are, a new sequence pays for its prompt unless its prefix is in
/// the cache, and the highest tier is admitted first.
class BatchEngine {
public:
    struct Settings {
        unsigned slots {8};
        Core::Microseconds step {2'000};
        Core::Microseconds step_per_sequence {100};
        Core::Microseconds prefill_per_token {20};
        std::size_t cached_prefixes {64};
        Core::Milliseconds load_report_lag {500};
    };

    struct Switches {
        double slowness {1};
        bool is_frozen {false};
        /// Break off every answer after so many tokens; 0 for never.
        std::uint32_t break_after {0};
    };

    struct Load {
        std::size_t running {0};
        std::size_t waiting {0};
        std::uint64_t generated_tokens {0};
        std::uint64_t wasted_tokens {0};
        std::uint64_t prefix_hits {0};
        std::uint64_t prefix_misses {0};
    };

    explicit BatchEngine(Settings);
    ~BatchEngine();
    BatchEngine(BatchEngine const&) = delete;
    BatchEngine& operator=(BatchEngine const&) = delete;

    [[nodiscard]] std::shared_ptr<Sequence> submit(Sequence);
    /// Waits for tokens that were not taken yet and takes them; 0 when the sequence has ended.
    [[nodiscard]] std::uint32_t take(Sequence&);
    void cancel(Sequence&);
    [[nodiscard]] bool is_broken(Sequence const&);

    void set_switches(Switches);
    [[nodiscard]] Load load() const;
    /// The load as it was some time ago.
    [[nodiscard]] Load reported_load() const;
    [[nodiscard]] std::vector<Execution> executions() const;

private:
    using SequencePointer = std::shared_ptr<Sequence>;

    void run();
    [[nodiscard]] Core::Microseconds admit();
    [[nodiscard]] bool touch_prefix(std::uint64_t);
    void advance();
    void close(Sequence&, std::string end);
    void continue_execution(Sequence&);
    /// Tokens of a closed sequence that its continuation stands on.
    [[nodiscard]] std::uint32_t resumed_part(Sequence const&) const;
    [[nodiscard]] Load load_now() const;

    Settings m_settings;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Switches m_switches;
    std::list<SequencePointer> m_running;
    std::list<SequencePointer> m_waiting;
    std::list<std::uint64_t> m_prefixes;
    std::vector<Execution> m_executions;
    Load m_counts;
    std::deque<std::pair<Core::MonotonicTime, Load>> m_reports;
    bool m_should_stop {false};
    std::thread m_thread;
};

}
