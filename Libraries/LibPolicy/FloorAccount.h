#pragma once

#include <LibCore/Time.h>

#include <cmath>
#include <optional>

namespace GraniteField::Policy {

/// Slot time that a backend server owes to one class under its floor.
///
/// While the class has waiting work, the account earns the class's share of all slots. A start that happened only
/// because of the floor is charged to the account, first as predicted and then as measured. A class without demand
/// earns nothing, so a floor cannot be saved up for a burst.
///
/// If waiting work of the class was displaced or refused and the balance is positive, a free slot is held for the
/// class for at most s_max_hold and charged to the account, so that displacement cannot starve the class.
class FloorAccount {
public:
    using SlotTime = std::chrono::duration<double>;

    static constexpr Core::Milliseconds s_max_hold {200};
    /// Time for which a refusal counts as demand.
    static constexpr Core::Milliseconds s_demand_retention {2'000};
    /// The balance is limited to the class's share of the slots during this time.
    static constexpr std::chrono::seconds s_max_earning_time {10};

    void set_share(double slots) { m_share_slots = slots; }

    void note_waiting(Core::MonotonicTime, bool has_waiting);
    /// Work of the class was displaced or refused.
    void note_unmet_demand(Core::MonotonicTime);
    /// Charges work that the floor started, by its predicted slot time.
    void charge(SlotTime expected);
    /// Corrects an earlier charge to the actual slot time.
    void settle(SlotTime expected, SlotTime actual);

    /// Credits the time up to now.
    void update(Core::MonotonicTime now);
    [[nodiscard]] bool is_owed() const { return m_share_slots > 0 && m_balance.count() > 0; }
    [[nodiscard]] SlotTime balance() const { return m_balance; }
    /// Maximum number of slots held at once by work that the floor started: the share, rounded up.
    [[nodiscard]] unsigned max_running() const { return static_cast<unsigned>(std::ceil(m_share_slots)); }

    /// Whether a free slot is held for the class now. Starts and ends the hold. Call update() first.
    [[nodiscard]] bool is_holding_slot(Core::MonotonicTime now, bool has_free_slot);
    /// End of the current hold, or nullopt.
    [[nodiscard]] std::optional<Core::MonotonicTime> hold_end() const;
    /// Ends the hold because the class started work.
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
