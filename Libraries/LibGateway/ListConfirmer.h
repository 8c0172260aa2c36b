#pragma once

#include <LibCore/Time.h>
#include <LibEntry/SharedServers.h>
#include <LibGateway/ListConfirmation.h>
#include <LibObserve/EventLog.h>
#include <LibObserve/Metrics.h>
#include <LibObserve/UnexpectedFailures.h>
#include <LibPlatform/Objects.h>
#include <LibPlatform/UnreadableNames.h>

#include <exception>
#include <functional>
#include <string>
#include <utility>

namespace GraniteField::Gateway {

/// Asks the store what has changed since the newest list of servers that this gateway has. Used by one thread.
template <typename Store>
class ListConfirmer {
public:
    /// Shortest time between two calls.
    static constexpr Core::Milliseconds s_min_interval {100};

    struct Settings {
        /// Kind of the objects that describe servers.
        std::string kind;
        /// Throws if the object describes no server.
        std::function<Entry::ServerEntry(Platform::Object const&)> read_server;
        std::function<Core::MonotonicTime()> now {Core::monotonic_now};
    };

    ListConfirmer(Settings settings, ListConfirmation& confirmation, Entry::SharedServers const& servers, Store& store,
        Observe::EventLog& log, Observe::MetricRegistry& metrics)
        : m_settings(std::move(settings))
        , m_confirmation(confirmation)
        , m_servers(servers)
        , m_store(store)
        , m_log(log)
        , m_unexpected("confirm", log, metrics)
        , m_calls(metrics.counter("granitefield_store_calls_total", {{"call", "confirm"}, {"kind", m_settings.kind}}))
    {
    }

    /// Serves requests until the confirmation is stopped.
    void run()
    {
        while (m_confirmation.wait_for_request()) {
            try {
                confirm();
            } catch (std::exception const& error) {
                m_unexpected.note(error);
            }
            m_confirmation.pause(s_min_interval);
        }
    }

    void confirm()
    {
        auto const list = m_servers.settled();
        if (!list)
            return log_failure("there is no list yet");
        // Taken before the call, since the process may stand still before it reads the answer.
        ListConfirmation::Result result {m_settings.now(), list->revision, {}};
        try {
            m_calls.add();
            Platform::StoreRevision const since(list->revision.value());
            auto const answer = m_store.watch(m_settings.kind, since, Core::Milliseconds(0));
            for (auto const& event : answer.events) {
                if (event.kind == Platform::EventKind::Changed)
                    add_server(event.object, result);
            }
            // A watch may hide changes for a moment while it claims a later revision; a list does not.
            if (answer.revision > since)
                add_listed_servers(result);
        } catch (Platform::HistoryGone const& error) {
            return log_failure(error.what());
        } catch (Platform::PlatformUnavailable const& error) {
            return log_failure(error.what());
        }
        m_confirmation.confirm(std::move(result));
    }

private:
    void add_server(Platform::Object const& object, ListConfirmation::Result& result)
    {
        try {
            auto server = m_settings.read_server(object);
            result.served.push_back({std::move(server.service), std::move(server.software_version)});
        } catch (std::exception const& error) {
            // No gateway sends requests to a server whose entry it cannot read.
            if (!m_unreadable.add(object.name))
                return;
            m_log.write(
                Observe::LogEvent("list-entry-unreadable").add("instance", object.name).add("reason", error.what()));
        }
    }

    void add_listed_servers(ListConfirmation::Result& result)
    {
        m_calls.add();
        for (auto const& object : m_store.list(m_settings.kind).objects)
            add_server(object, result);
    }

    void log_failure(std::string_view reason) const
    {
        m_log.write(Observe::LogEvent("list-unconfirmed").add("reason", reason));
    }

    Settings m_settings;
    ListConfirmation& m_confirmation;
    Entry::SharedServers const& m_servers;
    Store& m_store;
    Observe::EventLog& m_log;
    Observe::UnexpectedFailures m_unexpected;
    Platform::UnreadableNames m_unreadable;
    Observe::Counter& m_calls;
};

}
