#include <LibObserve/EventLog.h>

#include <LibCore/Text.h>
#include <LibCore/Thread.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <poll.h>
#include <unistd.h>

#include <absl/strings/str_format.h>

namespace GraniteField::Observe {

namespace {

constexpr int s_poll_timeout_ms = 100;
/// What one write takes; a pipe takes as much without a wait when it takes anything.
constexpr std::size_t s_largest_write = PIPE_BUF;
/// How long the last lines may take when nobody reads them.
constexpr Core::Milliseconds s_stopping_patience {300};

void append_quoted(std::string& target, std::string_view text)
{
    target += '"';
    for (char const character : text) {
        auto const byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            target += '\\';
            target += character;
        } else if (byte < 0x20 || byte >= 0x7f) {
            // What callers send need not be UTF-8; every other byte is written as a code point of its own.
            absl::StrAppendFormat(&target, "\\u%04x", byte);
        } else {
            target += character;
        }
    }
    target += '"';
}

std::int64_t unix_milliseconds()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Core::Milliseconds>(now).count();
}

}

LogEvent::LogEvent(std::string_view name)
{
    m_text = "\"event\":";
    append_quoted(m_text, name);
}

void LogEvent::add_key(std::string_view key)
{
    m_text += ',';
    append_quoted(m_text, key);
    m_text += ':';
}

LogEvent& LogEvent::add(std::string_view key, std::string_view text)
{
    add_key(key);
    append_quoted(m_text, text);
    return *this;
}

LogEvent& LogEvent::add(std::string_view key, bool value)
{
    add_key(key);
    m_text += value ? "true" : "false";
    return *this;
}

LogEvent& LogEvent::add(std::string_view key, double value)
{
    add_key(key);
    absl::StrAppendFormat(&m_text, "%.3f", value);
    return *this;
}

EventLog::EventLog(
    int descriptor, std::string_view host, Core::Incarnation incarnation, MetricRegistry& metrics, Output output)
    : m_descriptor(descriptor)
    , m_prefix(origin_of(host, incarnation))
    , m_lines(metrics.counter("granitefield_log_lines_total"))
    , m_dropped(metrics.counter("granitefield_log_lines_dropped_total"))
    , m_is_held(output == Output::Held)
    , m_thread(Core::start_thread("log", [this] { run(); }))
{
}

std::string EventLog::origin_of(std::string_view host, Core::Incarnation incarnation)
{
    std::string text = ",\"host\":";
    append_quoted(text, host);
    text += ",\"incarnation\":";
    append_quoted(text, Core::to_hex(incarnation.value()));
    text += ',';
    return text;
}

EventLog::~EventLog()
{
    {
        std::lock_guard const lock(m_mutex);
        m_should_stop = true;
    }
    m_signal.notify_all();
    m_thread.join();
}

void EventLog::write(LogEvent const& event, LogWeight weight)
{
    auto const limit = weight == LogWeight::Ordinary ? s_capacity / 2 : s_capacity;
    std::lock_guard const lock(m_mutex);
    if (m_pending.size() + event.text().size() > limit) {
        m_dropped.add();
        return;
    }
    m_lines.add();
    bool const was_empty = m_pending.empty();
    Core::append(&m_pending, "{\"time\":", unix_milliseconds(), m_prefix, event.text(), "}\n");
    if (was_empty)
        m_signal.notify_one();
}

void EventLog::begin_output()
{
    {
        std::lock_guard const lock(m_mutex);
        m_is_held = false;
    }
    m_signal.notify_all();
}

void EventLog::discard_held()
{
    std::lock_guard const lock(m_mutex);
    if (m_is_held)
        m_pending.clear();
}

std::string EventLog::take_batch()
{
    std::unique_lock lock(m_mutex);
    m_signal.wait(lock, [this] { return m_should_stop || (!m_is_held && !m_pending.empty()); });
    if (!m_should_stop)
        m_signal.wait_for(lock, s_gathering_time, [this] { return m_should_stop; });
    return std::exchange(m_pending, {});
}

void EventLog::run()
{
    while (true) {
        auto batch = take_batch();
        if (batch.empty())
            return;
        auto const dropped = m_dropped.value();
        if (dropped != m_reported_drops) {
            Core::append(&batch, "{\"time\":", unix_milliseconds(), m_prefix, R"("event":"log-lines-dropped","count":)",
                dropped - m_reported_drops, "}\n");
            m_reported_drops = dropped;
        }
        write_all(batch);
    }
}

void EventLog::write_all(std::string_view text)
{
    auto given_up_at = Core::MonotonicTime::max();
    while (!text.empty()) {
        if (given_up_at == Core::MonotonicTime::max() && is_stopping())
            given_up_at = Core::monotonic_now() + s_stopping_patience;
        if (Core::monotonic_now() >= given_up_at)
            return;
        // A pipe that can be written to has room for this much at least, so that the write does not wait.
        pollfd item {m_descriptor, POLLOUT, 0};
        if (::poll(&item, 1, s_poll_timeout_ms) <= 0)
            continue;
        auto const written = ::write(m_descriptor, text.data(), std::min(text.size(), s_largest_write));
        if (written > 0)
            text.remove_prefix(static_cast<std::size_t>(written));
        else if (errno != EINTR && errno != EAGAIN)
            return;
    }
}

bool EventLog::is_stopping()
{
    std::lock_guard const lock(m_mutex);
    return m_should_stop;
}

}
