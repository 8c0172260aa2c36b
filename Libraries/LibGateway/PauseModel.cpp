#include <LibGateway/PauseModel.h>

#include <algorithm>

namespace GraniteField::Gateway {

void PauseModel::note_pause(Time pause, std::uint64_t unread_tokens)
{
    if (unread_tokens < s_long_reading_tokens)
        return;
    if (m_count == 0)
        m_pause = std::max(pause, s_least_pause);
    if (m_count < s_enough_pauses)
        ++m_count;
    // Steps whose sizes stand in the ratio of the quantile's two sides settle where they cancel out.
    if (pause > m_pause)
        m_pause += m_pause * s_step * s_quantile;
    else
        m_pause = std::max(m_pause - m_pause * s_step * (1 - s_quantile), s_least_pause);
}

}
