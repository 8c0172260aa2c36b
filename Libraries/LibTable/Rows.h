#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <string>

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
    /// SHA-256 of the bearer key in hexadecimal digits. The key itself is kept nowhere.
    std::string key_hash;
    /// Share among the workspaces of one tier.
    unsigned weight {1};
    /// Requests a second over the whole fleet; 0 sets no limit.
    unsigned requests_per_second {0};
    /// Generated tokens a second over the whole fleet; 0 sets no limit.
    unsigned tokens_per_second {0};
    /// Requests that may be open at once at one entry; 0 sets no limit.
    unsigned concurrency {0};

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

}
