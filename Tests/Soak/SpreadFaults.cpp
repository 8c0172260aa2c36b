// The faults of SpreadSoak: what disturbs the gateways, their links and the store.
#include "SpreadSoak.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <array>
#include <numeric>

namespace GraniteField::Testing {

namespace {

constexpr double s_slow_share = 0.02;
constexpr char const* s_freeze = "freeze";
constexpr char const* s_cut_off = "cut off";
constexpr Core::Milliseconds s_stop_limit {20'000};
constexpr unsigned s_shortest_signal_ms = 6'000;
constexpr unsigned s_longest_signal_ms = 12'000;
/// How long a killed process stays away, and at most after a joint fault.
constexpr Core::Milliseconds s_least_down {50};
constexpr Core::Milliseconds s_most_down {1'500};
constexpr Core::Milliseconds s_longest_loss {8'000};
/// Part of the gateways that a joint fault kills at once.
constexpr std::size_t s_killed_percent = 55;

}

SpreadSoak::Indices SpreadSoak::draw_gateways()
{
    Indices indices(m_slots.size());
    std::iota(indices.begin(), indices.end(), 0);
    std::ranges::shuffle(indices, m_random);
    auto const most = std::max<std::size_t>(1, m_slots.size() * 35 / 100);
    indices.resize(1 + m_random() % most);
    return indices;
}

SpreadSoak::Indices SpreadSoak::gateways_with(std::string const& metric) const
{
    Indices found;
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        auto const& slot = m_slots[index];
        if (!slot.is_busy && GatewayFleet::metric(slot.gateway, metric) == 1)
            found.push_back(index);
    }
    return found;
}

void SpreadSoak::disturb(std::string const& what, Indices const& indices, Core::Milliseconds length,
    std::function<void(Slot&)> begin, std::function<void(Slot&)> end)
{
    auto const now = Core::monotonic_now();
    std::vector<std::size_t> numbers;
    for (auto const index : indices) {
        numbers.push_back(m_contact.begin_gateway(index, what, now));
        begin(m_slots[index]);
    }
    m_faults.begin(what, now + length, [this, what, now, indices, numbers, end] {
        for (std::size_t place = 0; place < indices.size(); ++place) {
            end(m_slots[indices[place]]);
            m_contact.end_gateway(indices[place], numbers[place], Core::monotonic_now());
            if (what == s_freeze)
                m_judges.note_freeze(gateway_name(indices[place]), now, Core::monotonic_now());
            if (what == s_cut_off)
                m_judges.note_cut(gateway_name(indices[place]), now, Core::monotonic_now());
        }
    });
}

void SpreadSoak::kill(Indices const& indices, Core::Milliseconds least_down, Core::Milliseconds most_down)
{
    for (auto const index : indices) {
        if (m_slots[index].is_busy)
            continue;
        disturb(
            "kill", {index},
            draw_time(static_cast<unsigned>(least_down.count()), static_cast<unsigned>(most_down.count())),
            [this](Slot& slot) {
                slot.is_busy = true;
                m_shares.forget(slot.gateway.process->id());
                slot.gateway.process->kill();
            },
            [this, index](Slot& slot) {
                start_gateway(index);
                slot.is_busy = false;
            });
    }
}

void SpreadSoak::terminate(Indices const& indices)
{
    auto delay = Core::Milliseconds(0);
    for (auto const index : indices) {
        if (m_slots[index].is_busy)
            continue;
        m_slots[index].is_busy = true;
        m_faults.begin("stop comes", Core::monotonic_now() + delay, [this, index] {
            disturb(
                "stop", {index}, s_stop_limit, [](Slot& slot) { slot.gateway.process->terminate(); }, [](Slot&) {});
        });
        m_faults.begin("start comes", Core::monotonic_now() + delay + Core::Milliseconds(8'500), [this, index] {
            auto& slot = m_slots[index];
            m_shares.forget(slot.gateway.process->id());
            slot.gateway.process->kill();
            start_gateway(index);
            slot.is_busy = false;
        });
        delay += draw_time(0, 1'000);
    }
}

void SpreadSoak::freeze(Indices const& indices)
{
    for (auto const index : indices) {
        if (m_slots[index].is_busy)
            continue;
        disturb(
            s_freeze, {index}, draw_time(100, 5'000),
            [this](Slot& slot) {
                slot.is_busy = true;
                m_shares.forget(slot.gateway.process->id());
                slot.gateway.process->freeze();
            },
            [this](Slot& slot) {
                slot.gateway.process->thaw();
                m_shares.set(slot.gateway.process->id(), slot.share);
                slot.is_busy = false;
            });
    }
}

void SpreadSoak::slow_down(Indices const& indices)
{
    for (auto const index : indices) {
        if (m_slots[index].is_busy)
            continue;
        disturb(
            "slow", {index}, draw_time(1'000, 8'000),
            [this](Slot& slot) {
                slot.is_busy = true;
                m_shares.set(slot.gateway.process->id(), s_slow_share);
            },
            [this](Slot& slot) {
                m_shares.set(slot.gateway.process->id(), slot.share);
                slot.is_busy = false;
            });
    }
}

void SpreadSoak::cut_from_store(Indices const& indices)
{
    using Mode = FaultProxy::Mode;
    static constexpr std::array s_modes {Mode::Freeze, Mode::FreezeAnswers, Mode::FreezeRequests, Mode::Refuse};
    auto const mode = s_modes.at(m_random() % s_modes.size());
    disturb(
        "cut from the store", indices, draw_time(500, 12'000), [mode](Slot& slot) { slot.store->set_mode(mode); },
        [](Slot& slot) {
            slot.store->set_mode(Mode::Pass);
            slot.store->reset_connections();
        });
}

void SpreadSoak::silence_store_for_watchers(Core::Milliseconds length)
{
    disturb(
        "cut from the store", watchers(), length,
        [](Slot& slot) { slot.store->set_mode(FaultProxy::Mode::FreezeAnswers); },
        [](Slot& slot) {
            slot.store->set_mode(FaultProxy::Mode::Pass);
            slot.store->reset_connections();
        });
}

void SpreadSoak::cut_off(Indices const& indices)
{
    using Mode = FaultProxy::Mode;
    bool const ends_with_reset = m_random() % 2 == 0;
    disturb(
        s_cut_off, indices, draw_time(500, 12'000),
        [](Slot& slot) {
            slot.store->set_mode(Mode::Freeze);
            slot.peers->set_mode(Mode::Freeze);
        },
        [ends_with_reset](Slot& slot) {
            slot.store->set_mode(Mode::Pass);
            slot.peers->set_mode(Mode::Pass);
            if (!ends_with_reset)
                return;
            slot.store->reset_connections();
            slot.peers->reset_connections();
        });
}

void SpreadSoak::reset_connections(Indices const& indices)
{
    disturb(
        "reset", indices, Core::Milliseconds(0),
        [](Slot& slot) {
            slot.store->reset_connections();
            slot.peers->reset_connections();
        },
        [](Slot&) {});
}

void SpreadSoak::trouble_store()
{
    using Trouble = ContactBook::StoreTrouble;
    static constexpr std::array s_outages {"busy", "many", "reset", "silent"};
    auto const now = Core::monotonic_now();
    auto const begin = [&](Trouble kind, std::string const& what, Core::Milliseconds length, Json const& switches,
                           Json const& back) {
        auto const number = m_contact.begin_store(kind, what, now);
        m_fleet.control(switches);
        m_faults.begin(what, now + length, [this, number, back] {
            m_fleet.control(back);
            m_contact.end_store(number, Core::monotonic_now());
        });
    };
    switch (m_random() % 4) {
    case 0:
        return begin(Trouble::Away, "store away", draw_time(200, 5'000),
            {{"outage", s_outages.at(m_random() % s_outages.size())}}, {{"outage", ""}});
    case 1:
        return begin(
            Trouble::Away, "store slow", draw_time(500, 5'000), {{"slow-ms", 50 + m_random() % 250}}, {{"slow-ms", 0}});
    case 2:
        return begin(Trouble::Unstable, "store's watches held", draw_time(200, 1'000), {{"hold-watches", true}},
            {{"hold-watches", false}, {"forget-history", true}});
    default:
        return begin(Trouble::Unstable, "store's history gone", Core::Milliseconds(0), {{"forget-history", true}},
            Json::object());
    }
}

void SpreadSoak::begin_rate_limit()
{
    auto const signals = m_backends[m_limit_random() % m_backends.size()]->signals();
    signals->state_limit(s_drawn_rates.at(m_limit_random() % s_drawn_rates.size()));
    auto const length
        = Core::Milliseconds(s_shortest_signal_ms + m_limit_random() % (s_longest_signal_ms - s_shortest_signal_ms));
    m_faults.begin("rate limit", Core::monotonic_now() + length, [signals] { signals->state_limit(std::nullopt); });
}

void SpreadSoak::begin_leaving()
{
    auto& backend = *m_backends[m_leaving_random() % m_backends.size()];
    auto const leaving = backend.instance();
    backend.signals()->state_leaving();
    auto const length
        = Core::Milliseconds(s_shortest_signal_ms + m_leaving_random() % (s_longest_signal_ms - s_shortest_signal_ms));
    m_faults.begin("server states that it leaves", Core::monotonic_now() + length,
        [this, &backend, leaving] { replace(backend, leaving); });
}

void SpreadSoak::begin_backoff()
{
    auto const backoff = s_drawn_backoffs.at(m_backoff_random() % s_drawn_backoffs.size());
    auto const end = Core::monotonic_now() + Core::Milliseconds(500 + m_backoff_random() % 4'000);
    // Now and then of all servers of a service at once.
    bool const reject_all = m_backoff_random() % 4 == 0;
    auto const chosen = m_backoff_random() % m_backends.size();
    auto const first = reject_all ? chosen / m_options.backends * m_options.backends : chosen;
    auto const count = reject_all ? m_options.backends : 1;
    for (auto index = first; index < first + count; ++index) {
        auto const signals = m_backends[index]->signals();
        signals->reject_for(backoff);
        m_faults.begin("backoff", end, [signals] { signals->reject_for(std::nullopt); });
    }
}

void SpreadSoak::begin_fault()
{
    switch (m_random() % 12) {
    case 0:
        return kill(draw_gateways(), s_least_down, s_most_down);
    case 1:
        return terminate(draw_gateways());
    case 2:
        return freeze(draw_gateways());
    case 3:
        return slow_down(draw_gateways());
    case 4:
    case 5:
        return cut_from_store(draw_gateways());
    case 6:
        return cut_from_store(watchers());
    case 7:
    case 8:
        return cut_off(draw_gateways());
    case 9:
        return reset_connections(draw_gateways());
    case 10: {
        auto const& slot = m_slots[m_random() % m_slots.size()];
        if (!slot.is_busy)
            slot.gateway.process->hang_up();
        return;
    }
    default:
        return trouble_store();
    }
}

void SpreadSoak::begin_joint_fault()
{
    auto both = watchers();
    std::ranges::copy(relays(), std::back_inserter(both));
    std::ranges::sort(both);
    both.erase(std::unique(both.begin(), both.end()), both.end());
    Indices all(m_slots.size());
    std::iota(all.begin(), all.end(), 0);
    std::ranges::shuffle(all, m_series_random);
    all.resize(m_slots.size() * s_killed_percent / 100);
    switch (m_series_random() % 7) {
    case 0:
        return kill(watchers(), s_least_down, s_longest_loss);
    case 1:
        return kill(both, s_least_down, s_longest_loss);
    case 2:
        return freeze(watchers());
    case 3:
        return freeze(both);
    case 4:
        return cut_from_store(watchers());
    case 5:
        return kill(all, s_least_down, s_longest_loss);
    default:
        return terminate(both);
    }
}

}
