#include <LibPolicy/CrashLedger.h>

#include <algorithm>
#include <utility>

namespace GraniteField::Policy {

namespace {

constexpr std::size_t s_unexplained_crashes_per_point = 2;

}

bool CrashLedger::is_quarantined(Core::RequestDigest const& digest, Core::MonotonicTime now)
{
    auto const found = m_quarantined.find(digest);
    if (found == m_quarantined.end())
        return false;
    found->second.last_requested = now;
    return true;
}

bool CrashLedger::is_suspected(Core::RequestDigest const& digest, Core::MonotonicTime now) const
{
    auto const numbers = m_crashes_of.find(digest);
    if (numbers == m_crashes_of.end() || numbers->second.size() * 2 < s_points_to_quarantine)
        return false;
    auto const evidence = evidence_of(digest, now);
    bool const is_recent = !evidence.crashes.empty()
        && Core::elapsed(evidence.crashes.back()->time, now) < s_single_moment_settling_time;
    return is_recent && is_convincing(digest, evidence, now);
}

std::vector<std::uint64_t> CrashLedger::crashed_addresses(Core::RequestDigest const& digest) const
{
    std::vector<std::uint64_t> addresses;
    auto const numbers = m_crashes_of.find(digest);
    if (numbers == m_crashes_of.end())
        return addresses;
    for (auto const number : numbers->second)
        addresses.push_back(m_crashes.at(number).server.address);
    return addresses;
}

std::size_t CrashLedger::count_crash_moments(Core::RequestDigest const& digest) const
{
    return evidence_of(digest, Core::MonotonicTime::max()).moments;
}

void CrashLedger::report_success(Core::RequestDigest const& digest, Core::MonotonicTime now)
{
    auto const success = m_successes.find(digest);
    if (!success || m_reported_successes.find(digest) == success)
        return;
    m_reported_successes.note(digest, *success);
    schedule_report(m_pending_clearances, {digest, *success}, now);
}

void CrashLedger::note_crash(CrashWitness const& witness, Core::MonotonicTime now)
{
    if (add_witness(witness, now))
        schedule_report(m_pending_witnesses, witness, now);
}

bool CrashLedger::note_success(Core::RequestDigest const& digest, Core::MonotonicTime now)
{
    bool const has_evidence = m_crashes_of.contains(digest) || m_quarantined.contains(digest);
    add_clearance({digest, now}, CrashConclusion::Source::Here);
    if (has_evidence)
        report_success(digest, now);
    return has_evidence;
}

void CrashLedger::apply(CrashReport const& report, Relaying relaying, Core::MonotonicTime now)
{
    bool const should_relay = relaying == Relaying::Yes;
    for (auto const& event : report.cleared) {
        if (add_clearance(event, CrashConclusion::Source::Elsewhere) && should_relay)
            schedule_report(m_pending_clearances, event, now);
    }
    for (auto const& witness : report.witnesses) {
        if (add_witness(witness, now) && should_relay)
            schedule_report(m_pending_witnesses, witness, now);
    }
    for (auto const& event : report.quarantined) {
        if (add_quarantine(event, CrashConclusion::Source::Elsewhere, now) && should_relay)
            schedule_report(m_pending_quarantines, event, now);
    }
}

bool CrashLedger::add_witness(CrashWitness const& witness, Core::MonotonicTime now)
{
    report_success(witness.digest, now);
    // The crash itself counts even if this request is cleared.
    auto const number = find_or_add_crash(witness.server, witness.crashed);
    auto& crash = m_crashes.at(number);
    // The earliest report is closest to the crash.
    crash.time = std::min(crash.time, witness.crashed);
    auto const success = m_successes.find(witness.digest);
    if (success && witness.crashed <= *success + s_clock_tolerance)
        return false;
    auto const known = crash.requests.find(witness.digest);
    Presence const presence {witness.exposure, witness.crashed};
    // The same report is received repeatedly, each time with an age that was rounded anew.
    if (known != crash.requests.end() && known->second.covers(presence))
        return false;
    if (known == crash.requests.end() && crash.requests.size() >= s_max_requests_per_crash)
        return false;
    crash.requests[witness.digest] = presence;
    m_crashes_of[witness.digest].insert(number);
    m_last_unjudged = std::max(m_last_unjudged.value_or(witness.crashed), witness.crashed);
    return true;
}

CrashLedger::CrashNumber CrashLedger::find_or_add_crash(ServerIncarnation const& server, Core::MonotonicTime crashed)
{
    auto const is_same = [&](auto const& item) {
        auto const difference = item.second.time < crashed ? crashed - item.second.time : item.second.time - crashed;
        return item.second.server.incarnation == server.incarnation && difference <= s_same_crash;
    };
    // Search the newest crashes first, since nearly every report concerns one of them.
    auto const known = std::find_if(m_crashes.rbegin(), m_crashes.rend(), is_same);
    if (known != m_crashes.rend())
        return known->first;
    if (m_crashes.size() >= s_max_crashes)
        forget_oldest_crash();
    m_crashes[m_next_crash] = {server, crashed, {}};
    return m_next_crash++;
}

bool CrashLedger::add_clearance(DigestEvent const& event, CrashConclusion::Source source)
{
    auto const known = m_successes.find(event.digest);
    auto const slack = source == CrashConclusion::Source::Here ? Core::Milliseconds(0) : s_clock_tolerance;
    if (known && event.time <= *known + slack)
        return false;
    m_successes.note(event.digest, event.time);
    bool const had_evidence = m_crashes_of.contains(event.digest) || m_quarantined.contains(event.digest);
    if (!had_evidence)
        return true;
    auto const conclusion = CrashConclusion {CrashConclusion::Kind::Cleared, source, event.digest,
        m_crashes_of.contains(event.digest) ? m_crashes_of[event.digest].size() : 0, count_crash_moments(event.digest),
        m_quarantined.contains(event.digest)};
    forget_request(event.digest, event.time + s_clock_tolerance);
    auto const entry = m_quarantined.find(event.digest);
    if (entry != m_quarantined.end() && entry->second.since <= event.time + s_clock_tolerance)
        m_quarantined.erase(entry);
    m_conclusions.push_back(conclusion);
    // Crashes of the cleared request may now be evidence against a single other one.
    m_last_unjudged = std::max(m_last_unjudged.value_or(event.time), event.time);
    return true;
}

bool CrashLedger::add_quarantine(DigestEvent const& event, CrashConclusion::Source source, Core::MonotonicTime now)
{
    auto const success = m_successes.find(event.digest);
    bool const is_outdated = success && event.time <= *success + s_clock_tolerance;
    if (is_outdated || m_quarantined.contains(event.digest))
        return false;
    if (m_quarantined.size() >= s_max_digests) {
        auto const oldest
            = std::ranges::min_element(m_quarantined, {}, [](auto const& item) { return item.second.last_requested; });
        m_quarantined.erase(oldest);
    }
    auto const evidence = evidence_of(event.digest, Core::MonotonicTime::max());
    m_quarantined[event.digest] = {event.time, now, now};
    m_conclusions.push_back(
        {CrashConclusion::Kind::Quarantined, source, event.digest, evidence.crashes.size(), evidence.moments});
    return true;
}

void CrashLedger::forget_oldest_crash()
{
    auto const crash = m_crashes.extract(m_crashes.begin());
    for (auto const& [digest, presence] : crash.mapped().requests) {
        auto const numbers = m_crashes_of.find(digest);
        numbers->second.erase(crash.key());
        if (numbers->second.empty())
            m_crashes_of.erase(numbers);
    }
}

void CrashLedger::forget_request(Core::RequestDigest const& digest, Core::MonotonicTime until)
{
    auto const numbers = m_crashes_of.find(digest);
    if (numbers == m_crashes_of.end())
        return;
    absl::erase_if(numbers->second, [&](auto number) {
        auto& crash = m_crashes.at(number);
        bool const is_before = crash.requests.at(digest).crashed <= until;
        return is_before && crash.requests.erase(digest) > 0;
    });
    if (numbers->second.empty())
        m_crashes_of.erase(numbers);
}

void CrashLedger::forget_old(Core::MonotonicTime now)
{
    while (!m_crashes.empty() && m_crashes.begin()->second.time + s_retention < now)
        forget_oldest_crash();
    m_successes.forget_before(now - s_retention);
    absl::erase_if(m_quarantined, [&](auto const& item) {
        if (item.second.last_requested + s_retention >= now)
            return false;
        m_conclusions.push_back(
            {CrashConclusion::Kind::Expired, CrashConclusion::Source::Here, item.first, 0, 0, true});
        return true;
    });
}

bool CrashLedger::is_explained(Crash const& crash) const
{
    return !m_quarantined.empty()
        && std::ranges::any_of(crash.requests, [this](auto const& item) { return m_quarantined.contains(item.first); });
}

bool CrashLedger::succeeded_recently_before(Core::RequestDigest const& digest, Crash const& crash) const
{
    auto const success = m_successes.find(digest);
    return success && crash.time - *success <= s_recent_success_time;
}

CrashLedger::Evidence CrashLedger::score(Core::RequestDigest const& digest, std::span<Crash const* const> crashes) const
{
    Evidence evidence;
    Core::MonotonicTime moment;
    unsigned points_of_moment = 0;
    for (auto const* crash : crashes) {
        auto const found = crash->requests.find(digest);
        if (found == crash->requests.end())
            continue;
        bool const is_new_moment = evidence.crashes.empty() || crash->time - moment > s_same_moment;
        if (is_new_moment) {
            moment = crash->time;
            ++evidence.moments;
        }
        if (is_new_moment || !succeeded_recently_before(digest, *crash))
            evidence.points += std::exchange(points_of_moment, 0U);
        points_of_moment = std::max(points_of_moment, static_cast<unsigned>(found->second.exposure));
        evidence.crashes.push_back(crash);
    }
    evidence.points += points_of_moment;
    return evidence;
}

CrashLedger::Evidence CrashLedger::evidence_of(Core::RequestDigest const& digest, Core::MonotonicTime until) const
{
    auto const numbers = m_crashes_of.find(digest);
    if (numbers == m_crashes_of.end())
        return {};
    std::vector<Crash const*> crashes;
    for (auto const number : numbers->second) {
        auto const& crash = m_crashes.at(number);
        if (crash.time <= until && !is_explained(crash))
            crashes.push_back(&crash);
    }
    std::ranges::sort(crashes, {}, &Crash::time);
    return score(digest, crashes);
}

std::size_t CrashLedger::count_unexplained(
    Core::RequestDigest const& digest, Evidence const& evidence, Core::MonotonicTime until) const
{
    auto const& first = *evidence.crashes.front();
    return static_cast<std::size_t>(std::ranges::count_if(m_crashes, [&](auto const& item) {
        auto const& crash = item.second;
        bool const is_other = crash.server.service == first.server.service && crash.time >= first.time
            && crash.time <= until && !crash.requests.contains(digest);
        return is_other && !is_explained(crash);
    }));
}

bool CrashLedger::has_sufficient_lead(
    Core::RequestDigest const& digest, Evidence const& evidence, Core::MonotonicTime until) const
{
    absl::flat_hash_set<Core::RequestDigest> rivals;
    for (auto const* crash : evidence.crashes) {
        for (auto const& [other, presence] : crash->requests)
            rivals.insert(other);
    }
    rivals.erase(digest);
    return std::ranges::none_of(rivals, [&](auto const& rival) {
        auto const shared = score(rival, evidence.crashes).points;
        bool const explains_as_much = shared + s_min_lead > evidence.points;
        // Another request may explain these crashes and more although its presence at one of them is not known here.
        bool const explains_more = 2 * shared >= evidence.points && evidence_of(rival, until).points >= evidence.points;
        return explains_as_much || explains_more;
    });
}

bool CrashLedger::is_convincing(
    Core::RequestDigest const& digest, Evidence const& evidence, Core::MonotonicTime until) const
{
    if (evidence.points < s_points_to_quarantine)
        return false;
    absl::flat_hash_set<std::uint64_t> addresses;
    for (auto const* crash : evidence.crashes)
        addresses.insert(crash->server.address);
    if (addresses.size() < s_min_addresses)
        return false;
    auto const extra = count_unexplained(digest, evidence, until) / s_unexplained_crashes_per_point;
    auto const needed = s_points_to_quarantine + std::min<std::size_t>(extra, s_max_extra_points);
    return evidence.points >= needed && has_sufficient_lead(digest, evidence, until);
}

bool CrashLedger::quarantine_one(Core::MonotonicTime now)
{
    auto const until = now - s_settling_time;
    auto const until_single_moment = now - s_single_moment_settling_time;
    std::optional<Core::RequestDigest> strongest;
    unsigned most_points = 0;
    for (auto const& [digest, numbers] : m_crashes_of) {
        // A crash counts at most two points.
        if (numbers.size() * 2 < s_points_to_quarantine || m_quarantined.contains(digest))
            continue;
        auto const evidence = evidence_of(digest, until);
        bool const has_settled
            = evidence.moments > 1 || (evidence.moments == 1 && evidence.crashes.back()->time <= until_single_moment);
        // Ties are broken by the digest, so that all gateways decide alike.
        bool const is_stronger
            = evidence.points > most_points || (strongest && evidence.points == most_points && digest < *strongest);
        if (has_settled && is_stronger && is_convincing(digest, evidence, until)) {
            most_points = evidence.points;
            strongest = digest;
        }
    }
    if (!strongest)
        return false;
    DigestEvent const event {*strongest, now};
    add_quarantine(event, CrashConclusion::Source::Here, now);
    schedule_report(m_pending_quarantines, event, now);
    return true;
}

void CrashLedger::tick(Core::MonotonicTime now)
{
    forget_old(now);
    if (!m_last_unjudged)
        return;
    while (quarantine_one(now)) { }
    if (*m_last_unjudged + s_single_moment_settling_time <= now)
        m_last_unjudged.reset();
}

template <typename Fact>
void CrashLedger::schedule_report(std::vector<PendingReport<Fact>>& pending, Fact const& fact, Core::MonotonicTime now)
{
    // Drop reports beyond what can be sent in time.
    constexpr auto reports_in_duration = static_cast<std::size_t>(s_report_duration / s_report_interval);
    if (pending.size() < s_max_reported * reports_in_duration)
        pending.push_back({fact, now + s_report_duration, now});
}

bool CrashLedger::has_due_reports(Core::MonotonicTime now) const
{
    auto const is_due = [now](auto const& item) { return item.next <= now; };
    return std::ranges::any_of(m_pending_witnesses, is_due) || std::ranges::any_of(m_pending_clearances, is_due)
        || std::ranges::any_of(m_pending_quarantines, is_due)
        || std::ranges::any_of(
            m_quarantined, [now](auto const& item) { return item.second.last_reported + s_refresh_interval <= now; });
}

template <typename Fact>
void CrashLedger::take_due(
    std::vector<PendingReport<Fact>>& pending, std::vector<Fact>& target, Core::MonotonicTime now)
{
    for (auto& item : pending) {
        if (item.next > now || target.size() >= s_max_reported)
            continue;
        target.push_back(item.fact);
        item.next = now + s_report_interval;
    }
    std::erase_if(pending, [now](auto const& item) { return item.until <= now; });
}

CrashReport CrashLedger::take_due_report(Core::MonotonicTime now)
{
    CrashReport report;
    take_due(m_pending_witnesses, report.witnesses, now);
    take_due(m_pending_clearances, report.cleared, now);
    take_due(m_pending_quarantines, report.quarantined, now);
    for (auto& [digest, entry] : m_quarantined) {
        if (entry.last_reported + s_refresh_interval > now || report.quarantined.size() >= s_max_reported)
            continue;
        report.quarantined.push_back({digest, entry.since});
        entry.last_reported = now;
    }
    return report;
}

std::vector<CrashConclusion> CrashLedger::take_conclusions()
{
    return std::exchange(m_conclusions, {});
}

std::vector<CrashLedger::Quarantined> CrashLedger::quarantined() const
{
    std::vector<Quarantined> list;
    list.reserve(m_quarantined.size());
    for (auto const& [digest, entry] : m_quarantined)
        list.push_back({digest, entry.since, entry.last_requested});
    return list;
}

}
