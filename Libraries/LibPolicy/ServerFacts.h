#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// What an observation changed in what is known.
enum class FactChange {
    None,
    /// It is the same as before, confirmed by a newer answer.
    Confirmed,
    Changed,
};

/// Whether a report of another gateway is to be passed on.
enum class Relaying {
    No,
    Yes,
};

/// Most reports of one kind in one datagram.
inline constexpr std::size_t s_most_reports_told = 200;

/// Something that a backend server stated in an answer. observed() is the time up to which answers show it; is_over()
/// says whether it has no effect any more and is kept against older reports only. Merging must give the same result in
/// any order, since reports of different gateways overtake each other.
template <typename Candidate>
concept MergeableFact = requires(Candidate fact, Candidate const& other)
{
    {
        fact.merge(other)
        } -> std::same_as<FactChange>;
    {
        other.observed()
        } -> std::same_as<Core::MonotonicTime>;
    {
        other.is_over()
        } -> std::same_as<bool>;
};

/// What backend servers have stated, as the gateways tell it to each other. A server is named by the hash of its
/// life, so that a fact ends with the run that stated it. No I/O and no clock.
template <MergeableFact Fact>
class ServerFacts {
public:
    struct Report {
        std::uint64_t server {0};
        Fact fact;
    };

    /// Reports of a change are repeated, since datagrams are lost.
    static constexpr unsigned s_times_told = 3;
    static constexpr Core::Milliseconds s_telling_pause {100};
    /// A confirmed fact is told again after this time, for gateways that have just started.
    static constexpr Core::Milliseconds s_refresh {4'000};
    static constexpr std::size_t s_most_remembered = 16'384;
    /// How long a fact is kept that is over, or whose server is not listed: the store may list it again after an
    /// outage.
    static constexpr Core::Milliseconds s_memory {600'000};

    [[nodiscard]] bool is_empty() const { return m_entries.empty(); }
    /// What is known of the server, or null.
    [[nodiscard]] Fact const* find(std::uint64_t server) const
    {
        auto const found = m_entries.find(server);
        return found == m_entries.end() ? nullptr : &found->second.fact;
    }

    /// This gateway has observed it.
    FactChange note(std::uint64_t server, Fact const& fact, Core::MonotonicTime now)
    {
        return merge(server, fact, Relaying::Yes, now);
    }

    /// Another gateway has reported it.
    FactChange take(Report const& report, Relaying relaying, Core::MonotonicTime now)
    {
        return merge(report.server, report.fact, relaying, now);
    }

    [[nodiscard]] bool has_news(Core::MonotonicTime now) const
    {
        return m_telling > 0
            && std::ranges::any_of(m_entries, [now](auto const& item) { return is_due(item.second, now); });
    }

    /// What is to be told to other gateways now.
    [[nodiscard]] std::vector<Report> take_news(Core::MonotonicTime now)
    {
        std::vector<Report> news;
        if (m_telling == 0)
            return news;
        for (auto& [server, entry] : m_entries) {
            if (!is_due(entry, now) || news.size() >= s_most_reports_told)
                continue;
            news.push_back({server, entry.fact});
            entry.next_telling = now + s_telling_pause;
            entry.told = entry.fact.observed();
            if (--entry.times_to_tell == 0)
                --m_telling;
        }
        return news;
    }

    /// All that is known, for a gateway that has just started.
    [[nodiscard]] std::vector<Report> everything() const
    {
        std::vector<Report> reports;
        for (auto const& [server, entry] : m_entries) {
            if (reports.size() < s_most_reports_told)
                reports.push_back({server, entry.fact});
        }
        return reports;
    }

    /// Drops what is old and is over, or of servers that are not listed any more.
    void forget_old(std::predicate<std::uint64_t> auto const& is_listed, Core::MonotonicTime now)
    {
        absl::erase_if(m_entries, [&](auto const& item) {
            auto const& [server, entry] = item;
            bool const is_old = Core::elapsed(entry.fact.observed(), now) > s_memory;
            bool const is_dropped = is_old && (entry.fact.is_over() || !is_listed(server));
            if (is_dropped && entry.times_to_tell > 0)
                --m_telling;
            return is_dropped;
        });
    }

private:
    struct Entry {
        Fact fact;
        unsigned times_to_tell {0};
        Core::MonotonicTime next_telling;
        /// The `observed` that was told last.
        Core::MonotonicTime told;
    };

    static bool is_due(Entry const& entry, Core::MonotonicTime now)
    {
        return entry.times_to_tell > 0 && entry.next_telling <= now;
    }

    FactChange merge(std::uint64_t server, Fact const& fact, Relaying relaying, Core::MonotonicTime now)
    {
        auto found = m_entries.find(server);
        bool const is_new = found == m_entries.end();
        if (is_new && m_entries.size() >= s_most_remembered)
            return FactChange::None;
        if (is_new)
            found = m_entries.emplace(server, Entry {fact, 0, {}, {}}).first;
        auto& entry = found->second;
        auto const change = is_new ? FactChange::Changed : entry.fact.merge(fact);
        if (relaying == Relaying::No)
            entry.told = std::max(entry.told, fact.observed());
        else if (change == FactChange::Changed)
            tell(entry, s_times_told, now);
        else if (change == FactChange::Confirmed && Core::elapsed(entry.told, entry.fact.observed()) >= s_refresh)
            tell(entry, 1, now);
        return change;
    }

    void tell(Entry& entry, unsigned times, Core::MonotonicTime now)
    {
        if (entry.times_to_tell == 0)
            ++m_telling;
        entry.times_to_tell = std::max(entry.times_to_tell, times);
        entry.next_telling = now;
    }

    absl::flat_hash_map<std::uint64_t, Entry> m_entries;
    /// Number of entries that are still to be told.
    std::size_t m_telling {0};
};

}
