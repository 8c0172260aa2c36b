#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <atomic>
#include <concepts>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>

namespace GraniteField::Cluster {

/// Something that is done step by step, each of which says when to look again.
template <typename Candidate>
concept DutySteps = requires(Candidate duty, bool is_watching)
{
    duty.set_watching(is_watching);
    {
        duty.step()
        } -> std::same_as<Core::Milliseconds>;
    duty.release();
};

/// The thread on which a gateway takes part in a duty; its calls wait for their answers.
template <DutySteps Duty>
class DutyThread {
public:
    /// Two steps follow each other no sooner, whatever they say.
    static constexpr Core::Milliseconds s_min_pause {5};

    DutyThread(Duty& duty, std::function<bool()> is_watching)
        : m_duty(duty)
        , m_is_watching(std::move(is_watching))
        , m_thread([this] { run(); })
    {
    }

    ~DutyThread() { stop(); }
    DutyThread(DutyThread const&) = delete;
    DutyThread& operator=(DutyThread const&) = delete;

    /// Ends the duty here: the call in hand is finished, then it is given up. May be called again.
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
            m_duty.set_watching(m_is_watching());
            auto const pause = std::max(s_min_pause, m_duty.step());
            std::unique_lock lock(m_mutex);
            m_signal.wait_for(lock, pause, [this] { return m_is_stopped.load(); });
        }
        m_duty.release();
    }

    Duty& m_duty;
    std::function<bool()> m_is_watching;
    std::mutex m_mutex;
    std::condition_variable m_signal;
    std::atomic<bool> m_is_stopped {false};
    std::thread m_thread;
};

}
