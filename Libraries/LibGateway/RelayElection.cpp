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

void RelayElection::note_heard(std::string const& address, Core::MonotonicTime now)
{
    auto const found = m_contacts.find(address);
    if (found == m_contacts.end())
        return;
    auto& contact = found->second;
    auto const running = m_running.clock(now);
    if (contact.heard)
        contact.gaps.note(Core::elapsed(*contact.heard, running));
    contact.heard = running;
    contact.suspected_until = {};
    contact.next_suspicion = s_first_suspicion;
}

Core::Milliseconds RelayElection::silence_limit(Contact const& contact) const
{
    return m_running.is_slow() ? contact.gaps.silence_limit(s_silence_limit) : s_silence_limit;
}

bool RelayElection::is_heard(std::string const& address, Core::MonotonicTime running) const
{
    auto const& contact = m_contacts.at(address);
    return contact.heard && Core::elapsed(*contact.heard, running) <= silence_limit(contact);
}

bool RelayElection::may_relay(Core::MonotonicTime now) const
{
    return m_running.at(now) >= s_acquaintance;
}

bool RelayElection::is_joining(Core::MonotonicTime now) const
{
    bool const has_heard_any
        = std::ranges::any_of(m_contacts, [](auto const& item) { return item.second.heard.has_value(); });
    return !has_heard_any && !may_relay(now);
}

bool RelayElection::has_paused(Core::MonotonicTime& last, Core::MonotonicTime now) const
{
    auto const running = m_running.clock(now);
    return Core::elapsed(std::exchange(last, running), running) > s_silence_limit + interval();
}

std::string const* RelayElection::first_answering(Members const& members, std::string& asked, Core::MonotonicTime now)
{
    auto const running = m_running.clock(now);
    for (auto const& member : members) {
        if (member.address == m_self.address) {
            if (!may_relay(now))
                continue;
            asked = member.address;
            return &member.address;
        }
        auto& contact = m_contacts.at(member.address);
        if (running < contact.suspected_until)
            continue;
        if (asked != member.address) {
            asked = member.address;
            contact.asked = running;
        }
        auto const last_sign = std::max(contact.heard.value_or(contact.asked), contact.asked);
        if (Core::elapsed(last_sign, running) <= silence_limit(contact))
            return &member.address;
        contact.suspected_until = running + contact.next_suspicion;
        contact.next_suspicion = std::min(contact.next_suspicion * 2, s_longest_suspicion);
    }
    return nullptr;
}

std::optional<std::string> RelayElection::choose(Core::MonotonicTime now)
{
    m_running.note_tick(now);
    if (m_self.address.empty())
        return std::nullopt;
    if (has_paused(m_last_choice, now))
        m_asked_relay.clear();
    auto const* relay = first_answering(m_groups.at(m_self.group), m_asked_relay, now);
    return relay == nullptr ? std::nullopt : std::optional(*relay);
}

std::vector<std::string> RelayElection::fellow_relays(Core::MonotonicTime now)
{
    if (has_paused(m_last_told, now))
        m_asked_fellows.clear();
    std::vector<std::string> relays;
    for (auto const& [name, group] : m_groups) {
        auto const heard_before = relays.size();
        std::size_t seniors = 0;
        bool is_before_self = name == m_self.group;
        for (auto const& member : group) {
            if (member.address == m_self.address) {
                is_before_self = false;
                continue;
            }
            bool const is_senior = is_before_self && seniors < s_most_seniors;
            seniors += is_senior ? 1 : 0;
            if (is_senior || is_heard(member.address, m_running.clock(now)))
                relays.push_back(member.address);
        }
        if (name == m_self.group || relays.size() > heard_before)
            continue;
        if (auto const* relay = first_answering(group, m_asked_fellows[name], now))
            relays.push_back(*relay);
    }
    return relays;
}

}
