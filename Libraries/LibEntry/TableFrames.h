#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>
#include <map>
#include <optional>

#include <zmq.hpp>

namespace GraniteField::Entry {

/// Messages that lead from earlier versions of the table to the present one, ready to be sent. What a gateway was sent
/// it hands on as it is, and what it makes it makes once for all peers: at 1,450 routes a message from all of the table
/// costs 5.8 ms of processor time (configuration-benchmark), 64 ms of a host with 0.09 of a core for each peer that
/// begins anew.
class TableFrames {
public:
    /// Peers are at the version before, or a few behind, or have none.
    static constexpr std::size_t s_most = 8;

    /// Keeps a message; one that leads to a newer version than the others takes their place.
    void keep(Core::TableVersion from, Core::TableVersion to, zmq::message_t& frame)
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
    [[nodiscard]] std::optional<zmq::message_t> find(Core::TableVersion from, Core::TableVersion to)
    {
        auto const found = m_frames.find(from);
        if (to != m_version || found == m_frames.end())
            return std::nullopt;
        zmq::message_t shared;
        shared.copy(found->second);
        return shared;
    }

private:
    Core::TableVersion m_version;
    std::map<Core::TableVersion, zmq::message_t> m_frames;
};

}
