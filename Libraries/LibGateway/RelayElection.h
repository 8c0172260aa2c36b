#pragma once

#include <LibCore/RecentGaps.h>
#include <LibCore/RunningTime.h>
#include <LibCore/Time.h>
#include <LibEntry/SharedMembership.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace GraniteField::Gateway {

/// Elects the gateway of a failure domain that collects the loads of the others there. Each gateway decides on its own:
/// it chooses the first member, in an order that is the same on all gateways, that is not silent. While gateways
/// disagree there are two relays, which costs datagrams but loses no data. No I/O and no clock.
class RelayElection {
public:
    /// Time without a datagram after which a relay is replaced, where this process runs on time. A relay sends every
    /// 100 ms, so two datagrams lost in a row are tolerated. After the death of a relay, loads are no older than
    /// without relays: one second with a hundred gateways.
    static constexpr Core::Milliseconds s_silence_limit {350};
    /// Time for which a silent member is skipped at first. It doubles with each further suspicion, up to the maximum.
    static constexpr Core::Milliseconds s_initial_suspicion {2'000};
    static constexpr Core::Milliseconds s_max_suspicion {16'000};
    /// Time after the start during which a gateway does not elect itself. It does not know the members of its failure
    /// domain yet; the seeds report them within some 200 ms.
    static constexpr Core::Milliseconds s_join_delay {1'500};
    /// Number of members before this one in its own failure domain that a relay also sends its sums to, since they may
    /// relay as well.
    static constexpr std::size_t s_max_predecessors = 2;

    explicit RelayElection(Core::MonotonicTime started)
        : m_running_clock(started)
    {
    }

    void set_members(Entry::LoadMembers const&);

    /// Records a relay's datagram from this address.
    void note_relay_datagram(std::string const& address, Core::MonotonicTime now);

    /// Returns the address of the relay to report to, the own address if this gateway is to relay; nothing while no
    /// member is eligible.
    [[nodiscard]] std::optional<std::string> choose_relay(Core::MonotonicTime now);

    /// Whether this gateway has received no relay's datagram yet and is within its join delay, so that peers may not
    /// know it.
    [[nodiscard]] bool is_joining(Core::MonotonicTime now) const;

    /// Maximum interval between calls of choose_relay() at present.
    [[nodiscard]] Core::Milliseconds interval() const { return m_running_clock.interval(); }
    /// Whether this process runs late.
    [[nodiscard]] bool is_slow() const { return m_running_clock.is_slow(); }

    /// Returns the addresses that a relay sends its sums to: the relays of other failure domains and possible relays of
    /// its own.
    [[nodiscard]] std::vector<std::string> peer_relays(Core::MonotonicTime now);

    /// Whether this is the address of a member.
    [[nodiscard]] bool is_member(std::string const& address) const { return m_contacts.contains(address); }

private:
    struct Contact {
        std::optional<Core::MonotonicTime> last_received;
        Core::RecentGaps gaps;
        /// Time since which a datagram of the member is expected.
        Core::MonotonicTime awaited_since;
        Core::MonotonicTime suspected_until;
        Core::Milliseconds next_suspicion {s_initial_suspicion};
    };

    using Members = std::vector<Entry::LoadMember>;

    /// Returns the first member that is not silent, and starts to wait for its datagrams if it differs from `current`.
    [[nodiscard]] std::string const* first_responsive(Members const&, std::string& current, Core::MonotonicTime now);
    [[nodiscard]] bool is_responsive(std::string const& address, Core::MonotonicTime running_time) const;
    /// Time without a datagram after which the member counts as silent.
    [[nodiscard]] Core::Milliseconds silence_limit(Contact const&) const;
    [[nodiscard]] bool can_relay(Core::MonotonicTime now) const;
    /// Whether no selection was made for longer than the silence limit. Silence in that time is no evidence.
    [[nodiscard]] bool has_paused(Core::MonotonicTime& last, Core::MonotonicTime now) const;

    /// Clock that excludes the time in which this process did not run. The times below are its readings.
    Core::RunningTime m_running_clock;
    Entry::LoadMember m_self;
    /// Members by group, each in the order of election; the own group includes this gateway.
    std::map<std::string, Members> m_groups;
    std::map<std::string, Contact> m_contacts;
    /// Relay that this gateway reports to, and the time of its last selection.
    std::string m_current_relay;
    Core::MonotonicTime m_last_choice;
    /// Relays of the other groups, and the time of their last selection.
    std::map<std::string, std::string> m_current_peer_relays;
    Core::MonotonicTime m_last_peer_selection;
};

}
