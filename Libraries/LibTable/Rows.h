#pragma once

#include <LibCore/Time.h>
#include <LibTable/KeyHash.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace GraniteField::Table {

inline constexpr unsigned s_highest_tier = 1;
inline constexpr unsigned s_lowest_tier = 6;

/// What happens to a request whose latency target can't be met any more.
enum class LatePolicy {
    /// It runs late. Right where a late answer is still worth having.
    Run,
    /// It is refused at once. Right where a late answer is wasted work.
    Refuse,
};

/// A row of the sheet `classes`: what one kind of request is promised.
struct RequestClass {
    std::string name;
    /// 1 is served first, 6 last.
    unsigned tier {s_lowest_tier};
    Core::Milliseconds first_token_target {1000};
    Core::Milliseconds token_gap_target {100};
    /// Share among the classes of one tier.
    unsigned weight {1};
    /// Percent of a backend server's slots that the class is given while it waits, whatever waits above it.
    unsigned floor_percent {0};
    /// Waiting requests of the class at one backend server; 0 sets no limit of its own.
    unsigned queue_limit {0};
    /// A request is given up on when it has not begun after this long.
    Core::Milliseconds give_up_after {30'000};
    LatePolicy late {LatePolicy::Run};

    bool operator==(RequestClass const&) const = default;
};

/// A row of the sheet `workspaces`: one customer.
struct Workspace {
    std::string name;
    /// The keys themselves are kept nowhere.
    std::vector<KeyHash> key_hashes;
    /// Takes the place of the class's tier; 0 leaves it.
    unsigned tier {0};
    /// Share among the workspaces of one tier.
    unsigned weight {1};
    /// Requests a second over the whole fleet; 0 sets no limit.
    unsigned requests_per_second {0};
    /// Generated tokens a second over the whole fleet; 0 sets no limit.
    unsigned tokens_per_second {0};
    /// Requests that may be open at once at one entry; 0 sets no limit.
    unsigned concurrency {0};
    /// Regions in which its requests may be served; anywhere when empty.
    std::vector<std::string> regions;
    /// What could not be read of the row in a version that holds all the same; empty where all of it could. Its
    /// requests are rejected, since what they are allowed is not known.
    std::string unreadable {};

    bool operator==(Workspace const&) const = default;
};

enum class ServiceKind {
    /// Model engines behind `/v1/chat/completions`.
    Model,
    /// A plain service behind `/services/<name>/`.
    Plain,
};

/// A row of the sheet `services`: one set of backend servers that can stand in for each other.
struct Service {
    std::string name;
    ServiceKind kind {ServiceKind::Plain};
    /// The model name that callers ask for; empty for a plain service.
    std::string model;
    /// Tokens that the memory of one of its engines holds; 0 where it is not known.
    unsigned memory_tokens {0};
    /// How long one of its servers is cold after a start.
    Core::Milliseconds cold_time {0};
    /// Requests a minute that a cold one bears, from all gateways together; 0 for any number.
    unsigned cold_rate {0};

    bool operator==(Service const&) const = default;
};

enum class BackendServerState {
    Serving,
    /// It finishes what it runs and receives nothing new.
    Leaving,
};

/// A row of the sheet `backend-servers`: one backend server and the side process in front of it.
struct BackendServer {
    std::string name;
    std::string service;
    /// `address:port` of the side process, by IP number.
    std::string side_address;
    std::string failure_domain;
    BackendServerState state {BackendServerState::Serving};

    bool operator==(BackendServer const&) const = default;
};

/// Whether a request may be run again after it may have run.
enum class Repetition {
    /// At most one run for each request that a caller sends.
    Never,
    /// Running it again does no harm.
    Allowed,
};

enum class AnswerKind {
    /// One body.
    Whole,
    /// A series of events, handed on as they come.
    EventStream,
};

/// Whether a stream that broke off may go on at another backend server behind its last event.
enum class Continuation {
    No,
    Yes,
};

/// Whether callers must show a workspace's key.
enum class KeyNeed {
    Required,
    Open,
};

/// A service that a route leads to, and its share of the route's requests.
struct RouteTarget {
    std::string service;
    unsigned weight {1};

    bool operator==(RouteTarget const&) const = default;
};

/// A row of the sheet `routes`: where a gateway sends the requests to a host name and a path.
struct Route {
    std::string name;
    /// The `Host` header without its port, in lower case.
    std::string host;
    /// Begins the path; it starts and ends with a slash.
    std::string path_prefix {"/"};
    std::string request_class;
    std::vector<RouteTarget> targets;
    Repetition repetition {Repetition::Never};
    AnswerKind answer {AnswerKind::Whole};
    Continuation continuation {Continuation::No};
    KeyNeed key {KeyNeed::Required};
    /// Backend servers that one request may be sent to.
    unsigned tries {1};
    /// A request has its final answer after this long.
    Core::Milliseconds time_limit {30'000};
    /// Regions in which its requests may be served; anywhere when empty.
    std::vector<std::string> regions;
    /// As in Workspace.
    std::string unreadable {};

    bool operator==(Route const&) const = default;
};

/// A row of the sheet `limits`: how long callers may take and how much they may send. The row `callers` holds for all;
/// without it the defaults do.
struct CallerLimits {
    std::string name;
    unsigned head_bytes {16'384};
    unsigned body_bytes {4U << 20U};
    /// From the first byte of a request to the end of its head.
    Core::Milliseconds head_time {3'000};
    /// Without a byte, between requests or within a body.
    Core::Milliseconds idle_time {15'000};

    bool operator==(CallerLimits const&) const = default;
};

inline constexpr std::string_view s_callers_row = "callers";

}
