#pragma once

#include <LibCore/Address.h>
#include <LibCore/Time.h>
#include <LibHTTP/HttpServer.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace GraniteField::StandIns {

/// The platform's store for tests and the demo, by its published protocol: objects by kind and name with revisions,
/// conditional writes, lists in pages, and watches. Each call is counted, a waiting watch as one.
///
/// `POST /control` sets `outage` (`""`, `busy` = 503, `many` = 429, `reset`, `silent`; true stands for `busy`),
/// `slow-ms`, `lose-answers` (so many writes take effect and get no answer), `late-writes-ms` (those writes are done so
/// much later), `writes-per-second`, `reads-per-second` (0 for no limit), `page-size`, `forget-history` (watches are
/// cut and must list again), `no-history` (the history of each watch is gone), `hold-watches` (watches hear nothing,
/// nor do they end), `deaf-watches` (they hear nothing, and end in time with the store's revision), `puts` (objects by
/// kind, name and spec, put after `lag-ms`; with `spec-text` in place of `spec` the answers hold that text as it is)
/// and `removals`. `GET /control/counts`.
class PlatformServer {
public:
    explicit PlatformServer(Core::Address const&);
    ~PlatformServer();

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

private:
    using Json = nlohmann::json;

    struct Object {
        std::uint64_t revision {0};
        std::uint64_t created {0};
        Json spec;
        /// Stands in answers in place of the spec if it is not empty.
        std::string spec_text {};
    };

    /// A change, for watches.
    struct Change {
        std::uint64_t revision {0};
        std::string kind;
        bool is_removal {false};
        std::string object;
    };

    struct Switches {
        std::string outage;
        Core::Milliseconds slowness {0};
        unsigned answers_to_lose {0};
        Core::Milliseconds late_writes {0};
        unsigned writes_per_second {0};
        unsigned reads_per_second {0};
        std::size_t page_size {500};
        bool holds_watches {false};
        bool has_deaf_watches {false};
        bool has_no_history {false};
    };

    struct Place {
        std::string kind;
        std::string name;
    };

    [[nodiscard]] HTTP::ServerResponse handle(HTTP::ServerRequest const&);
    [[nodiscard]] HTTP::ServerResponse control(HTTP::ServerRequest const&);
    [[nodiscard]] std::optional<HTTP::ServerResponse> refuse(bool is_write);
    [[nodiscard]] HTTP::ServerResponse read(HTTP::ServerRequest const&, Place const&);
    [[nodiscard]] HTTP::ServerResponse list(HTTP::ServerRequest const&, std::string const& kind);
    [[nodiscard]] HTTP::ServerResponse watch(HTTP::ServerRequest const&, std::string const& kind);
    [[nodiscard]] HTTP::ServerResponse write(HTTP::ServerRequest const&, Place const&);
    [[nodiscard]] HTTP::ServerResponse apply(HTTP::ServerRequest const&, Place const&);
    [[nodiscard]] static std::string to_text(std::string const& name, Object const&);
    void put(std::string const& kind, std::string const& name, Json const& spec, std::string const& spec_text = {});
    bool remove(std::string const& kind, std::string const& name);
    void note_change(std::string const& kind, bool is_removal, std::string object);
    /// When work is due next, `latest` if none is due before.
    [[nodiscard]] Core::MonotonicTime next_due_time(Core::MonotonicTime latest) const;
    void do_due_work(Core::MonotonicTime now);
    [[nodiscard]] bool is_over(std::deque<Core::MonotonicTime>& calls, unsigned limit) const;
    [[nodiscard]] static Place place_of(std::string const& path);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::uint64_t m_revision {1};
    std::deque<Change> m_history;
    /// Watches from below this revision have lost history.
    std::uint64_t m_history_begin {0};
    std::uint64_t m_cut_generation {0};
    Switches m_switches;
    /// What is done later: objects that appear with a lag, and late writes.
    std::deque<std::pair<Core::MonotonicTime, std::function<void()>>> m_due;
    std::deque<Core::MonotonicTime> m_recent_reads;
    std::deque<Core::MonotonicTime> m_recent_writes;
    std::map<std::string, std::uint64_t> m_counts;
    bool m_should_stop {false};
    HTTP::HttpServer m_server;
};

}
