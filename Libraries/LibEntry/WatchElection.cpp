#include <LibEntry/WatchElection.h>

#include <algorithm>

namespace GraniteField::Entry {

void StoreWord::merge(StoreWord const& other)
{
    // Nothing is less than any time.
    elected = std::max(elected, other.elected);
    any = std::max({any, other.any, other.elected});
    table = std::max(table, other.table);
    servers = std::max(servers, other.servers);
}

void WatchElection::set_elected(bool value)
{
    if (value && !m_is_elected && !m_stepped_in)
        begin_duty();
    m_is_elected = value;
}

void WatchElection::note_turn(Core::MonotonicTime now)
{
    if (!m_absence.note_turn(now))
        return;
    m_heard_since = now;
    if (m_behind_since)
        m_behind_since = now;
}

void WatchElection::note_word(StoreWord const& word, Core::MonotonicTime now)
{
    if (word.table > std::max(m_heard.table, m_table))
        m_table_known_since = now;
    m_heard.merge(word);
    bool const is_behind = m_heard.table > m_table || m_heard.servers > m_servers;
    if (!is_behind || m_behind_since)
        return;
    m_behind_since = now;
    m_wanted = m_heard;
}

void WatchElection::note_versions(Core::TableVersion table, ListRevision servers, Core::MonotonicTime now)
{
    if (table > std::max(m_heard.table, m_table))
        m_table_known_since = now;
    m_table = std::max(m_table, table);
    m_servers = std::max(m_servers, servers);
    if (!m_behind_since || m_wanted.table > m_table || m_wanted.servers > m_servers)
        return;
    m_behind_since.reset();
    note_word({}, now);
}

void WatchElection::note_call(Watch watch, Core::MonotonicTime overdue_at)
{
    m_contacts.at(static_cast<std::size_t>(watch)).overdue_at = overdue_at;
}

void WatchElection::note_answer(Watch watch)
{
    m_contacts.at(static_cast<std::size_t>(watch)).is_answered = true;
    m_next_retry = m_settings.shortest_retry;
}

void WatchElection::note_failure(Watch watch, Core::MonotonicTime now)
{
    m_contacts.at(static_cast<std::size_t>(watch)).is_answered = false;
    if (m_is_elected)
        return;
    // While the store is away not everybody has to try it all the time.
    m_stepped_in.reset();
    if (!is_behind()) {
        m_next_try = now + m_settings.patience;
        return;
    }
    m_next_try = now + m_next_retry;
    m_next_retry = std::min(m_next_retry * 2, m_settings.patience);
}

bool WatchElection::is_sound(Core::MonotonicTime now) const
{
    return std::ranges::all_of(
        m_contacts, [now](auto const& contact) { return contact.is_answered && now <= contact.overdue_at; });
}

StoreKnowledge WatchElection::knowledge(Core::MonotonicTime now) const
{
    auto const heard = is_sound(now) ? std::optional(now) : m_heard.any;
    return {std::max(m_heard.table, m_table), std::max(m_heard.servers, m_servers), m_table_known_since, heard};
}

StoreWord WatchElection::word(Core::MonotonicTime now) const
{
    StoreWord word = m_heard;
    word.merge({std::nullopt, std::nullopt, m_table, m_servers});
    if (!is_sound(now))
        return word;
    word.any = now;
    if (m_is_elected)
        word.elected = now;
    return word;
}

Core::MonotonicTime WatchElection::doubt_begins() const
{
    return std::max(m_heard.any.value_or(m_heard_since), m_heard_since) + m_settings.patience;
}

bool WatchElection::is_store_in_doubt(Core::MonotonicTime now) const
{
    return now >= doubt_begins();
}

std::optional<Core::MonotonicTime> WatchElection::behind_ends() const
{
    return m_behind_since ? std::optional(*m_behind_since + m_settings.behind_limit) : std::nullopt;
}

bool WatchElection::is_on_duty(Core::MonotonicTime now)
{
    if (m_is_elected)
        return true;
    if (m_absence.is_overdue(now))
        note_turn(now);
    auto const behind_ends_at = behind_ends();
    bool const is_behind = behind_ends_at && now >= *behind_ends_at;
    if (m_stepped_in) {
        bool const is_relieved = m_heard.elected && Core::elapsed(*m_heard.elected, now) <= s_fresh && !is_behind
            && Core::elapsed(*m_stepped_in, now) >= s_shortest_duty;
        if (is_relieved)
            m_stepped_in.reset();
        return !is_relieved;
    }
    if (now < m_next_try || (!is_behind && !is_store_in_doubt(now)))
        return false;
    m_stepped_in = now;
    begin_duty();
    return true;
}

Core::MonotonicTime WatchElection::next_look(Core::MonotonicTime now) const
{
    auto next = doubt_begins();
    if (auto const behind = behind_ends())
        next = std::min(next, *behind);
    return std::max({next, m_next_try, now});
}

}
