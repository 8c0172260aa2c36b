#include <LibPolicy/FloorAccount.h>

#include <algorithm>

namespace GraniteField::Policy {

void FloorAccount::note_waiting(Core::MonotonicTime now, bool has_waiting)
{
    update(now);
    m_has_waiting = has_waiting;
}

void FloorAccount::note_unmet_demand(Core::MonotonicTime now)
{
    update(now);
    m_unmet_demand = now;
}

void FloorAccount::charge(SlotTime expected)
{
    m_balance -= expected;
}

void FloorAccount::settle(SlotTime expected, SlotTime actual)
{
    m_balance += expected - actual;
}

bool FloorAccount::has_demand(Core::MonotonicTime now) const
{
    return m_has_waiting || (m_unmet_demand && now - *m_unmet_demand < s_demand_retention);
}

void FloorAccount::update(Core::MonotonicTime now)
{
    auto const elapsed
        = std::chrono::duration_cast<SlotTime>(std::max(now - m_updated, Core::MonotonicTime::duration::zero()));
    bool const is_first_update = m_updated == Core::MonotonicTime();
    m_updated = std::max(now, m_updated);
    if (is_first_update)
        return;
    if (m_hold_start)
        m_balance -= elapsed;
    m_balance += elapsed * m_share_slots;
    // Debt is also repaid while there is no demand; only a positive balance requires demand.
    if (!has_demand(now))
        m_balance = std::min(m_balance, SlotTime(0));
    m_balance = std::min(m_balance, SlotTime(s_max_earning_time) * m_share_slots);
}

bool FloorAccount::is_holding_slot(Core::MonotonicTime now, bool has_free_slot)
{
    bool const should_hold = has_free_slot && is_owed() && !m_has_waiting && has_demand(now);
    if (!should_hold) {
        m_hold_start.reset();
        return false;
    }
    if (!m_hold_start)
        m_hold_start = now;
    if (now - *m_hold_start < s_max_hold)
        return true;
    // No work arrived during the hold. The demand has ended until the next refusal.
    m_hold_start.reset();
    m_unmet_demand.reset();
    return false;
}

std::optional<Core::MonotonicTime> FloorAccount::hold_end() const
{
    if (!m_hold_start)
        return std::nullopt;
    return *m_hold_start + s_max_hold;
}

}
