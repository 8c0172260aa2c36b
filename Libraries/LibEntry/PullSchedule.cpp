#include <LibEntry/PullSchedule.h>

namespace GraniteField::Entry {

bool PullSchedule::should_pull(Core::MonotonicTime now, Core::Milliseconds patience)
{
    if (!m_behind_since)
        m_behind_since = now;
    if (Core::elapsed(*m_behind_since, now) < patience)
        return false;
    bool const is_under_way = m_pulled_at && Core::elapsed(*m_pulled_at, now) < s_answer_limit;
    if (is_under_way)
        return false;
    m_pulled_at = now;
    return true;
}

bool PullSchedule::should_ask(Core::MonotonicTime now, Core::Milliseconds patience)
{
    if (!m_behind_since || m_has_asked || Core::elapsed(*m_behind_since, now) < patience)
        return false;
    m_has_asked = true;
    return true;
}

void PullSchedule::note_news()
{
    m_behind_since.reset();
    m_pulled_at.reset();
    m_has_asked = false;
}

}
