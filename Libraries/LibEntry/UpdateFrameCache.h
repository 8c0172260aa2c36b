#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include <zmq.hpp>

namespace GraniteField::Entry {

/// Messages that lead from earlier versions of something to the present one, ready to be sent. What a gateway was sent
/// it hands on as it is, and what it makes it makes once for all peers: a small host would spend much of its time on a
/// message from all of the table, or of the list of servers, for each peer that begins anew.
template <typename Version>
class UpdateFrameCache {
public:
    /// Peers are at the version before, or a few behind, or have none.
    static constexpr std::size_t s_most = 8;

    /// Keeps a message; one that leads to a newer version than the others takes their place.
    void keep(Version from, Version to, zmq::message_t& frame)
    {
        if (to < m_version)
            return;
        if (to > m_version)
            m_frames.clear();
        m_version = to;
        if (m_frames.size() < s_most)
            m_frames[from].copy(frame);
    }

    /// The message from that version to `to`, which shares its bytes with the kept one.
    [[nodiscard]] std::optional<zmq::message_t> find(Version from, Version to)
    {
        auto const found = m_frames.find(from);
        if (to != m_version || found == m_frames.end())
            return std::nullopt;
        zmq::message_t shared;
        shared.copy(found->second);
        return shared;
    }

private:
    Version m_version;
    std::map<Version, zmq::message_t> m_frames;
};

}
