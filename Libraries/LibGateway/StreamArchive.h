#pragma once

#include <LibGateway/StreamOrigins.h>

#include <cstddef>
#include <iterator>
#include <mutex>
#include <utility>
#include <vector>

namespace GraniteField::Gateway {

/// A stream and the servers that can continue it.
struct ArchivedStream {
    StreamKey stream;
    StreamOrigin origin;

    bool operator==(ArchivedStream const&) const = default;
};

/// Passes streams that begin at this gateway to the thread that writes them to the store, and streams of earlier lives
/// of the fleet back. Thread-safe.
class StreamArchive {
public:
    /// Streams that wait for the store; of more the oldest are lost to it. Running gateways know them all the same.
    static constexpr std::size_t s_max_begun = 16'384;

    void add_begun(StreamKey stream, StreamOrigin const& origin)
    {
        std::lock_guard const lock(m_mutex);
        if (m_begun.size() >= s_max_begun)
            m_begun.erase(m_begun.begin(), m_begun.begin() + s_max_begun / 2);
        m_begun.push_back({stream, origin});
    }
    [[nodiscard]] std::vector<ArchivedStream> take_begun()
    {
        std::lock_guard const lock(m_mutex);
        return std::exchange(m_begun, {});
    }

    void add_loaded(std::vector<ArchivedStream> streams)
    {
        std::lock_guard const lock(m_mutex);
        m_loaded.insert(
            m_loaded.end(), std::make_move_iterator(streams.begin()), std::make_move_iterator(streams.end()));
    }
    [[nodiscard]] std::vector<ArchivedStream> take_loaded()
    {
        std::lock_guard const lock(m_mutex);
        return std::exchange(m_loaded, {});
    }

private:
    std::mutex m_mutex;
    std::vector<ArchivedStream> m_begun;
    std::vector<ArchivedStream> m_loaded;
};

}
