#pragma once

#include "LoadFleet.h"

#include <LibEntry/WatchElection.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Gateway {

/// A simulated gateway that gets the processor late. It reads its datagrams, and judges who is silent, whenever it
/// runs.
class StarvedGateway {
public:
    StarvedGateway(std::size_t number, Core::MonotonicTime started, bool is_elected)
        : m_node(number, 0, started)
        // The patience of gateways is spread over once to twice the shortest one, as WatchDuty does.
        , m_election({s_silence_timeout + s_silence_timeout * static_cast<int>(number) / 12}, started)
        , m_is_elected(is_elected)
    {
        // All in one failure domain, so that there is one relay.
        m_node.member = {m_node.address, "domain", 100, number};
        m_election.set_elected(is_elected);
    }

    static constexpr Core::Milliseconds s_silence_timeout {750};
    /// Wait of a watch and time limit of its answer.
    static constexpr Core::Milliseconds s_call_limit {800};

    [[nodiscard]] std::string const& address() const { return m_node.address; }
    [[nodiscard]] Entry::LoadMember const& member() const { return m_node.member; }
    [[nodiscard]] bool is_alive() const { return m_node.is_alive; }
    [[nodiscard]] bool is_elected() const { return m_is_elected; }
    [[nodiscard]] bool is_watching() const { return m_node.is_alive && m_is_watching; }
    [[nodiscard]] unsigned takeovers() const { return m_takeovers; }
    [[nodiscard]] unsigned relay_changes() const { return m_relay_changes; }
    [[nodiscard]] Core::MonotonicTime next_run() const { return m_next_run; }
    [[nodiscard]] Core::Milliseconds interval() const
    {
        using WatchesStore = LoadSharing::WatchesStore;
        return m_node.sharing.interval(m_is_watching ? WatchesStore::Yes : WatchesStore::No);
    }
    void set_next_run(Core::MonotonicTime time) { m_next_run = time; }
    void kill() { m_node.is_alive = false; }
    void set_members(Entry::LoadMembers const& members) { m_node.sharing.set_members(members); }
    void deliver(std::string from, std::shared_ptr<std::string const> bytes, Core::MonotonicTime now)
    {
        m_inbox.push_back({std::move(from), std::move(bytes), now});
    }

    std::vector<OutgoingDatagram> run(Core::MonotonicTime now)
    {
        LoadSharing::Datagram datagram;
        for (auto const& waiting : std::exchange(m_inbox, {})) {
            EXPECT_TRUE(datagram.ParseFromString(*waiting.bytes));
            m_node.sharing.receive(datagram, waiting.from, now, Core::elapsed(waiting.arrived, now));
        }
        m_election.note_tick(now);
        m_election.note_report(m_node.sharing.take_store_report(), now);
        watch_if_on_duty(now);
        m_node.sharing.set_store_report(m_election.report(now));
        auto outgoing = m_node.sharing.tick({}, now);
        m_relay_changes += std::exchange(m_relay, m_node.sharing.relay()) != m_node.sharing.relay() ? 1 : 0;
        return outgoing;
    }

private:
    /// A datagram in the socket's buffer.
    struct Waiting {
        std::string from;
        std::shared_ptr<std::string const> bytes;
        Core::MonotonicTime arrived;
    };

    void watch_if_on_duty(Core::MonotonicTime now)
    {
        bool const is_on_duty = m_election.is_on_duty(now);
        bool const has_started = !std::exchange(m_is_watching, is_on_duty) && is_on_duty;
        m_takeovers += has_started && !m_is_elected ? 1 : 0;
        if (!is_on_duty)
            return;
        for (auto const watch : {Entry::WatchElection::Watch::Table, Entry::WatchElection::Watch::Servers}) {
            m_election.note_call(watch, now + s_call_limit);
            m_election.note_answer(watch);
        }
    }

    Node m_node;
    Entry::WatchElection m_election;
    bool m_is_elected;
    bool m_is_watching {false};
    unsigned m_takeovers {0};
    unsigned m_relay_changes {0};
    std::string m_relay;
    Core::MonotonicTime m_next_run;
    std::vector<Waiting> m_inbox;
};

/// A failure domain whose hosts' processors are taken by others: a gateway that is due waits for a drawn time before it
/// runs.
class StarvedFleet {
public:
    static constexpr std::size_t s_count = 12;
    static constexpr std::size_t s_watchers = 2;

    /// `mean_wait` is the mean of the exponentially distributed wait for a processor.
    StarvedFleet(unsigned seed, Core::Milliseconds mean_wait)
        : m_random(seed)
        , m_mean_wait(mean_wait)
    {
        for (std::size_t number = 0; number < s_count; ++number)
            m_gateways.push_back(std::make_unique<StarvedGateway>(number, m_now, number >= s_count - s_watchers));
        for (auto& gateway : m_gateways) {
            Entry::LoadMembers members {gateway->member(), {}};
            for (auto const& other : m_gateways) {
                if (other != gateway)
                    members.peers.push_back(other->member());
            }
            gateway->set_members(members);
            gateway->set_next_run(m_now + draw_wait());
        }
    }

    void set_mean_wait(Core::Milliseconds value) { m_mean_wait = value; }
    [[nodiscard]] Core::MonotonicTime now() const { return m_now; }

    void advance(Core::Milliseconds duration)
    {
        for (auto const end = m_now + duration; m_now < end; m_now += s_step) {
            for (auto& gateway : m_gateways) {
                if (gateway->is_alive() && m_now >= gateway->next_run())
                    run(*gateway);
            }
        }
    }

    void kill_elected()
    {
        for (auto& gateway : m_gateways) {
            if (gateway->is_elected())
                gateway->kill();
        }
    }

    [[nodiscard]] std::size_t count_watching() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_gateways, [](auto const& gateway) { return gateway->is_watching(); }));
    }
    [[nodiscard]] unsigned takeovers() const { return sum(&StarvedGateway::takeovers); }
    [[nodiscard]] unsigned relay_changes() const { return sum(&StarvedGateway::relay_changes); }
    [[nodiscard]] std::size_t sent() const { return m_sent; }

private:
    [[nodiscard]] unsigned sum(unsigned (StarvedGateway::*count)() const) const
    {
        unsigned total = 0;
        for (auto const& gateway : m_gateways)
            total += (*gateway.*count)();
        return total;
    }

    Core::Milliseconds draw_wait()
    {
        if (m_mean_wait.count() == 0)
            return Core::Milliseconds(0);
        std::exponential_distribution<double> wait(1.0 / static_cast<double>(m_mean_wait.count()));
        return Core::Milliseconds(static_cast<std::int64_t>(wait(m_random)));
    }

    void run(StarvedGateway& gateway)
    {
        for (auto const& outgoing : gateway.run(m_now)) {
            ++m_sent;
            auto const target = std::ranges::find(m_gateways, outgoing.address, &StarvedGateway::address);
            (*target)->deliver(gateway.address(), outgoing.bytes, m_now);
        }
        gateway.set_next_run(m_now + gateway.interval() + draw_wait());
    }

    std::mt19937 m_random;
    Core::Milliseconds m_mean_wait;
    Core::MonotonicTime m_now {s_start};
    std::vector<std::unique_ptr<StarvedGateway>> m_gateways;
    std::size_t m_sent {0};
};

}
