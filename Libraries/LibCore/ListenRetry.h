#pragma once

#include <LibCore/Address.h>
#include <LibCore/Time.h>

#include <concepts>
#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

namespace GraniteField::Core {

/// Listens on an address as soon as that is possible. Another process may still hold the port, or the address may
/// belong to an interface that is not up yet. By default a failure to listen is final.
class ListenRetry {
public:
    /// Time between two attempts.
    static constexpr Milliseconds s_interval {100};

    struct Events {
        /// Waits until the next attempt; throws to give up.
        std::function<void(Milliseconds)> pause;
        /// Reports, once, that the first attempt has failed.
        std::function<void(Address const&, std::string const& reason)> on_waiting;
        /// Reports the success after a wait.
        std::function<void(Address const&, Milliseconds waited)> on_listening;
    };

    ListenRetry() = default;
    explicit ListenRetry(Events events)
        : m_events(std::move(events))
    {
    }

    /// Calls `listen`, which throws if the address can't be had, until it succeeds, and returns its result.
    template <std::invocable Listen>
    std::invoke_result_t<Listen> listen(Address const& address, Listen const& listen) const
    {
        if (!m_events)
            return listen();
        std::optional<MonotonicTime> waiting_since;
        while (true) {
            if (auto result = attempt(address, listen, waiting_since))
                return std::move(*result);
            m_events->pause(s_interval);
        }
    }

private:
    template <std::invocable Listen>
    std::optional<std::invoke_result_t<Listen>> attempt(
        Address const& address, Listen const& listen, std::optional<MonotonicTime>& waiting_since) const
    {
        try {
            std::optional<std::invoke_result_t<Listen>> result(listen());
            if (waiting_since)
                m_events->on_listening(address, elapsed(*waiting_since, monotonic_now()));
            return result;
        } catch (std::exception const& error) {
            if (!waiting_since) {
                waiting_since = monotonic_now();
                m_events->on_waiting(address, error.what());
            }
            return std::nullopt;
        }
    }

    std::optional<Events> m_events;
};

}
