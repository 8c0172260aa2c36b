#pragma once

#include <LibCore/Time.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include <sys/types.h>

namespace GraniteField::Testing {

/// Holds processes to a share of a core as a quota does: full speed until it is spent, then nothing for the rest of a
/// tenth of a second. It stops and continues them, and leaves their priority as it is.
class ProcessorShares {
public:
    /// The time over which a share is counted.
    static constexpr Core::Milliseconds s_period {100};
    /// How often it looks: by so much a process may exceed its quota.
    static constexpr Core::Milliseconds s_look {4};

    ProcessorShares();
    ~ProcessorShares();
    ProcessorShares(ProcessorShares const&) = delete;
    ProcessorShares& operator=(ProcessorShares const&) = delete;

    /// From now on the process gets this share of a core; one of 0 gets all that it wants.
    void set(pid_t, double share);
    /// Leaves the process alone: it has ended, or somebody else stops it.
    void forget(pid_t);

private:
    struct Quota {
        double share {0};
        Core::Microseconds at_begin {0};
        bool is_stopped {false};
    };

    void run();
    void begin_period();
    void stop_who_has_spent();

    std::mutex m_mutex;
    std::map<pid_t, Quota> m_quotas;
    std::atomic<bool> m_should_stop {false};
    std::thread m_thread;
};

}
