#pragma once

#include "GatewayGroup.h"

#include <LibCore/Text.h>
#include <LibHTTP/AnswerParser.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace GraniteField::Testing {

/// Three connected gateways in front of engines that crash when they start a deadly request.
class CrashFixture : public GatewayGroup {
protected:
    static constexpr std::size_t s_gateways = 3;
    static constexpr std::size_t s_engines = 6;
    /// Time within which a conclusion of one gateway reaches all others.
    static constexpr Core::Milliseconds s_propagation_time {3'000};
    /// Maximum number of sends of what crashes engines, after the propagation time.
    static constexpr std::size_t s_max_late_sends = 3;
    static constexpr Core::Milliseconds s_restart_delay {300};

    using Predicate = std::function<bool(std::string const& request)>;

    /// Engines crash that long after they have started a deadly request.
    explicit CrashFixture(Predicate is_deadly, Core::Milliseconds crash_delay = Core::Milliseconds(0))
        : m_is_deadly(std::move(is_deadly))
        , m_crash_delay(crash_delay)
    {
        add_route("asked",
            {{"path-prefix", "/asked/"}, {"tries", "2"}, {"answer", "events"}, {"resumable", "yes"},
                {"key", "required"}});
        for (std::size_t number = 0; number < s_engines; ++number)
            add_engine(number);
        publish_table();
        publish_servers();
        start_gateways(s_gateways);
    }

    void add_engine(std::size_t number)
    {
        add_backend(Core::concat("i-", number), [this, number](auto& connection, auto const& text, auto) {
            std::this_thread::sleep_for(m_read_delay.load());
            if (m_error_period > 0 && m_is_deadly(text) && m_deadly_arrivals++ % m_error_period == 0)
                return connection.write(answer_to(text, 500, "failed"));
            bool const is_chunked = m_framing == HTTP::Framing::Chunked;
            auto const framed = [is_chunked](std::string const& part) { return is_chunked ? chunk(part) : part; };
            connection.write(is_chunked ? stream_head_to(text) : open_head_to(text));
            if (m_is_deadly(text)) {
                auto const last = static_cast<unsigned>(std::stoul(field_of(text, "Last-Event-ID").value_or("0")));
                if (m_first_events == FirstEvents::BeforeCrashes)
                    connection.write(framed(event(last + 1)));
                std::this_thread::sleep_for(m_crash_delay);
                return crash(number);
            }
            connection.write(framed(event(1)) + framed(event(2)) + (is_chunked ? "0\r\n\r\n" : ""));
        });
    }

    /// Ends the run of an engine with a deadly request, and its connection.
    void crash(std::size_t number)
    {
        if (m_supervision == Supervision::RestartAfterPause)
            return m_backends[number]->crash();
        std::lock_guard const lock(m_mutex);
        m_restarted.push_back(number);
    }

    /// Sends the request to the gateways in turn.
    RawCaller::Answer send(std::string const& body, std::string const& fields = "")
    {
        restart_engines();
        RawCaller caller(m_nodes[m_next_gateway++ % s_gateways]->gateway.caller_port());
        caller.write(
            request("POST", "/asked/case", Core::concat("Authorization: Bearer ", s_key, "\r\n", fields), body));
        return caller.read_answer();
    }

    /// Restarts the engines whose restart is due. Their entries get a later start, which identifies the new run.
    void restart_engines()
    {
        std::unique_lock lock(m_mutex);
        auto restarted = std::exchange(m_restarted, {});
        lock.unlock();
        for (std::size_t number = 0; number < m_backends.size(); ++number) {
            auto const crashed = m_backends[number]->crashed();
            if (!crashed || Core::elapsed(*crashed, Core::monotonic_now()) < s_restart_delay)
                continue;
            m_backends[number]->restart();
            restarted.push_back(number);
        }
        for (auto const number : restarted) {
            auto const entry = std::ranges::find(
                m_servers_list.servers, m_backends[number]->entry().instance, &Entry::ServerEntry::instance);
            if (entry != m_servers_list.servers.end())
                entry->born += std::chrono::seconds(1);
        }
        if (restarted.empty())
            return;
        publish_servers();
        wake_all();
    }

    /// Passes on a quarantine that was loaded from the store, and waits until all gateways know it.
    void load_quarantine(Core::RequestDigest const& digest)
    {
        m_store_quarantine.add_loaded({digest});
        auto const is_quarantined_at
            = [&](auto const& node) { return node->gateway.status().find(digest.to_string()) != std::string::npos; };
        while (!std::ranges::all_of(m_nodes, is_quarantined_at))
            std::this_thread::yield();
    }

    /// Number of requests that have reached engines and match.
    [[nodiscard]] std::size_t arrivals(Predicate const& matches) const
    {
        std::size_t sum = 0;
        for (auto const& backend : m_backends)
            sum += static_cast<std::size_t>(std::ranges::count_if(backend->requests(), matches));
        return sum;
    }
    [[nodiscard]] std::size_t arrivals(std::string_view body) const
    {
        return arrivals([body](auto const& text) { return body_of(text) == body; });
    }

    /// What becomes of engines that crash.
    enum class Supervision {
        RestartAfterPause,
        /// A new run accepts connections before anybody notices the end of the old one.
        RestartAtOnce,
    };
    std::atomic<Supervision> m_supervision {Supervision::RestartAfterPause};
    std::mutex m_mutex;
    /// Engines that were restarted at once and are not listed as new runs yet.
    std::vector<std::size_t> m_restarted;
    /// Whether engines write an event before they crash.
    enum class FirstEvents {
        Never,
        BeforeCrashes,
    };
    std::atomic<FirstEvents> m_first_events {FirstEvents::Never};
    /// What delimits the answers of engines: chunks, or the end of the connection.
    std::atomic<HTTP::Framing> m_framing {HTTP::Framing::Chunked};
    /// Time for which engines read a prompt.
    std::atomic<Core::Milliseconds> m_read_delay {Core::Milliseconds(0)};
    /// Engines answer every so many deadly requests with an error in place of a crash; 0 for none.
    std::atomic<unsigned> m_error_period {0};
    std::atomic<unsigned> m_deadly_arrivals {0};
    Predicate m_is_deadly;
    Core::Milliseconds m_crash_delay;
    std::size_t m_next_gateway {0};
};

}
