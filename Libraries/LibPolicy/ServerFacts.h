#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// Effect of an observation on a known fact.
enum class FactChange {
    None,
    /// A newer answer confirms it.
    Confirmed,
    Changed,
};

/// Whether a report from another gateway is forwarded.
enum class Relaying {
    No,
    Yes,
};

/// Maximum number of reports of one kind in one datagram.
inline constexpr std::size_t s_max_reports = 200;

/// A fact that a backend server stated in an answer. observed() is the time of the newest evidence; is_over() says
/// whether the fact has ended and only supersedes older reports. Merging must not depend on the order, since reports
/// of different gateways overtake each other.
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

/// Facts that backend servers stated in answers, replicated among the gateways. The key is the hash of a server's
/// incarnation, so that a fact ends with the incarnation. No I/O and no clock.
template <MergeableFact Fact>
class ServerFacts {
public:
    struct Report {
        std::uint64_t server {0};
        Fact fact;
    };

    /// Reports of a change are repeated, since datagrams are lost.
    static constexpr unsigned s_repetitions = 3;
    static constexpr Core::Milliseconds s_repetition_interval {100};
    /// Interval between reports of a confirmed fact, for gateways that have just started.
    static constexpr Core::Milliseconds s_refresh_interval {4'000};
    static constexpr std::size_t s_max_facts = 16'384;
    /// Time for which facts are kept that have ended or whose server is not listed. The store may list a server again
    /// after an outage.
    static constexpr Core::Milliseconds s_retention {600'000};

    [[nodiscard]] bool is_empty() const { return m_entries.empty(); }
    /// Returns the known fact about the server, or null.
    [[nodiscard]] Fact const* find(std::uint64_t server) const
    {
        auto const found = m_entries.find(server);
        return found == m_entries.end() ? nullptr : &found->second.fact;
    }

    /// Merges an observation of this gateway.
    FactChange note(std::uint64_t server, Fact const& fact, Core::MonotonicTime now)
    {
        return merge(server, fact, Relaying::Yes, now);
    }

    /// Merges a report of another gateway.
    FactChange apply(Report const& report, Relaying relaying, Core::MonotonicTime now)
    {
        return merge(report.server, report.fact, relaying, now);
    }

    [[nodiscard]] bool has_due_reports(Core::MonotonicTime now) const
    {
        return m_scheduled > 0
            && std::ranges::any_of(m_entries, [now](auto const& item) { return is_due(item.second, now); });
    }

    /// Returns the reports to send now.
    [[nodiscard]] std::vector<Report> take_due_reports(Core::MonotonicTime now)
    {
        std::vector<Report> reports;
        if (m_scheduled == 0)
            return reports;
        for (auto& [server, entry] : m_entries) {
            if (!is_due(entry, now) || reports.size() >= s_max_reports)
                continue;
            reports.push_back({server, entry.fact});
            entry.next_report = now + s_repetition_interval;
            entry.last_reported = entry.fact.observed();
            if (--entry.repetitions_left == 0)
                --m_scheduled;
        }
        return reports;
    }

    /// Returns all facts, for a gateway that has just started.
    [[nodiscard]] std::vector<Report> all_reports() const
    {
        std::vector<Report> reports;
        for (auto const& [server, entry] : m_entries) {
            if (reports.size() < s_max_reports)
                reports.push_back({server, entry.fact});
        }
        return reports;
    }

    /// Drops old facts that are over or whose server is not listed.
    void forget_old(std::predicate<std::uint64_t> auto const& is_listed, Core::MonotonicTime now)
    {
        absl::erase_if(m_entries, [&](auto const& item) {
            auto const& [server, entry] = item;
            bool const is_old = Core::elapsed(entry.fact.observed(), now) > s_retention;
            bool const is_dropped = is_old && (entry.fact.is_over() || !is_listed(server));
            if (is_dropped && entry.repetitions_left > 0)
                --m_scheduled;
            return is_dropped;
        });
    }

private:
    struct Entry {
        Fact fact;
        unsigned repetitions_left {0};
        Core::MonotonicTime next_report;
        /// Time of the evidence that was last reported.
        Core::MonotonicTime last_reported;
    };

    static bool is_due(Entry const& entry, Core::MonotonicTime now)
    {
        return entry.repetitions_left > 0 && entry.next_report <= now;
    }

    FactChange merge(std::uint64_t server, Fact const& fact, Relaying relaying, Core::MonotonicTime now)
    {
        auto found = m_entries.find(server);
        bool const is_new = found == m_entries.end();
        if (is_new && m_entries.size() >= s_max_facts)
            return FactChange::None;
        if (is_new)
            found = m_entries.emplace(server, Entry {fact, 0, {}, {}}).first;
        auto& entry = found->second;
        auto const change = is_new ? FactChange::Changed : entry.fact.merge(fact);
        if (relaying == Relaying::No)
            entry.last_reported = std::max(entry.last_reported, fact.observed());
        else if (change == FactChange::Changed)
            schedule(entry, s_repetitions, now);
        else if (change == FactChange::Confirmed
            && Core::elapsed(entry.last_reported, entry.fact.observed()) >= s_refresh_interval)
            schedule(entry, 1, now);
        return change;
    }

    void schedule(Entry& entry, unsigned repetitions, Core::MonotonicTime now)
    {
        if (entry.repetitions_left == 0)
            ++m_scheduled;
        entry.repetitions_left = std::max(entry.repetitions_left, repetitions);
        entry.next_report = now;
    }

    absl::flat_hash_map<std::uint64_t, Entry> m_entries;
    /// Number of entries with repetitions left.
    std::size_t m_scheduled {0};
};

}
