#pragma once

#include <LibCore/Thread.h>
#include <LibCore/Time.h>
#include <LibObserve/UnexpectedFailures.h>

#include <algorithm>
#include <atomic>
#include <concepts>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>

namespace GraniteField::Cluster {

/// A duty that is performed in steps, each of which returns the time until the next step.
template <typename Candidate>
concept DutySteps = requires(Candidate duty, bool is_watching)
{
    duty.set_watching(is_watching);
    {
        duty.step()
        } -> std::same_as<Core::Milliseconds>;
    duty.release();
};

/// Runs a duty on a thread of its own, since its steps make blocking calls.
template <DutySteps Duty>
class DutyThread {
public:
    /// Minimum time between two steps.
    static constexpr Core::Milliseconds s_min_pause {5};

    DutyThread(Duty& duty, std::function<bool()> is_watching, Observe::UnexpectedFailures failures)
        : m_duty(duty)
        , m_is_watching(std::move(is_watching))
        , m_failures(std::move(failures))
        , m_thread(Core::start_thread("duty", [this] { run(); }))
    {
    }

    ~DutyThread() { stop(); }
    DutyThread(DutyThread const&) = delete;
    DutyThread& operator=(DutyThread const&) = delete;

    /// Stops the thread: waits for the current step, then releases the duty. May be called more than once.
    void stop()
    {
        {
            std::lock_guard const lock(m_mutex);
            m_is_stopped = true;
        }
        m_signal.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    void run()
    {
        while (!m_is_stopped) {
            auto const pause = std::max(s_min_pause, step());
            std::unique_lock lock(m_mutex);
            m_signal.wait_for(lock, pause, [this] { return m_is_stopped.load(); });
        }
        try {
            m_duty.release();
        } catch (std::exception const& error) {
            m_failures.note(error);
        }
    }

    [[nodiscard]] Core::Milliseconds step()
    {
        try {
            m_duty.set_watching(m_is_watching());
            return m_duty.step();
        } catch (std::exception const& error) {
            m_failures.note(error);
            return Observe::UnexpectedFailures::s_pause;
        }
    }

    Duty& m_duty;
    std::function<bool()> m_is_watching;
    Observe::UnexpectedFailures m_failures;
    std::mutex m_mutex;
    std::condition_variable m_signal;
    std::atomic<bool> m_is_stopped {false};
    std::thread m_thread;
};

}
