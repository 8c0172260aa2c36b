#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace GraniteField::Testing {

/// The promises about requests that are sent more than once, judged from what callers sent and what backend servers
/// received. In any window, the arrivals of a service beyond the first of each request stay within the fleet's
/// allowance; no request runs at more servers than its route allows; and no server is given more time than the caller
/// has left. Any thread.
class RepeatedSendJudge {
public:
    struct Bounds {
        double ratio {0.2};
        double slack {50};
        Core::Milliseconds window {10'000};
    };

    /// A request as its caller sent it.
    struct Request {
        std::string id;
        std::string service;
        Core::MonotonicTime sent;
        /// Time that the caller waits for the answer.
        Core::Milliseconds timeout {0};
        /// Number of servers at which it may run.
        std::size_t max_servers {1};
    };

    /// A request as a backend server read it.
    struct Arrival {
        std::string request;
        Core::MonotonicTime time;
        /// Time that the gateway gave the server; nullopt if it gave none.
        std::optional<Core::Milliseconds> remaining;
        /// Whether the promises with a time hold for the gateway that sent it.
        bool is_in_touch {true};
    };

    /// Largest share of the allowance that was used in any window, so that a test can tell a kept promise from an idle
    /// one.
    struct Peak {
        std::size_t repeats {0};
        double allowed {0};
        [[nodiscard]] double share() const { return allowed > 0 ? static_cast<double>(repeats) / allowed : 0; }
    };

    explicit RepeatedSendJudge(Bounds bounds)
        : m_bounds(bounds)
    {
    }

    void note_request(Request const&);
    void note_arrival(Arrival const&);
    /// The run of a server began to work on the request.
    void note_begun(std::string const& request, std::string const& run);
    /// The run of a server ended or was cut off, so that requests may run elsewhere in its place.
    void note_run_ended(std::string const& run);

    [[nodiscard]] std::vector<std::string> findings() const;
    [[nodiscard]] std::map<std::string, Peak> peaks() const;
    [[nodiscard]] std::size_t late_repeats() const;

    /// Number of requests at too many servers, and of requests with too much time, that are allowed.
    static constexpr std::size_t s_max_spread_requests = 3;
    static constexpr std::size_t s_max_overlong = 20;
    static constexpr Core::Milliseconds s_time_tolerance {500};

private:
    struct Sent {
        Request request;
        std::size_t arrivals {0};
        Core::MonotonicTime first_arrival;
        /// End of the time that the first server was given.
        Core::MonotonicTime first_end;
        std::set<std::string> runs;
    };
    struct Service {
        std::deque<Core::MonotonicTime> requests;
        std::deque<Core::MonotonicTime> repeats;
        Peak peak;
        std::optional<Core::MonotonicTime> reported;
    };

    void judge_time(Sent const&, Arrival const&);
    void judge_window(std::string const& name, Service&, Core::MonotonicTime now);
    [[nodiscard]] double allowed(Service const&, Core::MonotonicTime now) const;

    Bounds m_bounds;
    mutable std::mutex m_mutex;
    std::map<std::string, Sent> m_sent;
    std::map<std::string, Service> m_services;
    std::set<std::string> m_ended_runs;
    std::size_t m_late_repeats {0};
    std::size_t m_overlong {0};
    std::vector<std::string> m_findings;
};

}
