#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Testing {

/// The promise to backend servers that reject a request with 503 and Retry-After: between half a second after that and
/// the end of the time, no more than two requests reach the server from the gateway that received the answer. A
/// restart, freeze or cut of the gateway in that time excuses it. Any thread.
class BackoffJudge {
public:
    static constexpr Core::Milliseconds s_notice {500};
    static constexpr std::size_t s_most_arrivals = 2;
    /// Longest time that an answer is on its way.
    static constexpr Core::Milliseconds s_transit {100};

    /// The server has rejected a request of that gateway for so long.
    void note_rejection(
        std::string const& server, std::string const& gateway, Core::Milliseconds retry_after, Core::MonotonicTime now);
    void note_arrival(std::string const& server, std::string const& gateway, Core::MonotonicTime now);
    /// The gateway was frozen, cut off or restarted.
    void note_disturbance(std::string const& gateway, Core::MonotonicTime begin, Core::MonotonicTime end);

    /// No answer of the server reached any gateway then.
    void note_answers_lost(std::string const& server, Core::MonotonicTime begin, Core::MonotonicTime end);

    /// Each broken time in a sentence.
    [[nodiscard]] std::vector<std::string> findings() const;
    /// Rejections that were judged, so that a test can tell a kept promise from an idle one.
    [[nodiscard]] std::size_t counted() const;

private:
    struct Span {
        Core::MonotonicTime begin;
        Core::MonotonicTime end;
    };
    /// By server and gateway.
    using Key = std::pair<std::string, std::string>;

    [[nodiscard]] bool is_excused(Key const&, Span const&) const;
    [[nodiscard]] bool is_answer_lost(std::string const& server, Core::MonotonicTime rejected) const;

    mutable std::mutex m_mutex;
    std::map<Key, std::vector<Span>> m_rejections;
    std::map<Key, std::vector<Core::MonotonicTime>> m_arrivals;
    /// By gateway.
    std::map<std::string, std::vector<Span>> m_disturbances;
    /// By server.
    std::map<std::string, std::vector<Span>> m_lost_answers;
};

}
