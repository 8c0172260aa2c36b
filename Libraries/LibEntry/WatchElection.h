#pragma once

#include <LibCore/AbsenceWatch.h>
#include <LibCore/Time.h>
#include <LibEntry/SpreadVersions.h>

#include <array>
#include <cstddef>
#include <optional>

namespace GraniteField::Entry {

/// What gateways tell each other of the platform's store.
struct StoreWord {
    /// When an elected gateway with a sound watch spoke last, as far as is known.
    std::optional<Core::MonotonicTime> elected;
    /// The same for any gateway with a sound watch.
    std::optional<Core::MonotonicTime> any;
    /// The newest that are known to be somewhere.
    SpreadVersions versions;

    /// Takes over what the other word knows better.
    void merge(StoreWord const& other);
};

/// What a gateway knows of how current it is.
struct StoreKnowledge {
    /// The newest that are known to be somewhere, here included.
    SpreadVersions versions;
    /// Since when the table is known to be somewhere.
    std::optional<Core::MonotonicTime> table_known_since;
    /// When somebody with a sound watch spoke last, this gateway included.
    std::optional<Core::MonotonicTime> heard;
};

/// Says whether this gateway is to watch the platform's store. Few do, since each call has its price and the store's
/// rate does not grow with the fleet: those elected by rank in each failure domain. The others rest on two signs, which
/// come with each datagram about load: that somebody's watch is sound, and that nobody has anything newer than they
/// have. Where a sign is missing for too long, a gateway asks the store itself, whatever the reason is: dead, hung or
/// parted watchers, or connections between gateways that have fallen silent. No I/O and no clock.
class WatchElection {
public:
    /// What is watched, each by a call of its own.
    enum class Watch : std::size_t {
        Table,
        Servers,
        /// Only where the operators can drain failure domains.
        Drains,
    };
    static constexpr std::size_t s_watch_count = 3;

    /// Why this gateway watches.
    enum class DutyReason {
        None,
        Elected,
        /// Nobody's sound watch was heard of.
        Silence,
        /// Something newer is known to be somewhere and has not come.
        Behind,
    };

    enum class DrainsWatch {
        No,
        Yes,
    };

    struct Settings {
        /// So long nobody's sound watch is heard of before this gateway asks the store itself.
        Core::Milliseconds patience {1'000};
        /// A version that somebody has and that has not come is asked of the store after this long. Peers hand it on
        /// within some 100 ms; a large one within some 500 ms. Where all gateways asked the store at the same moment,
        /// each would decode the whole configuration on the processor that is to take a peer's word.
        Core::Milliseconds behind_limit {700};
        /// After a call that failed, one that knows that it is behind tries again after this long, and each time after
        /// twice as long, up to the patience: the store is there for somebody.
        Core::Milliseconds shortest_retry {100};
        /// Whether drains are watched.
        DrainsWatch drains {DrainsWatch::No};
    };

    /// A gateway that has stepped in goes on for at least this long, so that it does not come and go.
    static constexpr Core::Milliseconds s_shortest_duty {1'000};
    /// An elected watcher that was heard of this recently is there again.
    static constexpr Core::Milliseconds s_fresh {400};
    /// After an absence others' words are waited for so long, whatever silence there was before it: they come within
    /// three intervals of the exchange of loads.
    static constexpr Core::Milliseconds s_shortest_hearing {400};

    WatchElection(Settings settings, Core::MonotonicTime begun)
        : m_settings(settings)
        , m_silent_since(begun)
        , m_absence(begun)
    {
    }

    void set_elected(bool value);

    /// This process runs, as it does each 50 to 100 ms. Where it did not for longer, others' silence meanwhile was its
    /// own, and does not count: with a host's processes stopped together, all of them stepped in when they went on.
    void note_turn(Core::MonotonicTime now);
    /// What others told.
    void note_word(StoreWord const&, Core::MonotonicTime now);
    /// What this gateway has.
    void note_versions(SpreadVersions const&, Core::MonotonicTime now);

    /// A call is made that has an answer by `overdue_at`, or none.
    void note_call(Watch, Core::MonotonicTime overdue_at);
    void note_answer(Watch);
    void note_failure(Watch, Core::MonotonicTime now);

    /// Whether this gateway's own watches are answered.
    [[nodiscard]] bool is_sound(Core::MonotonicTime now) const;
    [[nodiscard]] StoreKnowledge knowledge(Core::MonotonicTime now) const;
    /// Whether something newer is known to be somewhere.
    [[nodiscard]] bool is_behind() const { return m_behind_since.has_value(); }
    /// What to tell others.
    [[nodiscard]] StoreWord word(Core::MonotonicTime now) const;

    /// Whether to ask the store now.
    [[nodiscard]] bool is_on_duty(Core::MonotonicTime now);
    [[nodiscard]] DutyReason duty_reason() const;
    /// How long nobody's sound watch was heard of.
    [[nodiscard]] Core::Milliseconds silence(Core::MonotonicTime now) const
    {
        return Core::elapsed(silent_since(), now);
    }
    /// Whether nobody's sound watch was heard of for the patience: the store itself may be away.
    [[nodiscard]] bool is_store_in_doubt(Core::MonotonicTime now) const;
    /// When is_on_duty() may say otherwise without anything having been noted.
    [[nodiscard]] Core::MonotonicTime next_look(Core::MonotonicTime now) const;

private:
    struct Contact {
        bool is_answered {false};
        Core::MonotonicTime overdue_at;
    };

    [[nodiscard]] bool is_watched(Watch) const;
    /// Since when nobody's sound watch was heard of, as if this process had not been away meanwhile.
    [[nodiscard]] Core::MonotonicTime silent_since() const;
    [[nodiscard]] Core::MonotonicTime doubt_begins() const;
    [[nodiscard]] std::optional<Core::MonotonicTime> behind_ends() const;
    /// Watches nothing yet: a call of an earlier duty says nothing of this one.
    void begin_duty() { m_contacts = {}; }

    Settings m_settings;
    bool m_is_elected {false};
    /// The same before the first word, and after an absence before the next one.
    Core::MonotonicTime m_silent_since;
    /// Until when others' words are waited for after an absence.
    Core::MonotonicTime m_hears_until;
    StoreWord m_heard;
    Core::AbsenceWatch m_absence;
    std::optional<Core::MonotonicTime> m_table_known_since;
    /// What this gateway has.
    SpreadVersions m_own;
    /// Since when somebody has something newer; and what that is.
    std::optional<Core::MonotonicTime> m_behind_since;
    SpreadVersions m_wanted;
    std::array<Contact, s_watch_count> m_contacts;
    /// Since when this gateway stands in for the elected ones.
    std::optional<Core::MonotonicTime> m_stepped_in;
    DutyReason m_stepped_in_for {DutyReason::None};
    /// After a call that failed, one who is not elected waits.
    Core::MonotonicTime m_next_try;
    Core::Milliseconds m_next_retry {m_settings.shortest_retry};
};

[[nodiscard]] char const* to_string(WatchElection::DutyReason);

}
