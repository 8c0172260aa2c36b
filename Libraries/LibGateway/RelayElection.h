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

/// Says which gateway of a failure domain collects what the others there have open. Each gateway decides for itself,
/// from the members that it knows and from who answers it: the first in an order that is the same everywhere and that
/// is not silent. Where gateways decide differently for a while there are two relays, which costs datagrams and no
/// knowledge. No I/O and no clock.
class RelayElection {
public:
    /// Silence after which a relay is left for the next one, where this process runs on time. A relay sends each 100
    /// ms, so that two lost datagrams in a row are borne, and its death costs no more than the age that knowledge had
    /// without relays: one second among a hundred gateways.
    static constexpr Core::Milliseconds s_silence_limit {350};
    /// How long a silent one is passed over first; it doubles up to the longest each time.
    static constexpr Core::Milliseconds s_initial_suspicion {2'000};
    static constexpr Core::Milliseconds s_max_suspicion {16'000};
    /// A gateway that has just begun does not know the members of its failure domain, and would take itself for the
    /// relay. It leaves itself out for so long; the seeds tell of the members within some 200 ms.
    static constexpr Core::Milliseconds s_join_delay {1'500};
    /// Members of the own failure domain before this one that a relay tells what it knows, in case they relay as well.
    static constexpr std::size_t s_max_predecessors = 2;

    explicit RelayElection(Core::MonotonicTime started)
        : m_running(started)
    {
    }

    void set_members(Entry::LoadMembers const&);

    /// A relay's datagram came from this address.
    void note_relay_datagram(std::string const& address, Core::MonotonicTime now);

    /// Where to report to, the own address if this gateway is to relay; nothing while there is nobody.
    [[nodiscard]] std::optional<std::string> choose_relay(Core::MonotonicTime now);

    /// Whether this gateway has heard no other yet, and the others may not know it.
    [[nodiscard]] bool is_joining(Core::MonotonicTime now) const;

    /// Longest interval between calls of choose() now.
    [[nodiscard]] Core::Milliseconds interval() const { return m_running.interval(); }
    /// Whether this process runs late.
    [[nodiscard]] bool is_slow() const { return m_running.is_slow(); }

    /// To whom a relay tells what it has collected: the relays of other failure domains, and others of its own.
    [[nodiscard]] std::vector<std::string> peer_relays(Core::MonotonicTime now);

    /// Whether this address is a member's.
    [[nodiscard]] bool is_member(std::string const& address) const { return m_contacts.contains(address); }

private:
    /// What is known of a member.
    struct Contact {
        std::optional<Core::MonotonicTime> last_received;
        Core::RecentGaps gaps;
        /// Since when an answer of it is waited for.
        Core::MonotonicTime awaited_since;
        Core::MonotonicTime suspected_until;
        Core::Milliseconds next_suspicion {s_initial_suspicion};
    };

    using Members = std::vector<Entry::LoadMember>;

    /// The first of the members that is not silent; asks it, if it is not the one that was asked before.
    [[nodiscard]] std::string const* first_responsive(Members const&, std::string& current, Core::MonotonicTime now);
    [[nodiscard]] bool is_responsive(std::string const& address, Core::MonotonicTime running_time) const;
    /// Time after which that member counts as silent.
    [[nodiscard]] Core::Milliseconds silence_limit(Contact const&) const;
    [[nodiscard]] bool can_relay(Core::MonotonicTime now) const;
    /// Nobody was asked for a while: silence since then says nothing.
    [[nodiscard]] bool has_paused(Core::MonotonicTime& last, Core::MonotonicTime now) const;

    /// Measures silence without the time in which this process did not run. Times below are readings of its clock.
    Core::RunningTime m_running;
    Entry::LoadMember m_self;
    /// By group, each in the order in which they relay; the own group holds this gateway.
    std::map<std::string, Members> m_groups;
    std::map<std::string, Contact> m_contacts;
    /// Whom this gateway reports to, and when it last looked.
    std::string m_current_relay;
    Core::MonotonicTime m_last_choice;
    /// Whom it takes for the relays of other groups, and when it last told them something.
    std::map<std::string, std::string> m_current_peer_relays;
    Core::MonotonicTime m_last_peer_selection;
};

}
