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

/// Load of open attempts at a backend server.
struct ServerLoad {
    /// Number of open attempts.
    unsigned open {0};
    /// Prompt tokens of these attempts that the engine has yet to prefill.
    std::uint64_t unread_tokens {0};
    /// Number of attempts that miss their pause target while the engine prefills a long prompt (EngineModel).
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

/// Value that decays exponentially to zero.
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

/// Exponentially weighted mean over the last seconds of a value sampled at irregular intervals.
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

/// State of one run of a backend server: its entry in the list, the load on it, and its recent failures. On the
/// gateway's thread only.
class BackendView {
public:
    /// `spread`, from 0 to 1, differs between gateways. It sets which part of the spread is added to the time for which
    /// this gateway avoids the server.
    explicit BackendView(Entry::ServerEntry record, double spread = 0, Core::MonotonicTime listed_since = {})
        : m_record(std::move(record))
        , m_id(id_of(m_record))
        , m_life(life_of(m_record, m_id))
        , m_spread(spread)
        , m_listed_since(listed_since)
    {
    }

    [[nodiscard]] Entry::ServerEntry const& record() const { return m_record; }
    void set_record(Entry::ServerEntry record)
    {
        m_record = std::move(record);
        m_life = life_of(m_record, m_id);
    }

    /// Whether the server is in the newest list and not leaving, neither by the list nor by its own statement.
    [[nodiscard]] bool is_serving() const
    {
        return m_is_listed && !m_states_leaving && m_record.state == Table::BackendServerState::Serving;
    }
    /// Records that an answer stated that the server is leaving. Holds for the rest of the run, even if a later list
    /// shows it as serving.
    void set_states_leaving() { m_states_leaving = true; }

    /// The backoff that the server requested from this gateway.
    [[nodiscard]] Policy::ServerBackoff& backoff() { return m_backoff; }
    [[nodiscard]] Policy::ServerBackoff const& backoff() const { return m_backoff; }

    /// Whether the server is serving and its failure domain is not drained.
    [[nodiscard]] bool accepts_new_requests() const { return is_serving() && !m_is_drained; }
    /// Whether operators have drained its failure domain.
    [[nodiscard]] bool is_drained() const { return m_is_drained; }
    void set_drained(bool value) { m_is_drained = value; }

    /// Whether the server can handle only few requests yet, by its own entry or by expect_cold_until().
    [[nodiscard]] bool is_cold(Core::MonotonicTime now) const
    {
        return now < std::max(m_record.cold_until, m_cold_until);
    }
    /// Marks the server as cold until that time. A server that starts, or receives requests again after a pause, may be
    /// cold before its entry says so.
    void expect_cold_until(Core::MonotonicTime time) { m_cold_until = std::max(m_cold_until, time); }

    /// Time at which this run was first listed.
    [[nodiscard]] Core::MonotonicTime listed_since() const { return m_listed_since; }
    [[nodiscard]] bool is_listed() const { return m_is_listed; }
    void set_listed() { m_is_listed = true; }
    void set_unlisted(Core::MonotonicTime now)
    {
        m_is_listed = false;
        m_unlisted_since = now;
    }
    /// Time at which the server left the list; meaningless while it is listed.
    [[nodiscard]] Core::MonotonicTime unlisted_since() const { return m_unlisted_since; }

    /// Whether the server is avoided for now because of a recent failure.
    [[nodiscard]] bool is_avoided(Core::MonotonicTime now) const { return now < m_avoided_until; }

    /// Time since which the server is suspected to be dead; nothing while it is not suspected.
    [[nodiscard]] std::optional<Core::MonotonicTime> suspected_since() const { return m_suspected_since; }

    /// Load of this gateway on the server.
    [[nodiscard]] ServerLoad const& own_load() const { return m_own_load; }
    /// Load of all gateways on the server, as far as reported.
    [[nodiscard]] ServerLoad load() const { return m_own_load + m_peer_load; }
    void add_peer_load(ServerLoad const& load) { m_peer_load += load; }
    void remove_peer_load(ServerLoad const& load) { m_peer_load -= load; }
    /// Hash of the instance and its start time, which identifies this run of the server in datagrams.
    [[nodiscard]] std::uint64_t id() const { return m_id; }
    [[nodiscard]] PrefixCacheModel& prefixes() { return m_prefixes; }
    [[nodiscard]] PrefixCacheModel const& prefixes() const { return m_prefixes; }

    /// Identity of this run in the crash reports of the gateways.
    [[nodiscard]] Policy::ServerIncarnation const& life() const { return m_life; }

    /// Adds the load of an attempt that starts.
    void begin_attempt(ServerLoad const& load) { m_own_load += load; }

    /// Removes the prefill load of an attempt after its first event.
    void note_read(ServerLoad& load)
    {
        m_own_load.unread_tokens -= load.unread_tokens;
        load.unread_tokens = 0;
    }

    /// Removes the load of an attempt that has ended. Idempotent.
    void end_attempt(ServerLoad& load) { m_own_load -= std::exchange(load, {}); }

    /// Fraction of the last seconds, from 0 to 1, in which the engine had a long prompt to prefill, from any gateway.
    [[nodiscard]] double prefill_fraction() const { return m_prefill_fraction.value(); }
    /// Records the present prefill load as a fraction of a long prefill.
    void note_prefill_load(double fraction, Core::MonotonicTime now)
    {
        m_prefill_fraction.note(std::min(1.0, fraction), now);
    }

    /// Fraction of recent attempts that failed, weighted towards the newest, decaying with time.
    [[nodiscard]] double failure_rate(Core::MonotonicTime now) const { return m_failure_rate.at(now); }

    /// Records a successful answer. Returns whether the server was avoided.
    bool note_success(Core::MonotonicTime now)
    {
        m_failure_rate.set(m_failure_rate.at(now) * (1 - s_newest_attempt_weight), now);
        m_consecutive_failures = 0;
        return note_alive();
    }

    /// Records that the server answers this or another gateway. Returns whether it was avoided.
    bool note_alive()
    {
        m_suspected_since.reset();
        m_avoided_since = {};
        m_avoided_until = {};
        return std::exchange(m_avoidance_count, 0U) > 0;
    }

    /// Records that this gateway received bytes from the server.
    void note_received(Core::MonotonicTime now) { m_last_received_at = now; }
    /// Records that a request which was sent at that time is abandoned, since the server did not answer.
    void note_unanswered(Core::MonotonicTime sent) { m_last_unanswered = std::max(m_last_unanswered, sent); }
    /// Whether nothing was received from the server since a request was sent that it did not answer in time.
    [[nodiscard]] bool is_silent() const { return m_last_unanswered > m_last_received_at; }

    /// Records that this or another gateway suspects the server to be dead. `gateways` is the number of gateways that
    /// may retry it: their retries are spread so that the result of the first one reaches the others before they retry.
    void note_suspected(std::size_t gateways, Core::MonotonicTime now)
    {
        // Many gateways detect the same failure at once; later reports are about failed retries.
        if (Core::elapsed(m_avoided_since, now) < s_propagation_time)
            return;
        avoid(now, s_spread_per_gateway * static_cast<int>(gateways));
        if (!m_suspected_since)
            m_suspected_since = now;
    }

    /// Records a failed answer.
    void note_failure(Core::MonotonicTime now)
    {
        m_failure_rate.set(m_failure_rate.at(now) * (1 - s_newest_attempt_weight) + s_newest_attempt_weight, now);
        if (++m_consecutive_failures >= s_failures_to_avoid)
            avoid(now, {});
    }

    /// Records a failed connection.
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

    static Policy::ServerIncarnation life_of(Entry::ServerEntry const& record, std::uint64_t id)
    {
        return {id, Core::hash_bytes(record.address.to_string()), Core::hash_bytes(record.service)};
    }

    /// Weight of the newest attempt in the failure rate.
    static constexpr double s_newest_attempt_weight = 0.25;
    /// Number of consecutive failures from which the server is avoided for a while.
    static constexpr unsigned s_failures_to_avoid = 3;
    /// Time for which the server is avoided at first. It doubles with each further failure, up to the maximum.
    static constexpr Core::Milliseconds s_min_avoidance {250};
    static constexpr unsigned s_max_doublings = 3;
    /// Time within which the report of one gateway reaches all others.
    static constexpr Core::Milliseconds s_propagation_time {150};
    /// Spread of the retries for each gateway. At this value some five gateways retry before they receive the result of
    /// the first.
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
    Policy::ServerIncarnation m_life;
    double m_spread;
    Core::MonotonicTime m_listed_since;
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
    Core::MonotonicTime m_last_received_at;
    /// Time at which the newest unanswered request was sent.
    Core::MonotonicTime m_last_unanswered;
    Core::MonotonicTime m_avoided_since;
    Core::MonotonicTime m_avoided_until;
    std::chrono::duration<double, std::milli> m_mean_latency {0};
};

}
