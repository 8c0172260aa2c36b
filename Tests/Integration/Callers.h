#pragma once

#include "Fleet.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace GraniteField::Testing {

/// One call that a background caller made, and what it got.
struct CallRecord {
    std::string tag;
    unsigned tokens {0};
    CallerAnswer answer;
};

/// Callers on threads of their own that call one after the other until they are stopped. The random
/// numbers of each come from a fixed seed.
class Callers {
public:
    /// Makes one call; `number` counts the calls of one caller, `caller` names it.
    using Call = std::function<CallRecord(unsigned caller, unsigned number)>;

    Callers(unsigned count, Call call)
    {
        for (unsigned caller = 0; caller < count; ++caller)
            m_threads.emplace_back([this, caller, call] { run(caller, call); });
    }

    ~Callers() { stop(); }
    Callers(Callers const&) = delete;
    Callers& operator=(Callers const&) = delete;

    /// Lets every caller finish its call, and gives all records.
    std::vector<CallRecord> const& stop()
    {
        m_should_stop = true;
        for (auto& thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
        return m_records;
    }

    /// Calls that were answered whole.
    [[nodiscard]] std::size_t done_count()
    {
        std::lock_guard const lock(m_mutex);
        return m_done_count;
    }

private:
    void run(unsigned caller, Call const& call)
    {
        for (unsigned number = 0; !m_should_stop; ++number) {
            auto record = call(caller, number);
            bool const is_done = record.answer.outcome() == "done";
            {
                std::lock_guard const lock(m_mutex);
                m_records.push_back(std::move(record));
                m_done_count += is_done ? 1 : 0;
            }
            if (!is_done)
                std::this_thread::sleep_for(s_pause_after_failure);
        }
    }

    /// A caller that was refused does not ask again at once.
    static constexpr Core::Milliseconds s_pause_after_failure {10};

    std::mutex m_mutex;
    std::vector<CallRecord> m_records;
    std::size_t m_done_count {0};
    std::atomic<bool> m_should_stop {false};
    std::vector<std::thread> m_threads;
};

}
