#pragma once

#include <LibCore/Text.h>
#include <LibCore/Time.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace GraniteField::Testing {

/// The promise about requests, or parts of prompts, that crash the servers that begin them: from the contact time after
/// the last tolerated crash on, at most a few requests with them reach a server. Any thread.
class CrashSendJudge {
public:
    static constexpr std::size_t s_max_late_arrivals = 3;

    CrashSendJudge(std::size_t tolerated_crashes, Core::Milliseconds contact_time)
        : m_tolerated_crashes(tolerated_crashes)
        , m_contact_time(contact_time)
    {
    }

    void note_crash(std::string const& subject, Core::MonotonicTime now)
    {
        std::lock_guard const lock(m_mutex);
        m_subjects[subject].crashes.push_back(now);
    }

    /// A server read a request with the subject, from a gateway for which the promise holds.
    void note_arrival(std::string const& subject, Core::MonotonicTime now)
    {
        std::lock_guard const lock(m_mutex);
        m_subjects[subject].arrivals.push_back(now);
    }

    [[nodiscard]] std::vector<std::string> findings() const
    {
        std::lock_guard const lock(m_mutex);
        std::vector<std::string> findings;
        for (auto const& [name, subject] : m_subjects) {
            auto const late = count_late(subject);
            if (late > s_max_late_arrivals)
                findings.push_back(Core::concat("BUDGET: ", name, ", under which ", m_tolerated_crashes,
                    " servers had ended, was sent to servers ", late, " times more; ", subject.crashes.size(),
                    " ended in all"));
        }
        return findings;
    }

    /// Subjects that reached the tolerated number of crashes, so that a test can tell a kept promise from an idle one.
    [[nodiscard]] std::size_t judged() const
    {
        std::lock_guard const lock(m_mutex);
        return static_cast<std::size_t>(std::ranges::count_if(
            m_subjects, [this](auto const& item) { return item.second.crashes.size() >= m_tolerated_crashes; }));
    }

private:
    struct Subject {
        std::vector<Core::MonotonicTime> crashes;
        std::vector<Core::MonotonicTime> arrivals;
    };

    [[nodiscard]] std::size_t count_late(Subject const& subject) const
    {
        if (subject.crashes.size() < m_tolerated_crashes)
            return 0;
        auto const begin = subject.crashes[m_tolerated_crashes - 1] + m_contact_time;
        return static_cast<std::size_t>(
            std::ranges::count_if(subject.arrivals, [begin](auto const time) { return time > begin; }));
    }

    std::size_t m_tolerated_crashes;
    Core::Milliseconds m_contact_time;
    mutable std::mutex m_mutex;
    std::map<std::string, Subject> m_subjects;
};

}
