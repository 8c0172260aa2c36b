#pragma once

#include <LibCore/Identifiers.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace GraniteField::Observe {

/// Why something was done with a request, in one short sentence.
struct Decision {
    Core::RequestId request;
    std::chrono::system_clock::time_point time;
    std::string what;
};

/// The most recent decisions of a process, for `granitefield explain`. The oldest give way when it is full.
class DecisionRing {
public:
    explicit DecisionRing(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    void record(Core::RequestId, std::string what);
    /// The decisions on one request, oldest first.
    [[nodiscard]] std::vector<Decision> about(Core::RequestId) const;
    /// The most recent decisions, oldest first.
    [[nodiscard]] std::vector<Decision> recent(std::size_t count) const;

private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<Decision> m_decisions;
};

}
