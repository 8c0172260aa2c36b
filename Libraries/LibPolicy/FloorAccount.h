#pragma once

#include <LibCore/Time.h>

#include <cmath>
#include <optional>

namespace GraniteField::Policy {

/// What a backend server owes to one class by its floor, in slot-time.
///
/// While the class has work that does not run, the account earns its share of all slots. A start that
/// the floor alone brought about is paid from the account, first as predicted and then as it was. A
/// class that wants nothing earns nothing, so a floor can't be saved up for a burst of its own.
///
/// When the class's waiting work was displaced or refused and the account is owed something, a free slot
/// is held for the class for at most s_longest_hold, paid from the account, so that displacement can't
/// starve the class.
class FloorAccount {
public:
    using SlotTime = std::chrono::duration<double>;

    static constexpr Core::Milliseconds s_longest_hold {200};
    /// How long a refusal counts as demand that is still there.
    static constexpr Core::Milliseconds s_demand_memory {2'000};
    /// The account earns no more than the floor of this time.
    static constexpr std::chrono::seconds s_earning_cap {10};

    void set_share(double slots) { m_share_slots = slots; }

    void note_waiting(Core::MonotonicTime, bool has_waiting);
    /// Work of the class was displaced or refused.
    void note_unmet_demand(Core::MonotonicTime);
    /// The floor started work that should hold a slot this long.
    void charge(SlotTime expected);
    /// The work that charge() was for held the slot this long.
    void settle(SlotTime expected, SlotTime actual);

    /// Earns up to now.
    void update(Core::MonotonicTime now);
    [[nodiscard]] bool is_owed() const { return m_share_slots > 0 && m_balance.count() > 0; }
    [[nodiscard]] SlotTime balance() const { return m_balance; }
    /// Slots that work started by the floor may hold at once: the share, rounded up.
    [[nodiscard]] unsigned largest_running_count() const { return static_cast<unsigned>(std::ceil(m_share_slots)); }

    /// Whether a free slot is kept for the class now. Begins and ends the hold. Call update() first.
    [[nodiscard]] bool is_holding_slot(Core::MonotonicTime now, bool has_free_slot);
    /// When a running hold ends.
    [[nodiscard]] std::optional<Core::MonotonicTime> hold_end() const;
    /// The class took the slot that was held.
    void end_hold() { m_hold_start.reset(); }

private:
    [[nodiscard]] bool has_demand(Core::MonotonicTime now) const;

    double m_share_slots {0};
    SlotTime m_balance {0};
    Core::MonotonicTime m_updated;
    bool m_has_waiting {false};
    std::optional<Core::MonotonicTime> m_unmet_demand;
    std::optional<Core::MonotonicTime> m_hold_start;
};

}
