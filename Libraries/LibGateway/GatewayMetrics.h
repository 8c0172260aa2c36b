#pragma once

#include <LibEntry/Call.h>
#include <LibObserve/Metrics.h>

#include <string>
#include <string_view>

namespace GraniteField::Gateway {

/// Metrics of a gateway's requests. docs/OPERATIONS.md lists them.
class GatewayMetrics {
public:
    explicit GatewayMetrics(Observe::MetricRegistry& registry)
        : m_registry(registry)
        , m_retries(registry.counter("granitefield_gateway_retries_total"))
        , m_denied_retries(registry.counter("granitefield_gateway_retries_denied_total"))
        , m_unanswered(registry.counter("granitefield_gateway_unanswered_total"))
        , m_returning(registry.counter("granitefield_gateway_returning_total"))
        , m_unreachable(registry.counter("granitefield_gateway_unreachable_total"))
        , m_withdrawn(registry.counter("granitefield_gateway_withdrawn_total"))
        , m_cancelled(registry.counter("granitefield_gateway_cancelled_total"))
        , m_crash_witnesses(registry.counter("granitefield_gateway_crash_witnesses_total"))
        , m_crash_cleared(registry.counter("granitefield_gateway_crash_cleared_total"))
        , m_quarantines(registry.counter("granitefield_gateway_quarantines_total"))
        , m_quarantined(registry.gauge("granitefield_gateway_quarantined"))
        , m_held_back(registry.counter("granitefield_gateway_held_back_total"))
        , m_mixed_streams(registry.counter("granitefield_gateway_mixed_streams_total"))
    {
    }

    /// Records the final answer to a request. `reason` is one of a fixed set of short names.
    void note_end(unsigned tier, Entry::Outcome outcome, std::string const& reason)
    {
        m_registry
            .counter("granitefield_gateway_requests_total",
                {{"tier", std::to_string(tier)}, {"outcome", std::string(to_string(outcome))}, {"reason", reason}})
            .add();
    }

    /// Records that a table took effect, and how long after it was first known to exist. `source` is one of a fixed set
    /// of short names.
    void note_table(std::string_view source, Core::Milliseconds delay)
    {
        m_registry.distribution("granitefield_table_delay_seconds", {{"way", std::string(source)}}).add(delay);
    }

    void note_first_byte(unsigned tier, Core::Microseconds time)
    {
        m_registry.distribution("granitefield_gateway_first_byte_seconds", {{"tier", std::to_string(tier)}}).add(time);
    }

    void note_answer_duration(unsigned tier, Core::Microseconds time)
    {
        m_registry.distribution("granitefield_gateway_answer_seconds", {{"tier", std::to_string(tier)}}).add(time);
    }

    void note_pause(unsigned tier, Core::Microseconds time)
    {
        m_registry.distribution("granitefield_gateway_pause_seconds", {{"tier", std::to_string(tier)}}).add(time);
    }

    /// Records a request that admission control rejected. `reason` is one of a fixed set of short names.
    void note_rejected(unsigned tier, std::string_view reason)
    {
        m_registry
            .counter("granitefield_gateway_rejected_total",
                {{"tier", std::to_string(tier)}, {"reason", std::string(reason)}})
            .add();
    }
    /// Records a caller that returned at the time that a rejection had given it.
    void note_returning() { m_returning.add(); }

    void note_retry() { m_retries.add(); }
    void note_denied_retry() { m_denied_retries.add(); }
    /// Records an attempt that was abandoned before its server answered. The server may still read the request later.
    void note_unanswered() { m_unanswered.add(); }
    void note_unreachable() { m_unreachable.add(); }
    /// An attempt was withdrawn before it was sent, since its server accepts no new requests any more.
    void note_withdrawn() { m_withdrawn.add(); }
    void note_cancelled() { m_cancelled.add(); }
    /// Records a request that was running on a backend server when that crashed.
    void note_crash_witness() { m_crash_witnesses.add(); }
    /// Records a probe of a server after an answer broke. `result` is one of a fixed set of short names.
    void note_crash_probe(std::string_view result)
    {
        m_registry.counter("granitefield_gateway_crash_probes_total", {{"result", std::string(result)}}).add();
    }
    /// Records the success of a request that was suspected after crashes of backend servers.
    void note_crash_cleared() { m_crash_cleared.add(); }
    /// Records a request that was put in quarantine.
    void note_quarantine() { m_quarantines.add(); }
    void set_quarantined(std::size_t count) { m_quarantined.set(static_cast<std::int64_t>(count)); }
    /// Records a request that was refused because it is in quarantine.
    void note_refused_by_quarantine() { m_held_back.add(); }
    /// Records a stream that received an event of another software version than the one that began it.
    void note_mixed_stream() { m_mixed_streams.add(); }
    /// Records a stream that a caller resumes. `result` is one of a fixed set of short names.
    void note_resumption(std::string_view result)
    {
        m_registry.counter("granitefield_gateway_resumptions_total", {{"result", std::string(result)}}).add();
    }
    void note_bad_request(int status)
    {
        m_registry.counter("granitefield_gateway_bad_requests_total", {{"status", std::to_string(status)}}).add();
    }

private:
    Observe::MetricRegistry& m_registry;
    Observe::Counter& m_retries;
    Observe::Counter& m_denied_retries;
    Observe::Counter& m_unanswered;
    Observe::Counter& m_returning;
    Observe::Counter& m_unreachable;
    Observe::Counter& m_withdrawn;
    Observe::Counter& m_cancelled;
    Observe::Counter& m_crash_witnesses;
    Observe::Counter& m_crash_cleared;
    Observe::Counter& m_quarantines;
    Observe::Gauge& m_quarantined;
    Observe::Counter& m_held_back;
    Observe::Counter& m_mixed_streams;
};

}
