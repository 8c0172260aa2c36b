#pragma once

#include <LibCore/Backoff.h>
#include <LibCore/Text.h>
#include <LibCore/Thread.h>
#include <LibCore/Time.h>
#include <LibObserve/EventLog.h>
#include <LibObserve/Metrics.h>
#include <LibObserve/UnexpectedFailures.h>
#include <LibPlatform/ObjectClient.h>

#include <algorithm>
#include <concepts>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace GraniteField::Platform {

struct FollowerSettings {
    Core::Address store;
    /// For the answer to a call; a watch may take its own wait longer.
    Core::Milliseconds call_timeout {800};
    /// How long the store holds a watch without news. A watch may be left hanging while changes are made; only the
    /// missing answer tells.
    Core::Milliseconds watch_wait {2'000};
    /// Upper limit of the wait at present. Called on the follower's thread before each watch.
    std::function<Core::Milliseconds()> longest_wait {[] { return Core::Milliseconds::max(); }};
    /// How late a watch may be answered before it counts as unhealthy. The call goes on until its timeout.
    Core::Milliseconds watch_grace {200};
    /// After news, before the next watch. Objects that change one after the other then come in one answer, and each
    /// call has its price. News are late by this much at most, far below the seconds within which they must be known.
    Core::Milliseconds pause_after_news {500};
    Core::Milliseconds shortest_pause {60};
    Core::Milliseconds longest_pause {500};
    /// The longest pause while the store refuses calls for their number. Half of the time after which the platform
    /// counts on a store that turned a process away, so that the next call still comes in time.
    Core::Milliseconds longest_pause_over_rate {1'500};
    ObjectFilter filter {};
    /// Called on the follower's thread when the store is lost (false) and when it answers again (true).
    std::function<void(bool is_reachable)> on_change {[](bool) {}};
};

/// Takes what a follower learns. Calls come from the follower's thread.
template <typename Candidate>
concept ObjectSink = requires(Candidate sink, ObjectListing const& listing, WatchAnswer const& answer)
{
    sink.take_listing(listing);
    sink.take_events(answer);
    sink.note_unavailable();
    {
        sink.revision_from_peers()
        } -> std::convertible_to<std::optional<StoreRevision>>;
    {
        sink.wanted_wait()
        } -> std::convertible_to<std::optional<Core::Milliseconds>>;
};

/// What a follower is to do with its turn.
enum class FollowerTurn {
    Stop,
    GoOn,
    /// Others have followed the store meanwhile: what they know counts.
    Resume,
    /// The same, and nobody may have reached the store for a while.
    ResumeInDoubt,
};

/// Says when a follower is to ask the store, and is told how that went.
template <typename Candidate>
concept FollowerTurns = requires(Candidate turns, Core::Milliseconds limit)
{
    {
        turns.wait_for_turn()
        } -> std::same_as<FollowerTurn>;
    turns.note_call(limit);
    turns.note_answer();
    turns.note_failure();
    turns.stop();
};

/// Follows all objects of one kind, on a thread of its own: a list, then one watch after the other, and a list again
/// whenever the watch may have missed something. It does so in its turns only.
template <ObjectSink Sink, FollowerTurns Turns>
class ObjectFollower {
public:
    ObjectFollower(FollowerSettings settings, std::string kind, Sink& sink, Turns turns, Observe::EventLog& log,
        Observe::MetricRegistry& metrics)
        : m_settings(std::move(settings))
        , m_kind(std::move(kind))
        , m_sink(sink)
        , m_turns(std::move(turns))
        , m_log(log)
        , m_lists(metrics.counter("granitefield_store_calls_total", {{"call", "list"}, {"kind", m_kind}}))
        , m_watches(metrics.counter("granitefield_store_calls_total", {{"call", "watch"}, {"kind", m_kind}}))
        , m_failures(metrics.counter("granitefield_store_failures_total", {{"kind", m_kind}}))
        , m_unexpected(Core::concat("watch ", m_kind), log, metrics)
        , m_client(m_settings.store, m_settings.call_timeout, m_settings.filter)
        , m_backoff(m_settings.shortest_pause, m_settings.longest_pause)
        , m_thread(Core::start_thread(Core::concat("watch ", m_kind), [this] { run(); }))
    {
    }

    ~ObjectFollower()
    {
        m_turns.stop();
        m_backoff.stop();
        m_client.abort();
        m_thread.join();
    }

    ObjectFollower(ObjectFollower const&) = delete;
    ObjectFollower& operator=(ObjectFollower const&) = delete;

private:
    /// A revision up to which a watch has told all, as it says.
    struct Claim {
        Core::MonotonicTime time;
        StoreRevision revision;
    };

    /// A watch may hear nothing for a second while changes are made, and be answered at the end of its wait with a
    /// revision beyond them. Going on from there hid a change for good, at all watchers at once, since news let their
    /// waits begin together. So a claim counts only when it is four times as old as that, and until then the watch is
    /// asked again from before: it tells what it hid, or that the history is gone. That takes no call more.
    static constexpr Core::Milliseconds s_claim_age {4'000};
    /// The wait of a watch before any answer in this turn. Others watch as well until somebody's watch is known to be
    /// sound, and only an answer shows that.
    static constexpr Core::Milliseconds s_first_watch_wait {50};
    /// Calls in a row that fail until the store is said to be lost. A watch may be left hanging or be cut by a store
    /// that answers the next call, and who says that the store is lost gives its place as a watcher to others, who may
    /// be worse off.
    static constexpr unsigned s_failures_to_lose = 2;

    void run()
    {
        while (true) {
            auto const turn = m_turns.wait_for_turn();
            if (turn == FollowerTurn::Stop)
                return;
            if (turn != FollowerTurn::GoOn)
                resume(turn);
            if (std::exchange(m_has_news, false)) {
                // The turn is asked for on both sides of the pause: who is relieved meanwhile makes no call more.
                m_backoff.wait(m_settings.pause_after_news);
                continue;
            }
            try {
                follow_once();
                m_backoff.reset();
                note_answer();
            } catch (HistoryGone const&) {
                m_log.write(Observe::LogEvent("store-history-gone").add("kind", m_kind));
                must_list();
                m_begun_listing.reset();
                // A store whose history never reaches back to the last list would be asked without a pause.
                if (std::exchange(m_is_history_gone, true))
                    m_backoff.wait(m_settings.pause_after_news);
            } catch (PlatformOverRate const& error) {
                handle_failure(error, m_settings.longest_pause_over_rate);
            } catch (PlatformUnavailable const& error) {
                handle_failure(error, m_settings.longest_pause);
            } catch (std::exception const& error) {
                m_unexpected.note(error);
                handle_failure(PlatformUnavailable(error.what()), m_settings.longest_pause);
            }
        }
    }

    /// Others have followed the store since the last turn.
    void resume(FollowerTurn turn)
    {
        forget_revision();
        m_begun_listing.reset();
        m_must_list = false;
        m_has_news = false;
        m_is_answered = false;
        if (turn == FollowerTurn::ResumeInDoubt)
            m_sink.note_unavailable();
    }

    void forget_revision()
    {
        m_revision.reset();
        m_claims.clear();
    }

    void must_list()
    {
        forget_revision();
        m_must_list = true;
    }

    void believe_old_claims(Core::MonotonicTime now)
    {
        while (!m_claims.empty() && Core::elapsed(m_claims.front().time, now) >= s_claim_age) {
            m_revision = std::max(*m_revision, m_claims.front().revision);
            m_claims.pop_front();
        }
    }

    /// Up to where the answer's own events lead; a removal does not say when it was.
    [[nodiscard]] static StoreRevision proven_by(WatchAnswer const& answer)
    {
        StoreRevision proven;
        for (auto const& event : answer.events) {
            auto const is_dated = event.kind == EventKind::Changed && event.object.version.value() > 0;
            proven = std::max(proven, is_dated ? StoreRevision(event.object.version.value()) : answer.revision);
        }
        return proven;
    }

    void follow_once()
    {
        if (!m_revision && !m_must_list)
            m_revision = m_sink.revision_from_peers();
        if (!m_revision)
            return list_next_page();
        m_begun_listing.reset();
        m_watches.add();
        auto const wait = next_wait();
        m_turns.note_call(wait + m_settings.watch_grace);
        believe_old_claims(Core::monotonic_now());
        auto answer = m_client.watch(m_kind, *m_revision, wait);
        m_revision = std::max(*m_revision, proven_by(answer));
        if (answer.revision > *m_revision)
            m_claims.push_back({Core::monotonic_now(), answer.revision});
        answer.revision = *m_revision;
        m_sink.take_events(answer);
        m_has_news = !answer.events.empty();
        m_is_history_gone = false;
    }

    [[nodiscard]] Core::Milliseconds next_wait() const
    {
        auto const longest = std::min(m_settings.watch_wait, m_settings.longest_wait());
        auto const wait = std::min(m_sink.wanted_wait().value_or(longest), longest);
        return m_is_answered ? wait : std::min(wait, s_first_watch_wait);
    }

    void list_next_page()
    {
        m_lists.add();
        m_turns.note_call(m_settings.call_timeout);
        if (!m_client.list_next_page(m_kind, m_begun_listing))
            return;
        auto const listing = *std::exchange(m_begun_listing, std::nullopt);
        m_revision = listing.revision;
        m_claims.clear();
        m_must_list = false;
        m_sink.take_listing(listing);
    }

    void handle_failure(PlatformUnavailable const& error, Core::Milliseconds longest_pause)
    {
        if (m_backoff.is_stopped())
            return;
        m_failures.add();
        m_turns.note_failure();
        ++m_failures_in_row;
        if (!m_lost_since && m_failures_in_row >= s_failures_to_lose) {
            m_lost_since = Core::monotonic_now();
            m_log.write(Observe::LogEvent("store-lost").add("kind", m_kind).add("reason", error.what()));
            m_settings.on_change(false);
        }
        // A watch can't tell what was missed meanwhile; a list does.
        must_list();
        m_sink.note_unavailable();
        m_backoff.wait_after_failure(longest_pause);
    }

    void note_answer()
    {
        m_turns.note_answer();
        m_is_answered = true;
        m_failures_in_row = 0;
        if (!m_lost_since)
            return;
        m_log.write(Observe::LogEvent("store-regained")
                        .add("kind", m_kind)
                        .add("after_ms", Core::elapsed(*m_lost_since, Core::monotonic_now())));
        m_lost_since.reset();
        m_settings.on_change(true);
    }

    FollowerSettings m_settings;
    std::string m_kind;
    Sink& m_sink;
    Turns m_turns;
    Observe::EventLog& m_log;
    Observe::Counter& m_lists;
    Observe::Counter& m_watches;
    Observe::Counter& m_failures;
    Observe::UnexpectedFailures m_unexpected;
    ObjectClient m_client;
    Core::Backoff m_backoff;
    /// From where the next watch goes on, and what later watches have claimed.
    std::optional<StoreRevision> m_revision;
    std::deque<Claim> m_claims;
    /// The store has answered in this turn.
    bool m_is_answered {false};
    /// The last watch was answered with events.
    bool m_has_news {false};
    /// No watch was answered since the history was last gone.
    bool m_is_history_gone {false};
    unsigned m_failures_in_row {0};
    /// What was missed can't be told by a watch, nor by peers who may have missed it as well.
    bool m_must_list {false};
    /// A list of which some pages have come. When the store refuses the next one it goes on from here: where many
    /// processes begin at once, none would ever get all pages in one go. Where it takes longer than the history lasts,
    /// the watch behind it finds that gone, and all pages are read again.
    std::optional<ObjectListing> m_begun_listing;
    std::optional<Core::MonotonicTime> m_lost_since;
    std::thread m_thread;
};

}
