#include <LibObserve/SpanExporter.h>

#include <LibCore/Text.h>
#include <LibCore/Thread.h>

#include <nlohmann/json.hpp>

#include <poll.h>

namespace GraniteField::Observe {

using Json = nlohmann::json;

namespace {

constexpr std::size_t s_ring_capacity = 4096;
constexpr std::size_t s_largest_batch = 512;
constexpr int s_poll_milliseconds = 200;
/// OTLP's codes for a span's kind and status.
constexpr int s_span_kind_server = 2;
constexpr int s_status_code_error = 2;

std::string unix_nanoseconds(std::chrono::system_clock::time_point time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

Json attribute(std::string const& key, std::string const& value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

Json to_json(Span const& span)
{
    Json attributes = Json::array();
    for (auto const& [key, value] : span.attributes)
        attributes.push_back(attribute(key, value));
    Json json {{"traceId", span.context.trace_id}, {"spanId", span.context.span_id}, {"name", span.name},
        {"kind", s_span_kind_server}, {"startTimeUnixNano", unix_nanoseconds(span.start)},
        {"endTimeUnixNano", unix_nanoseconds(span.end)}, {"attributes", attributes}};
    if (!span.parent_span_id.empty())
        json["parentSpanId"] = span.parent_span_id;
    if (span.has_failed)
        json["status"] = {{"code", s_status_code_error}};
    return json;
}

}

std::string encode_spans(std::string const& service_name, std::vector<Span> const& spans)
{
    Json list = Json::array();
    for (auto const& span : spans)
        list.push_back(to_json(span));
    Json const resource {{"attributes", Json::array({attribute("service.name", service_name)})}};
    Json const scope_spans = Json::array({Json {{"scope", {{"name", "granitefield"}}}, {"spans", list}}});
    Json const resource_spans = Json::array({Json {{"resource", resource}, {"scopeSpans", scope_spans}}});
    return Json {{"resourceSpans", resource_spans}}.dump();
}

SpanExporter::SpanExporter(Core::Address collector, std::string service_name, MetricRegistry& metrics)
    : m_collector(std::move(collector))
    , m_service_name(std::move(service_name))
    , m_ring(s_ring_capacity)
    , m_sent(metrics.counter("granitefield_spans_sent_total"))
    , m_dropped(metrics.counter("granitefield_spans_dropped_total"))
    , m_thread(Core::start_thread("spans", [this] { run(); }))
{
}

SpanExporter::~SpanExporter()
{
    m_should_stop = true;
    m_wake.signal();
    m_thread.join();
}

void SpanExporter::record(Span span)
{
    if (!span.context.is_sampled)
        return;
    auto item = std::make_unique<Span>(std::move(span));
    if (!m_ring.try_push(item)) {
        m_dropped.add();
        return;
    }
    m_wake.signal();
}

void SpanExporter::run()
{
    while (true) {
        pollfd descriptor {m_wake.descriptor(), POLLIN, 0};
        ::poll(&descriptor, 1, s_poll_milliseconds);
        m_wake.drain();
        bool const is_last_round = m_should_stop;
        std::vector<Span> batch;
        while (auto span = m_ring.try_pop()) {
            batch.push_back(std::move(*span));
            if (batch.size() == s_largest_batch) {
                send(batch);
                batch.clear();
            }
        }
        if (!batch.empty())
            send(batch);
        if (is_last_round)
            return;
    }
}

void SpanExporter::send(std::vector<Span> const& spans)
{
    HTTP::ClientRequest request;
    request.method = "POST";
    request.url = Core::concat("http://", m_collector.to_string(), "/v1/traces");
    request.headers = {"Content-Type: application/json"};
    request.body = encode_spans(m_service_name, spans);
    try {
        auto const response = m_client.send(request);
        if (response.status == 200)
            m_sent.add(spans.size());
        else
            m_dropped.add(spans.size());
    } catch (HTTP::RequestFailed const&) {
        m_dropped.add(spans.size());
    }
}

}
