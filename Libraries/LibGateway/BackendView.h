#pragma once

#include <LibCore/Hashing.h>
#include <LibCore/Time.h>
#include <LibEntry/SharedServers.h>
#include <LibGateway/PrefixCacheModel.h>
#include <LibPolicy/CrashFacts.h>
#include <LibPolicy/ServerBackoff.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <utility>

namespace GraniteField::Gateway {

/// What is open at a backend server.
struct ServerLoad {
    /// Attempts.
    unsigned open {0};
    /// Prompt tokens that the engine still has to read for them.
    std::uint64_t unread_tokens {0};
    /// Those among them that miss their pause target while the engine reads a long prompt (EngineModel).
    unsigned pause_sensitive {0};

    ServerLoad& operator+=(ServerLoad const& other)
    {
        open += other.open;
        unread_tokens += other.unread_tokens;
        pause_sensitive += other.pause_sensitive;
        return *this;
    }

    ServerLoad& operator-=(ServerLoad const& other)
    {
        open -= other.open;
        unread_tokens -= other.unread_tokens;
        pause_sensitive -= other.pause_sensitive;
        return *this;
    }

    bool operator==(ServerLoad const&) const = default;

    friend ServerLoad operator+(ServerLoad left, ServerLoad const& right) { return left += right; }
};

/// A number that decays to zero with time, for what should be forgotten.
class DecayingValue {
public:
    static constexpr std::chrono::duration<double> s_half_life {2.0};

    [[nodiscard]] double at(Core::MonotonicTime now) const
    {
        std::chrono::duration<double> const age = now - m_time;
        return m_value * std::exp2(-age.count() / s_half_life.count());
    }

    void set(double value, Core::MonotonicTime now)
    {
        m_value = value;
        m_time = now;
    }

private:
    double m_value {0};
    Core::MonotonicTime m_time;
};

/// The mean over the last seconds of something that is looked at now and then.
class DecayingMean {
public:
    static constexpr std::chrono::duration<double> s_half_life {1.5};

    [[nodiscard]] double value() const { return m_value; }

    void note(double value, Core::MonotonicTime now)
    {
        auto const before = std::exchange(m_time, now);
        if (before == Core::MonotonicTime())
            return;
        std::chrono::duration<double> const passed = now - before;
        auto const retained = std::exp2(-passed.count() / s_half_life.count());
        m_value = m_value * retained + value * (1 - retained);
    }

private:
    double m_value {0};
    Core::MonotonicTime m_time;
};

/// What a gateway knows of one life of a backend server: its entry in the list, the gateway's own load on it, and how
/// it has answered of late. On the gateway's thread only.
class BackendView {
public:
    /// `spread`, from 0 to 1, is this gateway's own: how much longer than the shortest time it leaves a server alone.
    explicit BackendView(Entry::ServerEntry record, double spread = 0)
        : m_record(std::move(record))
        , m_id(id_of(m_record))
        , m_spread(spread)
    {
    }

    [[nodiscard]] Entry::ServerEntry const& record() const { return m_record; }
    void set_record(Entry::ServerEntry record) { m_record = std::move(record); }

    /// Whether it is in the newest list and not leaving, neither by the list nor by its own statement.
    [[nodiscard]] bool is_serving() const
    {
        return m_is_listed && !m_states_leaving && m_record.state == Table::BackendServerState::Serving;
    }
    /// An answer stated that the server is leaving. Holds for the rest of the run, even if a later list shows it as
    /// serving.
    void set_states_leaving() { m_states_leaving = true; }

    /// The backoff that the server requested from this gateway.
    [[nodiscard]] Policy::ServerBackoff& backoff() { return m_backoff; }
    [[nodiscard]] Policy::ServerBackoff const& backoff() const { return m_backoff; }

    /// Whether it is serving and its failure domain is not drained.
    [[nodiscard]] bool accepts_new_requests() const { return is_serving() && !m_is_drained; }
    /// Whether the operators drain its failure domain.
    [[nodiscard]] bool is_drained() const { return m_is_drained; }
    void set_drained(bool value) { m_is_drained = value; }

    /// Whether it bears few requests yet, by its own word or by what happened to it.
    [[nodiscard]] bool is_cold(Core::MonotonicTime now) const
    {
        return now < std::max(m_record.cold_until, m_cold_until);
    }
    /// It has begun, or comes back from where nothing was sent to it: it may be cold without having said so yet.
    void expect_cold_until(Core::MonotonicTime time) { m_cold_until = std::max(m_cold_until, time); }

    [[nodiscard]] bool is_listed() const { return m_is_listed; }
    void set_listed() { m_is_listed = true; }
    void set_unlisted(Core::MonotonicTime now)
    {
        m_is_listed = false;
        m_unlisted_since = now;
    }
    /// When it disappeared from the list; meaningless while it is listed.
    [[nodiscard]] Core::MonotonicTime unlisted_since() const { return m_unlisted_since; }

    /// Whether a recent failure says to leave it alone for now.
    [[nodiscard]] bool is_avoided(Core::MonotonicTime now) const { return now < m_avoided_until; }

    /// Since when it is suspected to be dead; nothing while it is not, and where it has answered since.
    [[nodiscard]] std::optional<Core::MonotonicTime> suspected_since() const { return m_suspected_since; }

    /// What this gateway has open there.
    [[nodiscard]] ServerLoad const& own_load() const { return m_own_load; }
    /// The same for all gateways, as far as their reports tell.
    [[nodiscard]] ServerLoad load() const { return m_own_load + m_peer_load; }
    void add_peer_load(ServerLoad const& load) { m_peer_load += load; }
    void remove_peer_load(ServerLoad const& load) { m_peer_load -= load; }
    /// The hash of the instance and of its birth, which stands for this life of it in datagrams.
    [[nodiscard]] std::uint64_t id() const { return m_id; }
    [[nodiscard]] PrefixCacheModel& prefixes() { return m_prefixes; }
    [[nodiscard]] PrefixCacheModel const& prefixes() const { return m_prefixes; }

    /// Its present life, as gateways tell each other of crashes.
    [[nodiscard]] Policy::ServerLife life() const
    {
        return {m_id, Core::hash_bytes(m_record.address.to_string()), Core::hash_bytes(m_record.service)};
    }

    /// An attempt begins; `load` is its part of the server's load until it ends.
    void begin_attempt(ServerLoad const& load) { m_own_load += load; }

    /// The engine has read the attempt's prompt: its first event came.
    void note_read(ServerLoad& load)
    {
        m_own_load.unread_tokens -= load.unread_tokens;
        load.unread_tokens = 0;
    }

    /// The attempt is over; may be called again.
    void end_attempt(ServerLoad& load) { m_own_load -= std::exchange(load, {}); }

    /// Share of the last seconds in which the engine had a long prompt to read, for all that any gateway sent there.
    [[nodiscard]] double prefill_fraction() const { return m_prefill_fraction.value(); }
    /// What it has to read now, as a part of a long reading.
    void note_prefill_load(double fraction, Core::MonotonicTime now)
    {
        m_prefill_fraction.note(std::min(1.0, fraction), now);
    }

    /// Share of recent attempts that failed, weighed towards the newest and forgotten with time.
    [[nodiscard]] double failure_rate(Core::MonotonicTime now) const { return m_failure_rate.at(now); }

    /// It answered well; says whether it was suspected.
    bool note_success(Core::MonotonicTime now)
    {
        m_failure_rate.set(m_failure_rate.at(now) * (1 - s_newest_attempt_weight), now);
        m_consecutive_failures = 0;
        return note_alive();
    }

    /// It answers, this gateway or another one; says whether it was suspected.
    bool note_alive()
    {
        m_suspected_since.reset();
        m_avoided_since = {};
        m_avoided_until = {};
        return std::exchange(m_avoidance_count, 0U) > 0;
    }

    /// This gateway or others found it dead. `gateways` is how many may try it again: their times are spread so that
    /// the first one's finding reaches the others before they try.
    void note_suspected(std::size_t gateways, Core::MonotonicTime now)
    {
        // Many find the same out at once. What is found out later is that it is still dead.
        if (Core::elapsed(m_avoided_since, now) < s_propagation_time)
            return;
        avoid(now, s_spread_per_gateway * static_cast<int>(gateways));
        if (!m_suspected_since)
            m_suspected_since = now;
    }

    /// It answered badly or not at all.
    void note_failure(Core::MonotonicTime now)
    {
        m_failure_rate.set(m_failure_rate.at(now) * (1 - s_newest_attempt_weight) + s_newest_attempt_weight, now);
        if (++m_consecutive_failures >= s_failures_to_avoid)
            avoid(now, {});
    }

    /// It could not be connected to.
    void note_unreachable(std::size_t gateways, Core::MonotonicTime now)
    {
        m_failure_rate.set(m_failure_rate.at(now) * (1 - s_newest_attempt_weight) + s_newest_attempt_weight, now);
        note_suspected(gateways, now);
    }

    [[nodiscard]] std::chrono::duration<double, std::milli> mean_latency() const { return m_mean_latency; }
    void note_latency(std::chrono::duration<double, std::milli> latency)
    {
        m_mean_latency = m_mean_latency.count() == 0 ? latency : m_mean_latency * 0.9 + latency * 0.1;
    }

private:
    static std::uint64_t id_of(Entry::ServerEntry const& record)
    {
        return Core::hash_bytes(record.instance, static_cast<std::uint64_t>(record.born.time_since_epoch().count()));
    }

    /// What the newest attempt counts in the failure rate.
    static constexpr double s_newest_attempt_weight = 0.25;
    /// Failures one after the other from which the server is left alone for a while.
    static constexpr unsigned s_failures_to_avoid = 3;
    /// How long it is left alone first, and at most; it doubles with each further failure.
    static constexpr Core::Milliseconds s_min_avoidance {250};
    static constexpr unsigned s_max_doublings = 3;
    /// Within it news of a server reach all gateways.
    static constexpr Core::Milliseconds s_propagation_time {150};
    /// With this much for each gateway about five try it again before they have heard from the first.
    static constexpr Core::Milliseconds s_spread_per_gateway {30};
    static constexpr Core::Milliseconds s_max_spread {3'000};

    void avoid(Core::MonotonicTime now, Core::Milliseconds spread)
    {
        auto const doublings = std::min(m_avoidance_count++, s_max_doublings);
        auto const own = std::chrono::duration_cast<Core::Milliseconds>(std::min(spread, s_max_spread) * m_spread);
        m_avoided_since = now;
        m_avoided_until = now + s_min_avoidance * (1U << doublings) + own;
    }

    Entry::ServerEntry m_record;
    std::uint64_t m_id;
    double m_spread;
    bool m_is_listed {true};
    Core::MonotonicTime m_unlisted_since;
    bool m_is_drained {false};
    bool m_states_leaving {false};
    Policy::ServerBackoff m_backoff;
    Core::MonotonicTime m_cold_until;
    ServerLoad m_own_load;
    ServerLoad m_peer_load;
    PrefixCacheModel m_prefixes;
    DecayingMean m_prefill_fraction;
    DecayingValue m_failure_rate;
    unsigned m_consecutive_failures {0};
    unsigned m_avoidance_count {0};
    std::optional<Core::MonotonicTime> m_suspected_since;
    Core::MonotonicTime m_avoided_since;
    Core::MonotonicTime m_avoided_until;
    std::chrono::duration<double, std::milli> m_mean_latency {0};
};

}
