#pragma once

#include <LibGateway/MemoryAccount.h>
#include <LibObserve/EventLog.h>
#include <LibObserve/Metrics.h>

#include <array>
#include <concepts>
#include <cstddef>
#include <string>

namespace GraniteField::Gateway {

/// Bounds the memory that a gateway holds for its callers. A process that exceeds its host's memory is killed with all
/// requests in flight, so a request is refused before its body is read if that might not fit. The most urgent tier may
/// use the whole limit.
class MemoryGuard {
public:
    /// The tier of a request among those in use; 1 is the most urgent.
    struct Rank {
        unsigned tier {1};
        unsigned lowest_tier {1};
    };

    MemoryGuard(Observe::EventLog&, Observe::MetricRegistry&);

    [[nodiscard]] MemoryAccount& account() { return m_account; }
    [[nodiscard]] MemoryAccount const& account() const { return m_account; }
    void set_limit(std::size_t bytes) { m_limit = bytes; }

    /// Whether a request may take this many more bytes. `rank` returns its Rank; called only if that decides.
    template <std::invocable RankSource>
    [[nodiscard]] bool admits(std::size_t bytes, RankSource rank) const
    {
        auto const needed = m_account.total() + bytes;
        if (needed <= m_limit - reserve())
            return true;
        return needed <= m_limit && needed <= limit_for(rank());
    }

    void note_refused(std::string const& request, std::size_t bytes);
    /// Updates the gauges.
    void publish();

private:
    /// Number of parts of the limit of which the lowest tier leaves one to the higher ones.
    static constexpr std::size_t s_parts = 4;

    [[nodiscard]] std::size_t reserve() const { return m_limit / s_parts; }
    [[nodiscard]] std::size_t limit_for(Rank) const;

    Observe::EventLog& m_log;
    Observe::Counter& m_refusals;
    std::array<Observe::Gauge*, s_memory_uses.size()> m_gauges;
    MemoryAccount m_account;
    std::size_t m_limit {128U << 20U};
};

}
