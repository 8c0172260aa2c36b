#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Testing {

/// The promise to backend servers that state that they leave: no request reaches one from a gateway that its caller
/// sent later than the bound after that gateway had passed on an answer that says so. Neither the store's state nor a
/// cut excuses a gateway; a restart or a freeze since then does. Any thread.
class LeavingJudge {
public:
    explicit LeavingJudge(Core::Milliseconds bound = Core::Milliseconds(2'000))
        : m_bound(bound)
    {
    }

    /// A caller got an answer of the server from that gateway that states that it leaves.
    void note_passed_on(std::string const& server, std::string const& gateway, Core::MonotonicTime now);
    /// A caller sends the request.
    void note_sent(std::string const& request, Core::MonotonicTime now);
    void note_arrival(std::string const& server, std::string const& gateway, std::string const& request);
    /// The gateway was frozen until now, or has been restarted.
    void note_excuse(std::string const& gateway, Core::MonotonicTime now);

    /// Each request that came too late in a sentence.
    [[nodiscard]] std::vector<std::string> findings() const;
    /// Servers that some gateway had to leave alone, so that a test can tell a kept promise from an idle one.
    [[nodiscard]] std::size_t left_alone() const;

private:
    struct Arrival {
        std::string server;
        std::string gateway;
        std::string request;
    };
    /// By server and gateway.
    using Key = std::pair<std::string, std::string>;

    /// When the gateway was last told before that time, if nothing has excused it since.
    [[nodiscard]] std::optional<Core::MonotonicTime> bound_since(Arrival const&, Core::MonotonicTime sent) const;

    Core::Milliseconds m_bound;
    mutable std::mutex m_mutex;
    std::map<Key, std::vector<Core::MonotonicTime>> m_passed_on;
    std::map<std::string, Core::MonotonicTime> m_sent;
    std::map<std::string, std::vector<Core::MonotonicTime>> m_excuses;
    std::vector<Arrival> m_arrivals;
};

}
