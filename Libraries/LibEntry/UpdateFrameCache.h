#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include <zmq.hpp>

namespace GraniteField::Entry {

/// Cache of serialized updates from earlier versions to the current one. A gateway forwards a received update unchanged
/// and serializes its own only once for all peers. Otherwise a small host would spend much of its time on serializing
/// the whole table or server list for each peer that restarts.
template <typename Version>
class UpdateFrameCache {
public:
    /// Number of cached updates. Peers are one or a few versions behind, or have no version.
    static constexpr std::size_t s_max_frames = 8;
    /// Bytes of all cached updates beside the first, so that a large table is not kept several times.
    static constexpr std::size_t s_max_bytes = 4U << 20U;

    /// Stores a message. If it updates to a newer version than the stored ones, it replaces them.
    void store(Version from, Version to, zmq::message_t& frame)
    {
        if (to < m_target_version)
            return;
        if (to > m_target_version) {
            m_frames.clear();
            m_bytes = 0;
        }
        m_target_version = to;
        bool const has_room = m_frames.size() < s_max_frames && m_bytes + frame.size() <= s_max_bytes;
        if (m_frames.contains(from) || (!m_frames.empty() && !has_room))
            return;
        m_frames[from].copy(frame);
        m_bytes += frame.size();
    }

    /// Returns the message that updates from `from` to `to`, sharing its bytes with the stored one.
    [[nodiscard]] std::optional<zmq::message_t> find(Version from, Version to)
    {
        auto const found = m_frames.find(from);
        if (to != m_target_version || found == m_frames.end())
            return std::nullopt;
        zmq::message_t message;
        message.copy(found->second);
        return message;
    }

private:
    Version m_target_version;
    std::size_t m_bytes {0};
    std::map<Version, zmq::message_t> m_frames;
};

}
