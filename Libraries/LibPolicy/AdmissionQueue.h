#pragma once

#include <LibCore/Text.h>
#include <LibPolicy/Discipline.h>
#include <LibPolicy/FairShare.h>
#include <LibPolicy/FloorAccount.h>
#include <LibPolicy/Work.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>

namespace GraniteField::Policy {

struct QueueLimits {
    /// Maximum number of running attempts.
    unsigned slots {1};
    /// Maximum number of waiting attempts of all tiers.
    unsigned queue_limit {64};
    /// Number of slots reserved for the urgent tier.
    unsigned headroom_slots {0};
};

enum class StartReason {
    /// First in the order of tiers and deadlines.
    Order,
    /// The floor of its class entitled it to a slot.
    Floor,
};

struct Start {
    Work work;
    StartReason reason {StartReason::Order};
};

/// Result of offering an attempt to the queue.
struct OfferResult {
    /// Reason for the refusal, or nullopt if the attempt was queued.
    std::optional<Refusal> refusal;
    /// Delay after which a retry of the refused or displaced attempt is likely to succeed.
    Core::Milliseconds retry_after {0};
    /// Waiting attempt of a lower tier that was removed for this one.
    std::optional<Work> displaced;
};

/// Waiting attempt that reached its deadline.
struct Expiry {
    Work work;
    Refusal refusal {Refusal::Deadline};
};

/// Admission control and scheduling for the slots of one backend server: decides which attempts start, wait or are
/// refused.
///
/// With a discipline that has tiers, no attempt starts by order while one of a higher tier waits and could start. When
/// the queue is full, a new attempt displaces the last attempt of the lowest tier if that tier is lower than its own,
/// so an attempt is never refused while one of a lower tier waits. Floors delay higher tiers by at most the floors'
/// share of the slots and never displace an attempt.
///
/// No clock and no I/O. Each operation costs O(log n) in the number of waiting attempts and O(c) in the number of
/// classes with a floor.
template <Discipline Rules>
class AdmissionQueue {
public:
    explicit AdmissionQueue(QueueLimits limits)
        : m_limits(limits)
    {
    }

    [[nodiscard]] OfferResult offer(Work, Core::MonotonicTime now);
    /// Starts the next attempt, or returns nullopt. Call repeatedly until it returns nullopt.
    [[nodiscard]] std::optional<Start> next(Core::MonotonicTime now);
    /// Releases the slot of a running attempt.
    void finish(AttemptKey const&, Core::MonotonicTime now);
    /// Returns a running attempt to suspend so that one of a higher tier meets its target. It keeps its slot until
    /// suspend() or finish(). Call repeatedly until it returns nullopt.
    [[nodiscard]] std::optional<AttemptKey> next_preemption(Core::MonotonicTime now);
    /// Requeues a suspended attempt at its former position. It does not count towards the queue limit.
    void suspend(AttemptKey const&, Core::MonotonicTime now);
    /// Removes a waiting attempt. Returns nullopt if it is not waiting.
    std::optional<Work> withdraw(AttemptKey const&, Core::MonotonicTime now);
    /// Removes and returns the attempts that reached their deadline.
    [[nodiscard]] std::vector<Expiry> expire(Core::MonotonicTime now);
    /// Time of the next call to next() or expire() that is needed without any other event.
    [[nodiscard]] std::optional<Core::MonotonicTime> next_wakeup() const;

    [[nodiscard]] bool is_waiting(AttemptKey const& key) const { return m_waiting.contains(key); }
    [[nodiscard]] std::size_t suspended_count() const { return m_suspended_count; }
    [[nodiscard]] std::size_t waiting_count() const { return m_waiting.size(); }
    [[nodiscard]] std::size_t waiting_count(unsigned tier) const { return m_tiers.at(tier - 1).waiting.size(); }
    [[nodiscard]] std::size_t waiting_count(std::string const& request_class) const;
    [[nodiscard]] std::size_t running_count() const { return m_running.size(); }
    [[nodiscard]] QueueLimits const& limits() const { return m_limits; }

    /// Predicted wait for a slot of a new attempt of this tier.
    [[nodiscard]] Core::Milliseconds expected_wait(unsigned tier) const;
    /// Moving mean of the time for which attempts hold a slot.
    [[nodiscard]] Core::Milliseconds mean_service() const
    {
        return Core::Milliseconds(static_cast<std::int64_t>(m_mean_service_milliseconds));
    }

private:
    /// Position in the order of a tier or a class. Ties are broken by arrival.
    struct OrderKey {
        Core::MonotonicTime time;
        std::uint64_t arrival {0};

        auto operator<=>(OrderKey const&) const = default;
    };

    using Order = std::map<OrderKey, AttemptKey>;

    struct Waiting {
        Work work;
        OrderKey order;
        Core::MonotonicTime expires;
        FairShare::VirtualTime entered_at {0};
        FairShare::VirtualTime lead {0};
        bool is_suspended {false};
        unsigned suspensions {0};
    };

    struct Running {
        /// Kept so that the attempt can be requeued when it is suspended.
        Waiting queue_entry;
        Core::MonotonicTime started;
        std::optional<FloorAccount::SlotTime> charged;
        bool is_being_suspended {false};
    };

    struct Tier {
        Order waiting;
        FairShare fair_share;
    };

    struct ClassState {
        Order waiting;
        FloorAccount floor;
        unsigned floor_percent {0};
        /// Number of running attempts that the floor started.
        unsigned floor_running {0};
    };

    /// Weight of a new sample in the moving mean of service times.
    static constexpr double s_mean_gain = 0.05;
    static constexpr Core::Milliseconds s_min_retry_after {50};
    static constexpr unsigned s_max_suspensions = 3;

    [[nodiscard]] static unsigned tier_of(Work const& work) { return Rules::has_tiers ? work.tier : s_urgent_tier; }
    [[nodiscard]] unsigned free_slots() const
    {
        return m_limits.slots - std::min<unsigned>(m_limits.slots, static_cast<unsigned>(m_running.size()));
    }
    [[nodiscard]] unsigned free_slots_for(unsigned tier, unsigned reserved) const;
    [[nodiscard]] unsigned reserved_slots(Core::MonotonicTime now);
    [[nodiscard]] std::size_t spare_slots(unsigned tier, Core::MonotonicTime now);
    [[nodiscard]] bool can_start_at_once(Work const&, Core::MonotonicTime now);
    [[nodiscard]] bool is_target_out_of_reach(Work const&, Core::MonotonicTime now) const;
    [[nodiscard]] OfferResult refuse(Work const&, Refusal, Core::MonotonicTime now);
    [[nodiscard]] Core::Milliseconds retry_after(Work const&, Core::MonotonicTime now) const;
    [[nodiscard]] std::optional<Work> displace_below(unsigned tier, Core::MonotonicTime now);
    void enqueue(Work, Core::MonotonicTime now);
    void insert(Waiting, Core::MonotonicTime now);
    Waiting remove(AttemptKey const&, Core::MonotonicTime now);
    void release_slot(Running const&, Core::MonotonicTime now);
    [[nodiscard]] bool is_about_to_miss_target(Work const&, Core::MonotonicTime now) const;
    [[nodiscard]] Running* choose_victim(unsigned tier);
    Start start(AttemptKey const&, StartReason, Core::MonotonicTime now);
    [[nodiscard]] std::optional<AttemptKey> first_by_floor(Core::MonotonicTime now);
    [[nodiscard]] std::optional<AttemptKey> first_by_order(unsigned reserved) const;
    ClassState& class_state(Work const&);

    QueueLimits m_limits;
    std::array<Tier, s_tier_count> m_tiers;
    absl::node_hash_map<std::string, ClassState> m_classes;
    absl::node_hash_map<AttemptKey, Waiting> m_waiting;
    std::set<std::pair<Core::MonotonicTime, AttemptKey>> m_expiries;
    absl::flat_hash_map<AttemptKey, Running> m_running;
    std::size_t m_suspended_count {0};
    /// Number of attempts that are being suspended and still hold their slots.
    std::size_t m_suspending_count {0};
    std::uint64_t m_arrivals {0};
    double m_mean_service_milliseconds {0};
};

template <Discipline Rules>
auto AdmissionQueue<Rules>::class_state(Work const& work) -> ClassState&
{
    auto& state = m_classes[work.request_class];
    // The floor of a class may change with the table version.
    if (Rules::has_floors && state.floor_percent != work.floor_percent) {
        state.floor_percent = work.floor_percent;
        state.floor.set_share(m_limits.slots * work.floor_percent / 100.0);
    }
    return state;
}

template <Discipline Rules>
unsigned AdmissionQueue<Rules>::free_slots_for(unsigned tier, unsigned reserved) const
{
    auto const headroom = Rules::has_tiers && tier != s_urgent_tier ? m_limits.headroom_slots : 0;
    auto const unavailable = headroom + reserved;
    return free_slots() - std::min(free_slots(), unavailable);
}

template <Discipline Rules>
unsigned AdmissionQueue<Rules>::reserved_slots(Core::MonotonicTime now)
{
    if constexpr (!Rules::has_floors)
        return 0;
    unsigned reserved = 0;
    for (auto& [name, state] : m_classes) {
        if (state.floor_percent == 0)
            continue;
        state.floor.update(now);
        if (state.floor.is_holding_slot(now, free_slots() > reserved))
            ++reserved;
    }
    return reserved;
}

template <Discipline Rules>
std::size_t AdmissionQueue<Rules>::spare_slots(unsigned tier, Core::MonotonicTime now)
{
    // Higher tiers take free slots first. Attempts that arrived together and have not started yet will leave the queue
    // for these slots.
    std::size_t above = 0;
    for (unsigned higher = 1; higher < tier; ++higher)
        above += m_tiers[higher - 1].waiting.size();
    auto const free = free_slots_for(tier, reserved_slots(now));
    return free - std::min<std::size_t>(free, above);
}

template <Discipline Rules>
bool AdmissionQueue<Rules>::can_start_at_once(Work const& work, Core::MonotonicTime now)
{
    auto const reserved = reserved_slots(now);
    auto& state = class_state(work);
    bool const is_owed_a_slot = state.floor.is_owed() && free_slots() > 0 && state.waiting.empty()
        && state.floor_running < state.floor.max_running();
    if (is_owed_a_slot)
        return true;
    for (unsigned tier = 1; tier <= tier_of(work); ++tier) {
        if (!m_tiers[tier - 1].waiting.empty())
            return false;
    }
    return free_slots_for(tier_of(work), reserved) > 0;
}

template <Discipline Rules>
Core::Milliseconds AdmissionQueue<Rules>::expected_wait(unsigned tier) const
{
    auto const own_tier = Rules::has_tiers ? tier : s_urgent_tier;
    std::size_t ahead = 0;
    for (unsigned other = 1; other <= own_tier; ++other)
        ahead += m_tiers[other - 1].waiting.size();
    if (ahead == 0 && free_slots_for(own_tier, 0) > 0)
        return Core::Milliseconds(0);
    auto const rounds = static_cast<double>(ahead + 1) / m_limits.slots;
    return Core::Milliseconds(static_cast<std::int64_t>(rounds * m_mean_service_milliseconds));
}

template <Discipline Rules>
bool AdmissionQueue<Rules>::is_target_out_of_reach(Work const& work, Core::MonotonicTime now) const
{
    if (!Rules::has_deadlines || !work.should_refuse_late)
        return false;
    return now + expected_wait(work.tier) + work.expected_first_token > work.target;
}

template <Discipline Rules>
Core::Milliseconds AdmissionQueue<Rules>::retry_after(Work const& work, Core::MonotonicTime now) const
{
    // The queue must drain until the predicted wait fits into the time before the target.
    auto const wait = expected_wait(work.tier);
    auto const budget = std::chrono::duration_cast<Core::Milliseconds>(work.target - now) - work.expected_first_token;
    auto const excess = wait - std::clamp(budget, Core::Milliseconds(0), wait);
    auto const per_place = Core::Milliseconds(static_cast<std::int64_t>(m_mean_service_milliseconds / m_limits.slots));
    return std::max({excess, per_place, s_min_retry_after});
}

template <Discipline Rules>
OfferResult AdmissionQueue<Rules>::refuse(Work const& work, Refusal refusal, Core::MonotonicTime now)
{
    class_state(work).floor.note_unmet_demand(now);
    return {refusal, retry_after(work, now), std::nullopt};
}

template <Discipline Rules>
std::optional<Work> AdmissionQueue<Rules>::displace_below(unsigned tier, Core::MonotonicTime now)
{
    for (unsigned lower = s_tier_count; lower > tier; --lower) {
        auto const& waiting = m_tiers[lower - 1].waiting;
        // Suspended attempts have started: they do not count towards the queue limit and are not displaced.
        auto const last = std::find_if(waiting.rbegin(), waiting.rend(),
            [this](auto const& item) { return !m_waiting.at(item.second).is_suspended; });
        if (last == waiting.rend())
            continue;
        auto const key = last->second;
        auto work = remove(key, now).work;
        class_state(work).floor.note_unmet_demand(now);
        return work;
    }
    return std::nullopt;
}

template <Discipline Rules>
OfferResult AdmissionQueue<Rules>::offer(Work work, Core::MonotonicTime now)
{
    if (can_start_at_once(work, now)) {
        enqueue(std::move(work), now);
        return {};
    }
    auto const class_waiting = class_state(work).waiting.size();
    if (work.class_queue_limit != 0 && class_waiting >= work.class_queue_limit)
        return refuse(work, Refusal::ClassQueueFull, now);
    if (is_target_out_of_reach(work, now))
        return refuse(work, Refusal::TargetOutOfReach, now);
    OfferResult offer;
    if (m_waiting.size() - m_suspended_count >= m_limits.queue_limit + spare_slots(tier_of(work), now)) {
        offer.displaced = displace_below(tier_of(work), now);
        if (!offer.displaced)
            return refuse(work, Refusal::QueueFull, now);
        offer.retry_after = retry_after(*offer.displaced, now);
    }
    enqueue(std::move(work), now);
    return offer;
}

template <Discipline Rules>
void AdmissionQueue<Rules>::enqueue(Work work, Core::MonotonicTime now)
{
    Waiting waiting;
    auto& tier = m_tiers[tier_of(work) - 1];
    waiting.order = {now, ++m_arrivals};
    if constexpr (Rules::has_deadlines) {
        waiting.entered_at = tier.fair_share.virtual_time();
        waiting.lead = tier.fair_share.enter(Core::concat(work.request_class, "/", work.workspace),
            work.class_weight * work.workspace_weight, work.expected_service);
        waiting.order.time = work.target + std::chrono::duration_cast<Core::MonotonicTime::duration>(waiting.lead);
    }
    waiting.expires = work.start_deadline;
    if (Rules::has_deadlines && work.should_refuse_late)
        waiting.expires = std::min(waiting.expires, work.target - work.expected_first_token);
    waiting.work = std::move(work);
    insert(std::move(waiting), now);
}

template <Discipline Rules>
void AdmissionQueue<Rules>::insert(Waiting waiting, Core::MonotonicTime now)
{
    auto const key = waiting.work.key;
    auto& state = class_state(waiting.work);
    m_tiers[tier_of(waiting.work) - 1].waiting.emplace(waiting.order, key);
    state.waiting.emplace(waiting.order, key);
    state.floor.note_waiting(now, true);
    m_suspended_count += waiting.is_suspended ? 1 : 0;
    m_expiries.emplace(waiting.expires, key);
    m_waiting.emplace(key, std::move(waiting));
}

template <Discipline Rules>
auto AdmissionQueue<Rules>::remove(AttemptKey const& key, Core::MonotonicTime now) -> Waiting
{
    auto node = m_waiting.extract(key);
    auto& waiting = node.mapped();
    m_tiers[tier_of(waiting.work) - 1].waiting.erase(waiting.order);
    auto& state = class_state(waiting.work);
    state.waiting.erase(waiting.order);
    state.floor.note_waiting(now, !state.waiting.empty());
    m_expiries.erase({waiting.expires, key});
    m_suspended_count -= waiting.is_suspended ? 1 : 0;
    return std::move(waiting);
}

template <Discipline Rules>
std::optional<AttemptKey> AdmissionQueue<Rules>::first_by_floor(Core::MonotonicTime now)
{
    if constexpr (!Rules::has_floors)
        return std::nullopt;
    ClassState* most_owed = nullptr;
    for (auto& [name, state] : m_classes) {
        if (state.waiting.empty() || state.floor_running >= state.floor.max_running())
            continue;
        state.floor.update(now);
        bool const is_more_owed = most_owed == nullptr || state.floor.balance() > most_owed->floor.balance();
        if (state.floor.is_owed() && is_more_owed)
            most_owed = &state;
    }
    if (most_owed == nullptr)
        return std::nullopt;
    return most_owed->waiting.begin()->second;
}

template <Discipline Rules>
std::optional<AttemptKey> AdmissionQueue<Rules>::first_by_order(unsigned reserved) const
{
    for (unsigned tier = 1; tier <= s_tier_count; ++tier) {
        auto const& waiting = m_tiers[tier - 1].waiting;
        if (!waiting.empty() && free_slots_for(tier, reserved) > 0)
            return waiting.begin()->second;
    }
    return std::nullopt;
}

template <Discipline Rules>
Start AdmissionQueue<Rules>::start(AttemptKey const& key, StartReason reason, Core::MonotonicTime now)
{
    auto waiting = remove(key, now);
    m_tiers[tier_of(waiting.work) - 1].fair_share.start(waiting.entered_at, waiting.lead);
    Start start {waiting.work, reason};
    auto& state = class_state(waiting.work);
    state.floor.end_hold();
    Running running {std::move(waiting), now, std::nullopt, false};
    if (reason == StartReason::Floor) {
        running.charged = FloorAccount::SlotTime(start.work.expected_service);
        state.floor.charge(*running.charged);
        ++state.floor_running;
    }
    m_running.emplace(key, std::move(running));
    return start;
}

template <Discipline Rules>
std::optional<Start> AdmissionQueue<Rules>::next(Core::MonotonicTime now)
{
    if (free_slots() == 0 || m_waiting.empty())
        return std::nullopt;
    auto const by_order = first_by_order(reserved_slots(now));
    auto const by_floor = first_by_floor(now);
    // A start by order is not charged to the floor.
    if (by_floor && by_floor != by_order)
        return start(*by_floor, StartReason::Floor, now);
    if (by_order)
        return start(*by_order, StartReason::Order, now);
    return std::nullopt;
}

template <Discipline Rules>
void AdmissionQueue<Rules>::finish(AttemptKey const& key, Core::MonotonicTime now)
{
    auto const found = m_running.find(key);
    if (found == m_running.end())
        return;
    release_slot(found->second, now);
    auto const milliseconds = std::chrono::duration<double, std::milli>(now - found->second.started).count();
    if (m_mean_service_milliseconds == 0)
        m_mean_service_milliseconds = milliseconds;
    m_mean_service_milliseconds += s_mean_gain * (milliseconds - m_mean_service_milliseconds);
    m_running.erase(found);
}

template <Discipline Rules>
void AdmissionQueue<Rules>::release_slot(Running const& running, Core::MonotonicTime now)
{
    m_suspending_count -= running.is_being_suspended ? 1 : 0;
    if (!running.charged)
        return;
    auto& state = class_state(running.queue_entry.work);
    state.floor.settle(*running.charged, std::chrono::duration_cast<FloorAccount::SlotTime>(now - running.started));
    --state.floor_running;
}

template <Discipline Rules>
bool AdmissionQueue<Rules>::is_about_to_miss_target(Work const& work, Core::MonotonicTime now) const
{
    // Mean time between two slots becoming free.
    Core::Milliseconds const next_slot(static_cast<std::int64_t>(m_mean_service_milliseconds / m_limits.slots));
    return now + next_slot + work.expected_first_token >= work.target;
}

template <Discipline Rules>
auto AdmissionQueue<Rules>::choose_victim(unsigned tier) -> Running*
{
    Running* victim = nullptr;
    for (auto& [key, running] : m_running) {
        auto const& work = running.queue_entry.work;
        // Attempts started by a floor are not preempted, since this would defeat the floor.
        bool const is_eligible = work.tier > tier && work.is_preemptible && !running.charged
            && !running.is_being_suspended && running.queue_entry.suspensions < s_max_suspensions;
        if (!is_eligible)
            continue;
        // Prefer the lowest tier, then the attempt that started last.
        auto const rank = std::pair(work.tier, running.started);
        if (victim == nullptr || rank > std::pair(victim->queue_entry.work.tier, victim->started))
            victim = &running;
    }
    return victim;
}

template <Discipline Rules>
std::optional<AttemptKey> AdmissionQueue<Rules>::next_preemption(Core::MonotonicTime now)
{
    if (!Rules::has_preemption || free_slots() > 0)
        return std::nullopt;
    for (unsigned tier = 1; tier < s_tier_count; ++tier) {
        auto const& waiting = m_tiers[tier - 1].waiting;
        if (waiting.empty())
            continue;
        // Each suspension in progress frees a slot for one of the waiting attempts of this tier.
        if (m_suspending_count >= waiting.size())
            return std::nullopt;
        auto const& next = *std::next(waiting.begin(), static_cast<std::ptrdiff_t>(m_suspending_count));
        if (!is_about_to_miss_target(m_waiting.at(next.second).work, now))
            return std::nullopt;
        auto* victim = choose_victim(tier);
        if (victim == nullptr)
            return std::nullopt;
        victim->is_being_suspended = true;
        ++m_suspending_count;
        return victim->queue_entry.work.key;
    }
    return std::nullopt;
}

template <Discipline Rules>
void AdmissionQueue<Rules>::suspend(AttemptKey const& key, Core::MonotonicTime now)
{
    auto const found = m_running.find(key);
    if (found == m_running.end())
        return;
    release_slot(found->second, now);
    auto waiting = std::move(found->second.queue_entry);
    m_running.erase(found);
    waiting.is_suspended = true;
    ++waiting.suspensions;
    // Limits on the waiting time apply only before the first start.
    waiting.expires = Core::MonotonicTime::max();
    insert(std::move(waiting), now);
}

template <Discipline Rules>
std::optional<Work> AdmissionQueue<Rules>::withdraw(AttemptKey const& key, Core::MonotonicTime now)
{
    if (!m_waiting.contains(key))
        return std::nullopt;
    return remove(key, now).work;
}

template <Discipline Rules>
std::vector<Expiry> AdmissionQueue<Rules>::expire(Core::MonotonicTime now)
{
    std::vector<Expiry> expired;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        auto const key = m_expiries.begin()->second;
        auto work = remove(key, now).work;
        auto const refusal = work.start_deadline <= now ? Refusal::Deadline : Refusal::TargetOutOfReach;
        class_state(work).floor.note_unmet_demand(now);
        expired.push_back({std::move(work), refusal});
    }
    return expired;
}

template <Discipline Rules>
std::optional<Core::MonotonicTime> AdmissionQueue<Rules>::next_wakeup() const
{
    std::optional<Core::MonotonicTime> wake;
    if (!m_expiries.empty() && m_expiries.begin()->first != Core::MonotonicTime::max())
        wake = m_expiries.begin()->first;
    for (auto const& [name, state] : m_classes) {
        auto const hold_end = state.floor.hold_end();
        if (hold_end && (!wake || *hold_end < *wake))
            wake = hold_end;
    }
    return wake;
}

template <Discipline Rules>
std::size_t AdmissionQueue<Rules>::waiting_count(std::string const& request_class) const
{
    auto const found = m_classes.find(request_class);
    return found == m_classes.end() ? 0 : found->second.queue_entry.size();
}

}
