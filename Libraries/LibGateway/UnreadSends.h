#pragma once

#include <LibCore/Address.h>
#include <LibCore/Time.h>
#include <LibPolicy/RetryCharge.h>

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Gateway {

/// Requests that were abandoned before their server answered, and the charges of their repeated sends. The server's
/// kernel keeps a request after its connection was closed, so a process that was paused or starved reads it when it
/// runs again. The charges are kept until then. On the gateway's thread.
class UnreadSends {
public:
    /// Time after which an abandoned request is expected to be lost: longer than a process is paused while its server
    /// stays in use.
    static constexpr Core::Milliseconds s_max_age {60'000};

    /// The request was sent to the address at that time and abandoned.
    void add(Core::Address const& address, Core::MonotonicTime sent, std::vector<Policy::RetryCharge> charges)
    {
        m_sends[address.to_string()].push_back({sent, std::move(charges)});
    }

    /// The address answered a request that was sent at that time. Connections are accepted in the order in which they
    /// are opened, so everything sent before has been read, or was lost with an earlier process.
    void note_answered(Core::Address const& address, Core::MonotonicTime sent)
    {
        if (m_sends.empty())
            return;
        auto const found = m_sends.find(address.to_string());
        if (found != m_sends.end())
            drop_sent_before(found, sent);
    }

    void drop_expired(Core::MonotonicTime now)
    {
        for (auto place = m_sends.begin(); place != m_sends.end();)
            place = drop_sent_before(place, now - s_max_age);
    }

    [[nodiscard]] std::size_t count() const
    {
        std::size_t sum = 0;
        for (auto const& [address, sends] : m_sends)
            sum += sends.size();
        return sum;
    }

private:
    struct Send {
        Core::MonotonicTime sent;
        std::vector<Policy::RetryCharge> charges;
    };
    using Sends = std::map<std::string, std::vector<Send>>;

    Sends::iterator drop_sent_before(Sends::iterator place, Core::MonotonicTime time)
    {
        std::erase_if(place->second, [time](Send const& send) { return send.sent < time; });
        return place->second.empty() ? m_sends.erase(place) : std::next(place);
    }

    /// By address.
    Sends m_sends;
};

}
