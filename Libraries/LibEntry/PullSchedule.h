#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace GraniteField::Entry {

/// Says when to ask a peer for what it has beyond one's own. Many peers announce the same news, and a whole list may be
/// long: so one pull is under way at a time. And whoever also hears the news from the platform itself leaves that some
/// time, since a pull then only brings the same twice. No I/O.
class PullSchedule {
public:
    /// A pull without an answer for this long is given up; peers answer within a round trip.
    static constexpr Core::Milliseconds s_answer_limit {500};

    /// A peer has something newer. Whether to pull from it now, when the platform's own word is waited for so long.
    [[nodiscard]] bool should_pull(Core::MonotonicTime now, Core::Milliseconds patience);

    /// Whether the patience has ended without news: peers are to be asked again who is ahead. True once.
    [[nodiscard]] bool should_ask(Core::MonotonicTime now, Core::Milliseconds patience);

    /// Something newer has come, from a peer or from the platform.
    void note_news();

private:
    std::optional<Core::MonotonicTime> m_behind_since;
    std::optional<Core::MonotonicTime> m_pulled_at;
    bool m_has_asked {false};
};

}
