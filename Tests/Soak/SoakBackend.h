#pragma once

#include "FakeBackend.h"
#include "FaultProxy.h"
#include "StatedSignals.h"

#include <LibCore/Address.h>
#include <LibCore/Hashing.h>
#include <LibCore/Text.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace GraniteField::Testing {

/// How often each request ran, over all backend servers of a soak.
class RunLog {
public:
    void note(std::string const& request)
    {
        std::lock_guard const lock(m_mutex);
        ++m_runs[request];
    }
    [[nodiscard]] unsigned count(std::string const& request) const
    {
        std::lock_guard const lock(m_mutex);
        auto const found = m_runs.find(request);
        return found == m_runs.end() ? 0 : found->second;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, unsigned> m_runs;
};

/// The body of a whole answer, and the events of a stream, by which a caller knows its own.
[[nodiscard]] inline std::string soak_body(std::string const& request)
{
    return "ran " + request;
}
inline constexpr unsigned s_soak_events = 8;
[[nodiscard]] inline std::string soak_event(std::string const& request, unsigned id, std::string const& version = "")
{
    auto const comment = version.empty() ? version : Core::concat(": ", version, "\n");
    return Core::concat(comment, "id: ", id, "\ndata: ", request, "-", id, "\n\n");
}
[[nodiscard]] inline std::string soak_events(std::string const& request)
{
    std::string text;
    for (unsigned id = 1; id <= s_soak_events; ++id)
        text += soak_event(request, id);
    return text;
}

/// A backend server behind a fault proxy that can also misbehave itself.
class SoakBackend {
public:
    enum class Mood {
        Well,
        /// It runs the request, and its answer is lost.
        LosesAnswers,
        /// It runs the request and says nothing.
        Mute,
        /// It refuses and says that it did not run.
        Full,
        /// It runs the request and answers with bytes that are no answer, or too few.
        Garbles,
        /// It runs the request and closes the connection inside the head of its answer.
        CutsHeads,
    };

    SoakBackend(std::string name, RunLog& runs, SignalJudges& judges)
        : m_name(std::move(name))
        , m_runs(runs)
        , m_judges(judges)
        , m_run(make_run())
        , m_backend(m_name, [this](auto& connection, auto const& request, auto) { serve(connection, request); })
        , m_proxy(m_backend.entry().address)
    {
    }

    void set_mood(Mood mood) { m_mood = mood; }
    /// What the present run states about itself.
    [[nodiscard]] std::shared_ptr<StatedSignals> signals() const { return run().signals; }
    /// Another run takes the place of this one at its address, which ends its answers as they are.
    void replace(std::string const& version = "")
    {
        std::lock_guard const lock(m_mutex);
        ++m_life;
        m_version = version;
        m_run = make_run();
    }
    [[nodiscard]] FaultProxy& proxy() { return m_proxy; }
    /// The requests that have reached it.
    [[nodiscard]] std::vector<std::string> requests() const { return m_backend.requests(); }
    /// Its entry in the store, with the proxy's address.
    [[nodiscard]] Entry::ServerEntry entry() const
    {
        auto entry = m_backend.entry();
        entry.instance = run().instance;
        entry.software_version = run().version;
        entry.address = *Core::Address::from_string(Core::concat("127.0.0.1:", m_proxy.port()));
        return entry;
    }

private:
    static constexpr Core::Milliseconds s_work_time {3};
    static constexpr Core::Milliseconds s_event_interval {4};
    static constexpr unsigned long s_tokens_per_ms = 100;

    struct Run {
        std::string instance;
        std::string version;
        std::shared_ptr<StatedSignals> signals;
    };

    [[nodiscard]] Run make_run() const
    {
        auto const instance = m_life == 0 ? m_name : Core::concat(m_name, ".", m_life);
        return {instance, m_version, std::make_shared<StatedSignals>(instance, m_judges)};
    }

    [[nodiscard]] Run run() const
    {
        std::lock_guard const lock(m_mutex);
        return m_run;
    }

    void serve(FakeConnection& connection, std::string const& request)
    {
        auto const [instance, version, signals] = run();
        auto const id = field_of(request, "X-Request-Id").value_or("");
        auto const head
            = Core::concat("X-Request-Id: ", id, "\r\nX-Response-Stamp: ", instance, "\r\n", signals->lines());
        Mood const mood = m_mood;
        bool const is_for_another = field_of(request, "X-Expect-Instance") != instance;
        if (!is_for_another)
            signals->note_arrival(id);
        if (auto const retry_after = is_for_another ? std::nullopt : signals->reject(id))
            return connection.write(
                Core::concat("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nRetry-After: ", *retry_after,
                    "\r\nContent-Length: 0\r\n", head, "\r\n"));
        if (is_for_another || mood == Mood::Full) {
            auto const* status = is_for_another ? "421 Misdirected Request" : "503 Service Unavailable";
            return connection.write(
                Core::concat("HTTP/1.1 ", status, "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n", head, "\r\n"));
        }
        m_runs.note(id);
        if (mood == Mood::LosesAnswers)
            return connection.reset();
        if (mood == Mood::Mute) {
            static_cast<void>(connection.wait_until_closed());
            return;
        }
        if (mood == Mood::Garbles)
            return connection.write(id.back() % 2 == 0
                    ? "HTTP/7 what\r\n\r\n"
                    : Core::concat("HTTP/1.1 200 OK\r\n", head, "Content-Length: 900\r\n\r\nshort"));
        if (mood == Mood::CutsHeads) {
            auto const cut = Core::concat("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", head, "\r\n");
            return connection.write(std::string_view(cut).substr(0, Core::hash_bytes(id) % (cut.size() - 1)));
        }
        bool const is_stream = request.find("-stream/") != std::string::npos;
        auto const tokens = std::stoul(field_of(request, "X-Token-Count").value_or("0"));
        std::this_thread::sleep_for(s_work_time + Core::Milliseconds(tokens / s_tokens_per_ms));
        if (!is_stream)
            return connection.write(Core::concat(
                "HTTP/1.1 200 OK\r\n", head, "Content-Length: ", soak_body(id).size(), "\r\n\r\n", soak_body(id)));
        connection.write(Core::concat(
            "HTTP/1.1 200 OK\r\n", head, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        auto const last = std::stoul(field_of(request, "Last-Event-Id").value_or("0"));
        // With software versions, many streams break, so that callers resume some.
        constexpr unsigned runs_per_break = 3;
        bool const breaks = !version.empty() && Core::hash_bytes(id, Core::hash_bytes(instance)) % runs_per_break == 0;
        for (auto event = static_cast<unsigned>(last) + 1; event <= s_soak_events; ++event) {
            if (breaks && event > last + 2)
                return;
            connection.write(chunk(soak_event(id, event, version)));
            std::this_thread::sleep_for(s_event_interval);
        }
        connection.write("0\r\n\r\n");
    }

    std::string m_name;
    RunLog& m_runs;
    SignalJudges& m_judges;
    mutable std::mutex m_mutex;
    unsigned m_life {0};
    std::string m_version;
    Run m_run;
    std::atomic<Mood> m_mood {Mood::Well};
    FakeBackend m_backend;
    FaultProxy m_proxy;
};

}
