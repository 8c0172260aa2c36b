#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibObserve/Metrics.h>

#include <concepts>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include <absl/strings/str_cat.h>

namespace GraniteField::Observe {

/// One line of the structured log: an object of JSON with what happened and the inputs that decided it.
class LogEvent {
public:
    explicit LogEvent(std::string_view name);

    LogEvent& add(std::string_view key, std::string_view text);
    LogEvent& add(std::string_view key, char const* text) { return add(key, std::string_view(text)); }
    LogEvent& add(std::string_view key, bool value);
    LogEvent& add(std::string_view key, double value);
    LogEvent& add(std::string_view key, Core::Milliseconds value) { return add(key, value.count()); }

    template <std::integral Number>
    LogEvent& add(std::string_view key, Number value)
    {
        add_key(key);
        absl::StrAppend(&m_text, value);
        return *this;
    }

    /// The members written so far, without the braces.
    [[nodiscard]] std::string const& text() const { return m_text; }

private:
    void add_key(std::string_view key);

    std::string m_text;
};

/// How much a line matters when lines come faster than they can be written.
enum class LogWeight {
    /// An ordinary success: dropped first.
    Ordinary,
    /// A refusal, a failure, a change of what the process believes.
    Notable,
};

/// The structured log of a process: one JSON object a line, written to a descriptor by a thread of its own. Whoever
/// logs never waits: lines that find the buffer full are dropped and counted, ordinary ones from half of it on.
class EventLog {
public:
    /// Bytes that wait to be written; beyond them lines are dropped.
    static constexpr std::size_t s_capacity = 512U << 10U;
    /// How long the writer gathers lines, so that a burst costs few system calls.
    static constexpr Core::Milliseconds s_gathering_time {200};

    enum class Output {
        AtOnce,
        /// Lines are kept until begin_output().
        Held,
    };

    EventLog(int descriptor, std::string_view host, Core::Incarnation, MetricRegistry&, Output = Output::AtOnce);
    ~EventLog();
    EventLog(EventLog const&) = delete;
    EventLog& operator=(EventLog const&) = delete;

    /// The members that stand in each line between its time and its event.
    [[nodiscard]] static std::string origin_of(std::string_view host, Core::Incarnation);

    void write(LogEvent const&, LogWeight = LogWeight::Notable);
    /// Writes the lines that were held, and those that follow. The destructor writes what is held as well.
    void begin_output();
    /// Removes the lines that are held, for a start that begins over.
    void discard_held();

private:
    void run();
    [[nodiscard]] std::string take_batch();
    void write_all(std::string_view);
    [[nodiscard]] bool is_stopping();

    int m_descriptor;
    std::string m_prefix;
    Counter& m_lines;
    Counter& m_dropped;
    std::mutex m_mutex;
    std::condition_variable m_signal;
    std::string m_pending;
    std::uint64_t m_reported_drops {0};
    bool m_is_held;
    bool m_should_stop {false};
    std::thread m_thread;
};

}
