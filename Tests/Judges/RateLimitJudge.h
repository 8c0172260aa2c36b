#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace GraniteField::Testing {

/// The promise to backend servers that state a rate limit: from the contact time after a server first stated it, no
/// four seconds bring it more than one and a half times the rate and five requests, counted over the gateways that had
/// passed on such an answer half a second before or earlier. A gateway that was disturbed is left out until it has been
/// undisturbed for the contact time, and one that was restarted has passed nothing on. Any thread.
class RateLimitJudge {
public:
    static constexpr Core::Milliseconds s_window {4'000};
    static constexpr Core::Milliseconds s_notice {500};

    explicit RateLimitJudge(Core::Milliseconds contact_time = Core::Milliseconds(3'000))
        : m_contact_time(contact_time)
    {
    }

    /// From now on the server's answers state that rate, or none.
    void note_stated(std::string const& server, std::optional<double> rate, Core::MonotonicTime now);
    /// A caller got an answer of the server with its rate limit from that gateway.
    void note_passed_on(std::string const& server, std::string const& gateway, Core::MonotonicTime now);
    void note_arrival(std::string const& server, std::string const& gateway, Core::MonotonicTime now);
    /// The gateway was frozen, cut off or restarted.
    void note_disturbance(std::string const& gateway, Core::MonotonicTime begin, Core::MonotonicTime end);
    void note_restart(std::string const& gateway, Core::MonotonicTime now);

    /// Each broken window in a sentence.
    [[nodiscard]] std::vector<std::string> findings() const;
    /// Arrivals that were counted against a limit, so that a test can tell a kept promise from an idle one.
    [[nodiscard]] std::size_t counted() const;

private:
    struct Statement {
        Core::MonotonicTime time;
        std::optional<double> rate;
    };
    struct Arrival {
        Core::MonotonicTime time;
        std::string gateway;
    };
    struct Span {
        Core::MonotonicTime begin;
        Core::MonotonicTime end;
    };
    struct Server {
        std::vector<Statement> statements;
        std::vector<Arrival> arrivals;
        std::map<std::string, std::vector<Core::MonotonicTime>> passed_on;
    };

    /// A time during which the server states limits without a break.
    struct Term {
        Span span;
        std::vector<Statement> rates;
    };

    [[nodiscard]] static std::vector<Term> terms_of(Server const&);
    /// The highest rate in force within the window.
    [[nodiscard]] static double highest_rate(Term const&, Span const& window);
    [[nodiscard]] std::vector<Core::MonotonicTime> counted_arrivals(Server const&, Term const&) const;
    [[nodiscard]] bool is_bound(Server const&, Term const&, Arrival const&) const;
    [[nodiscard]] bool is_disturbed(Arrival const&) const;

    Core::Milliseconds m_contact_time;
    mutable std::mutex m_mutex;
    std::map<std::string, Server> m_servers;
    std::map<std::string, std::vector<Span>> m_disturbances;
    std::map<std::string, std::vector<Core::MonotonicTime>> m_restarts;
};

}
