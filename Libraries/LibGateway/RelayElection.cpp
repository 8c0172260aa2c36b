#include <LibGateway/RelayElection.h>

#include <algorithm>
#include <utility>

namespace GraniteField::Gateway {

void RelayElection::set_members(Entry::LoadMembers const& members)
{
    m_self = members.self;
    m_groups.clear();
    std::map<std::string, Contact> contacts;
    for (auto const& member : members.peers) {
        m_groups[member.group].push_back(member);
        auto const known = m_contacts.find(member.address);
        contacts[member.address] = known == m_contacts.end() ? Contact() : known->second;
    }
    m_groups[m_self.group].push_back(m_self);
    for (auto& [name, group] : m_groups)
        std::ranges::sort(group, Entry::relays_before);
    m_contacts = std::move(contacts);
}

void RelayElection::note_relay_datagram(std::string const& address, Core::MonotonicTime now)
{
    auto const found = m_contacts.find(address);
    if (found == m_contacts.end())
        return;
    auto& contact = found->second;
    auto const running_time = m_running.clock(now);
    if (contact.last_received)
        contact.gaps.note(Core::elapsed(*contact.last_received, running_time));
    contact.last_received = running_time;
    contact.suspected_until = {};
    contact.next_suspicion = s_initial_suspicion;
}

Core::Milliseconds RelayElection::silence_limit(Contact const& contact) const
{
    return m_running.is_slow() ? contact.gaps.silence_limit(s_silence_limit) : s_silence_limit;
}

bool RelayElection::is_responsive(std::string const& address, Core::MonotonicTime running_time) const
{
    auto const& contact = m_contacts.at(address);
    return contact.last_received && Core::elapsed(*contact.last_received, running_time) <= silence_limit(contact);
}

bool RelayElection::can_relay(Core::MonotonicTime now) const
{
    return m_running.at(now) >= s_join_delay;
}

bool RelayElection::is_joining(Core::MonotonicTime now) const
{
    bool const has_received_any
        = std::ranges::any_of(m_contacts, [](auto const& item) { return item.second.last_received.has_value(); });
    return !has_received_any && !can_relay(now);
}

bool RelayElection::has_paused(Core::MonotonicTime& last, Core::MonotonicTime now) const
{
    auto const running_time = m_running.clock(now);
    return Core::elapsed(std::exchange(last, running_time), running_time) > s_silence_limit + interval();
}

std::string const* RelayElection::first_responsive(
    Members const& members, std::string& current, Core::MonotonicTime now)
{
    auto const running_time = m_running.clock(now);
    for (auto const& member : members) {
        if (member.address == m_self.address) {
            if (!can_relay(now))
                continue;
            current = member.address;
            return &member.address;
        }
        auto& contact = m_contacts.at(member.address);
        if (running_time < contact.suspected_until)
            continue;
        if (current != member.address) {
            current = member.address;
            contact.awaited_since = running_time;
        }
        auto const last_contact
            = std::max(contact.last_received.value_or(contact.awaited_since), contact.awaited_since);
        if (Core::elapsed(last_contact, running_time) <= silence_limit(contact))
            return &member.address;
        contact.suspected_until = running_time + contact.next_suspicion;
        contact.next_suspicion = std::min(contact.next_suspicion * 2, s_max_suspicion);
    }
    return nullptr;
}

std::optional<std::string> RelayElection::choose_relay(Core::MonotonicTime now)
{
    m_running.note_tick(now);
    if (m_self.address.empty())
        return std::nullopt;
    if (has_paused(m_last_choice, now))
        m_current_relay.clear();
    auto const* relay = first_responsive(m_groups.at(m_self.group), m_current_relay, now);
    return relay == nullptr ? std::nullopt : std::optional(*relay);
}

std::vector<std::string> RelayElection::peer_relays(Core::MonotonicTime now)
{
    if (has_paused(m_last_peer_selection, now))
        m_current_peer_relays.clear();
    std::vector<std::string> relays;
    for (auto const& [name, group] : m_groups) {
        auto const count_before = relays.size();
        std::size_t predecessors = 0;
        bool is_before_self = name == m_self.group;
        for (auto const& member : group) {
            if (member.address == m_self.address) {
                is_before_self = false;
                continue;
            }
            bool const is_predecessor = is_before_self && predecessors < s_max_predecessors;
            predecessors += is_predecessor ? 1 : 0;
            if (is_predecessor || is_responsive(member.address, m_running.clock(now)))
                relays.push_back(member.address);
        }
        if (name == m_self.group || relays.size() > count_before)
            continue;
        if (auto const* relay = first_responsive(group, m_current_peer_relays[name], now))
            relays.push_back(*relay);
    }
    return relays;
}

}
