#include <LibGateway/StreamOrigins.h>

#include <LibCore/Hashing.h>

namespace GraniteField::Gateway {

StreamKey stream_key(std::string_view workspace, std::string_view request_id)
{
    return StreamKey(Core::hash_bytes(request_id, Core::hash_bytes(workspace)));
}

void StreamOrigins::note(StreamKey stream, StreamOrigin const& origin, Core::MonotonicTime now)
{
    auto const& shared = *m_origins.insert(origin).first;
    if (!m_streams.emplace(stream, &shared).second)
        return;
    m_order.emplace_back(stream, now);
    if (m_order.size() > s_max_streams)
        forget_oldest();
}

StreamOrigin const* StreamOrigins::find(StreamKey stream) const
{
    auto const found = m_streams.find(stream);
    return found == m_streams.end() ? nullptr : found->second;
}

void StreamOrigins::forget_oldest()
{
    m_streams.erase(m_order.front().first);
    m_order.pop_front();
}

void StreamOrigins::forget_old(Core::MonotonicTime now)
{
    while (!m_order.empty() && Core::elapsed(m_order.front().second, now) > s_retention)
        forget_oldest();
    if (m_streams.empty())
        m_origins.clear();
}

}
