#pragma once

#include <LibCore/Address.h>
#include <LibCore/Time.h>
#include <LibHTTP/HttpServer.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace GraniteField::StandIns {

/// The platform's object API and host list for tests and the demo: objects with versions, conditional
/// updates and watches. Each call is counted, a waiting watch as one.
///
/// `GET|PUT|DELETE /objects/<name>` with ETag, If-Match and If-None-Match; `GET /objects/<name>?wait-ms=N`
/// with If-None-Match waits for another version. `GET /hosts`. `POST /control` sets `outage`, `slow-ms`,
/// `lose-answers` (so many writes take effect and get no answer), `writes-per-second`, `reads-per-second`
/// (0 for no limit), and `hosts`, which shows after `host-lag-ms`. `GET /control/counts`.
class PlatformServer {
public:
    explicit PlatformServer(Core::Address const&);
    ~PlatformServer();

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

private:
    struct Object {
        std::uint64_t version {0};
        std::string value;
    };

    struct Switches {
        bool is_down {false};
        Core::Milliseconds slowness {0};
        unsigned answers_to_lose {0};
        unsigned writes_per_second {0};
        unsigned reads_per_second {0};
    };

    [[nodiscard]] HTTP::ServerResponse handle(HTTP::ServerRequest const&);
    [[nodiscard]] HTTP::ServerResponse control(HTTP::ServerRequest const&);
    [[nodiscard]] HTTP::ServerResponse read(HTTP::ServerRequest const&, std::string const& name);
    [[nodiscard]] HTTP::ServerResponse write(HTTP::ServerRequest const&, std::string const& name);
    [[nodiscard]] HTTP::ServerResponse hosts();
    [[nodiscard]] bool is_over(std::deque<Core::MonotonicTime>& calls, unsigned limit);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Object> m_objects;
    std::uint64_t m_next_version {1};
    Switches m_switches;
    std::string m_hosts {"[]"};
    std::uint64_t m_hosts_version {1};
    std::deque<std::pair<Core::MonotonicTime, std::string>> m_coming_hosts;
    std::deque<Core::MonotonicTime> m_recent_reads;
    std::deque<Core::MonotonicTime> m_recent_writes;
    std::map<std::string, std::uint64_t> m_counts;
    bool m_should_stop {false};
    HTTP::HttpServer m_server;
};

}
