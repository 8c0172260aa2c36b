#pragma once

#include <LibCore/Address.h>
#include <LibCore/BoundedRing.h>
#include <LibCore/WakeEvent.h>
#include <LibHTTP/HttpClient.h>
#include <LibObserve/Metrics.h>
#include <LibObserve/TraceContext.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace GraniteField::Observe {

/// One hop of a request.
struct Span {
    TraceContext context;
    /// Empty for the first span of a trace.
    std::string parent_span_id;
    std::string name;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    Labels attributes;
    bool has_failed {false};
};

/// Sends spans to a collector as OTLP/HTTP in JSON on a thread of its own. When the collector is slow,
/// spans are dropped and counted; nobody waits.
class SpanExporter {
public:
    SpanExporter(Core::Address collector, std::string service_name, MetricRegistry&);
    ~SpanExporter();
    SpanExporter(SpanExporter const&) = delete;
    SpanExporter& operator=(SpanExporter const&) = delete;

    void record(Span);

private:
    void run();
    void send(std::vector<Span> const&);

    Core::Address m_collector;
    std::string m_service_name;
    Core::BoundedRing<Span> m_ring;
    Core::WakeEvent m_wake;
    HTTP::HttpClient m_client;
    Counter& m_sent;
    Counter& m_dropped;
    std::atomic<bool> m_should_stop {false};
    std::thread m_thread;
};

/// The body of an OTLP/HTTP export request (OTLP 1.0, ExportTraceServiceRequest in its JSON form).
[[nodiscard]] std::string encode_spans(std::string const& service_name, std::vector<Span> const&);

}
