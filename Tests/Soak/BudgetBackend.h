#pragma once

#include "CrashSendJudge.h"
#include "FakeBackend.h"
#include "RepeatedSendJudge.h"
#include "StatedSignals.h"

#include <LibCore/Text.h>
#include <LibHTTP/AnswerParser.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace GraniteField::Testing {

/// The judges of all promises about repeated sends.
struct BudgetJudges {
    RepeatedSendJudge repeats;
    CrashSendJudge requests;
    CrashSendJudge parts;
    SignalJudges signals;
    /// Whether the promises with a time hold for the gateway, by its name.
    std::function<bool(std::string const& gateway)> is_in_touch;
};

/// A backend server that counts each request when it reads it. It can stop reading for a while, as a starved or paused
/// process does, during which the kernel keeps accepting connections and requests; it crashes with requests that say
/// so; and it comes back at its address as another run. Any thread.
class BudgetBackend {
public:
    static constexpr char const* s_deadly_request = "deadly-request";
    static constexpr char const* s_deadly_part = "dead";

    /// When a deadly request crashes its server.
    enum class CrashMoment {
        /// While the server reads the request.
        BeforeHead,
        AfterHead,
        AfterEvent,
        /// More than a second into the answer.
        Late,
    };

    enum class Mood {
        Well,
        LosesAnswers,
        Mute,
        Full,
        Fails,
    };

    BudgetBackend(std::string name, std::string service, BudgetJudges& judges)
        : m_name(std::move(name))
        , m_service(std::move(service))
        , m_judges(judges)
        , m_run(make_run())
        , m_backend(m_name, [this](auto& connection, auto const& request, auto) { serve(connection, request); })
    {
    }
    ~BudgetBackend() { m_stalled_until = Core::MonotonicTime(); }
    BudgetBackend(BudgetBackend const&) = delete;
    BudgetBackend& operator=(BudgetBackend const&) = delete;

    void set_mood(Mood mood) { m_mood = mood; }
    void set_crash_moment(CrashMoment moment) { m_crash_moment = moment; }
    /// Sets what delimits answers: chunks or a length, or the end of the connection.
    void set_framed(bool value) { m_is_framed = value; }
    /// Reads no request until then.
    void stall_until(Core::MonotonicTime time) { m_stalled_until = time; }
    void crash() { m_backend.crash(); }
    [[nodiscard]] std::optional<Core::MonotonicTime> crashed() const { return m_backend.crashed(); }
    /// Starts again after a crash, as another run.
    void restart()
    {
        {
            std::lock_guard const lock(m_mutex);
            m_judges.repeats.note_run_ended(m_run.instance);
            ++m_life;
            m_run = make_run();
        }
        m_stalled_until = Core::MonotonicTime();
        m_backend.restart();
    }
    [[nodiscard]] std::shared_ptr<StatedSignals> signals() const { return run().signals; }
    [[nodiscard]] std::string const& service() const { return m_service; }
    [[nodiscard]] Entry::ServerEntry entry() const
    {
        auto entry = m_backend.entry(m_service);
        entry.instance = run().instance;
        return entry;
    }

private:
    static constexpr Core::Milliseconds s_work_time {25};
    static constexpr Core::Milliseconds s_event_interval {25};
    static constexpr Core::Milliseconds s_stall_check {5};
    static constexpr unsigned s_events = 10;
    /// Beyond the time for which a request counts as having just begun.
    static constexpr Core::Milliseconds s_late_crash {1'200};

    struct Run {
        std::string instance;
        std::shared_ptr<StatedSignals> signals;
    };

    [[nodiscard]] Run make_run() const
    {
        auto const instance = Core::concat(m_name, ".", m_life);
        return {instance, std::make_shared<StatedSignals>(instance, m_judges.signals)};
    }

    [[nodiscard]] Run run() const
    {
        std::lock_guard const lock(m_mutex);
        return m_run;
    }

    void serve(FakeConnection& connection, std::string const& request)
    {
        auto const [instance, signals] = run();
        while (Core::monotonic_now() < m_stalled_until.load())
            std::this_thread::sleep_for(s_stall_check);
        // Requests that a crashed run had not read are lost with it.
        if (crashed() || run().instance != instance)
            return;
        auto const id = field_of(request, "X-Request-Id").value_or("");
        note_arrival(id, request);
        auto const head = Core::concat("X-Request-Id: ", id, "\r\nX-Response-Stamp: ", instance, "\r\n");
        auto const refuse = [&](char const* status, std::string const& fields) {
            connection.write(Core::concat(
                "HTTP/1.1 ", status, "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n", fields, head, "\r\n"));
        };
        if (field_of(request, "X-Expect-Instance") != instance)
            return refuse("421 Misdirected Request", "");
        signals->note_arrival(id);
        if (auto const retry_after = signals->reject(id))
            return refuse("503 Service Unavailable", Core::concat("Retry-After: ", *retry_after, "\r\n"));
        Mood const mood = m_mood;
        if (mood == Mood::Full)
            return refuse("503 Service Unavailable", "");
        m_judges.repeats.note_begun(id, instance);
        if (mood == Mood::LosesAnswers)
            return connection.reset();
        if (mood == Mood::Mute) {
            static_cast<void>(connection.wait_until_closed());
            return;
        }
        std::this_thread::sleep_for(s_work_time);
        if (mood == Mood::Fails)
            return connection.write(
                Core::concat("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n", head, "\r\n"));
        CrashMoment const moment = m_crash_moment;
        bool const is_deadly = is_lethal(request);
        if (is_deadly && moment == CrashMoment::BeforeHead)
            return crash_by(request, instance);
        if (request.find("-stream/") == std::string::npos)
            write_plain(connection, head, is_deadly ? std::optional(moment) : std::nullopt);
        else
            write_stream(connection, request, Core::concat(head, "Content-Type: text/event-stream\r\n"),
                is_deadly ? std::optional(moment) : std::nullopt);
        if (is_deadly)
            crash_by(request, instance);
    }

    /// Writes a plain answer up to the moment of the crash, if there is one.
    void write_plain(FakeConnection& connection, std::string const& head, std::optional<CrashMoment> crash) const
    {
        std::string_view const body = "fine";
        auto const length = m_is_framed ? Core::concat("Content-Length: ", body.size(), "\r\n") : std::string();
        connection.write(Core::concat("HTTP/1.1 200 OK\r\n", head, length, "\r\n"));
        if (crash == CrashMoment::AfterHead)
            return;
        connection.write(crash ? body.substr(0, 2) : body);
    }

    /// The same for a stream.
    void write_stream(FakeConnection& connection, std::string const& request, std::string const& head,
        std::optional<CrashMoment> crash) const
    {
        bool const is_framed = m_is_framed;
        auto const* const framing = is_framed ? "Transfer-Encoding: chunked\r\n" : "";
        connection.write(Core::concat("HTTP/1.1 200 OK\r\n", head, framing, "\r\n"));
        if (crash == CrashMoment::AfterHead)
            return;
        auto const id = field_of(request, "X-Request-Id").value_or("");
        auto const late = Core::monotonic_now() + s_late_crash;
        auto event = std::stoul(field_of(request, "Last-Event-Id").value_or("0")) + 1;
        auto const is_whole = [&] { return crash ? Core::monotonic_now() > late : event > s_events; };
        for (; !is_whole(); ++event) {
            auto const text = Core::concat("id: ", event, "\ndata: ", id, "\n\n");
            connection.write(is_framed ? chunk(text) : text);
            if (crash == CrashMoment::AfterEvent)
                return;
            std::this_thread::sleep_for(s_event_interval);
        }
        if (is_framed && !crash)
            connection.write("0\r\n\r\n");
    }

    void note_arrival(std::string const& id, std::string const& request)
    {
        auto const now = Core::monotonic_now();
        bool const is_in_touch = m_judges.is_in_touch(gateway_of(id));
        auto const time = field_of(request, "X-Deadline-Ms");
        auto const remaining = time ? std::optional(Core::Milliseconds(std::stoll(*time))) : std::nullopt;
        m_judges.repeats.note_arrival({id, now, remaining, is_in_touch});
        if (!is_in_touch)
            return;
        if (is_deadly_request(request))
            m_judges.requests.note_arrival(subject_of(request), now);
        if (has_deadly_part(request))
            m_judges.parts.note_arrival(s_deadly_part, now);
    }

    [[nodiscard]] static bool is_deadly_request(std::string const& request)
    {
        return request.find(s_deadly_request) != std::string::npos;
    }
    [[nodiscard]] static bool has_deadly_part(std::string const& request)
    {
        return field_of(request, "X-Prompt-Prefix").value_or("").find(s_deadly_part) != std::string::npos;
    }

    [[nodiscard]] static bool is_lethal(std::string const& request)
    {
        return is_deadly_request(request) || has_deadly_part(request);
    }
    /// Deadly requests differ by their target.
    [[nodiscard]] static std::string subject_of(std::string const& request)
    {
        return Core::concat(s_deadly_request, " ", request.substr(0, request.find(" HTTP/")));
    }

    /// Crashes the run that the request was sent to, if it has not ended.
    void crash_by(std::string const& request, std::string const& instance)
    {
        if (crashed() || run().instance != instance)
            return;
        auto const now = Core::monotonic_now();
        if (is_deadly_request(request))
            m_judges.requests.note_crash(subject_of(request), now);
        if (has_deadly_part(request))
            m_judges.parts.note_crash(s_deadly_part, now);
        crash();
    }

    std::string m_name;
    std::string m_service;
    BudgetJudges& m_judges;
    mutable std::mutex m_mutex;
    unsigned m_life {0};
    Run m_run;
    std::atomic<Mood> m_mood {Mood::Well};
    std::atomic<CrashMoment> m_crash_moment {CrashMoment::AfterHead};
    std::atomic<bool> m_is_framed {true};
    std::atomic<Core::MonotonicTime> m_stalled_until {Core::MonotonicTime()};
    FakeBackend m_backend;
};

}
