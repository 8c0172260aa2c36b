#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Side {

/// The name of one use of a service that must run at most once. An entry hands it out; it is bound to one
/// run of one side process, the only place where it can ever run. docs/design/at-most-once.md says why.
struct Ticket {
    Core::Incarnation side;
    /// Uptime of that side process when the ticket was issued.
    Core::Milliseconds issued {0};
    std::uint64_t random {0};
    std::string backend_server;

    [[nodiscard]] std::string to_string() const;
    [[nodiscard]] static std::optional<Ticket> from_string(std::string_view);
    [[nodiscard]] static bool looks_like_ticket(std::string_view);
};

/// What is kept of the answer to a ticket's use, to be given again.
struct KeptAnswer {
    int status {200};
    std::string content_type;
    std::string payload;
};

/// The side process's memory of tickets. Each ticket runs at most once: it is noted before it runs, and a
/// ticket is only taken while the note of an earlier use would still be here.
class TicketBook {
public:
    struct Limits {
        /// How long after its issue a ticket can be used.
        Core::Milliseconds hold {600'000};
        std::size_t largest_count {100'000};
        /// Answers above this size are not kept.
        std::size_t largest_answer_bytes {16'384};
        /// All kept answers together; the oldest give way.
        std::size_t largest_total_bytes {16U << 20U};
    };

    enum class Verdict {
        /// Never used; it is reserved now.
        Reserved,
        /// Its use waits or runs.
        Running,
        /// It ran.
        Used,
        Expired,
        OtherIncarnation,
        Malformed,
        MemoryFull,
    };

    TicketBook(Core::Incarnation own, Limits limits)
        : m_own(own)
        , m_limits(limits)
    {
    }

    /// `uptime` is this process's own. Tickets of different workspaces never meet.
    [[nodiscard]] Verdict reserve(std::string const& workspace, std::string const& ticket, Core::Milliseconds uptime);
    /// The use was refused or revoked before it began: the ticket can be used again.
    void release(std::string const& workspace, std::string const& ticket);
    /// The use ended; the answer is missing when it failed.
    void finish(std::string const& workspace, std::string const& ticket, std::optional<KeptAnswer>);
    [[nodiscard]] std::optional<KeptAnswer> answer(std::string const& workspace, std::string const& ticket) const;

    [[nodiscard]] std::size_t count() const { return m_uses.size(); }

private:
    enum class State {
        Open,
        Ended,
    };

    struct Use {
        State state {State::Open};
        Core::Milliseconds expires {0};
        std::optional<KeptAnswer> answer;
    };

    static std::string key_of(std::string const& workspace, std::string const& ticket)
    {
        return workspace + "/" + ticket;
    }
    void forget_expired(Core::Milliseconds uptime);
    void drop_oldest_answers();

    Core::Incarnation m_own;
    Limits m_limits;
    absl::flat_hash_map<std::string, Use> m_uses;
    std::multimap<Core::Milliseconds, std::string> m_by_expiry;
    std::deque<std::string> m_answers;
    std::size_t m_answer_bytes {0};
};

}
