#include <LibPolicy/CrashLedger.h>

#include <algorithm>
#include <utility>

namespace GraniteField::Policy {

namespace {

constexpr std::size_t s_unexplained_crashes_per_point = 2;

/// Calls `handle_subject` for the request and for each of its parts that is evaluated.
void for_each_subject(CrashIdentity const& identity, auto handle_subject)
{
    handle_subject(identity.request);
    for (std::size_t index = 0; index < std::min(identity.parts.size(), CrashIdentity::s_max_parts); ++index)
        handle_subject(identity.parts[index]);
}

}

bool CrashLedger::Presence::merge(Presence const& other)
{
    bool const is_stronger = other.exposure > exposure;
    bool const is_later = other.exposure == exposure && other.crashed > crashed + s_clock_tolerance;
    if (is_stronger || is_later) {
        exposure = other.exposure;
        crashed = other.crashed;
    }
    bool const is_outer_elsewhere = kind == SubjectKind::InnermostPart && other.kind == SubjectKind::OuterPart;
    if (is_outer_elsewhere)
        kind = SubjectKind::OuterPart;
    auto const removed
        = std::erase_if(companions, [&](auto const& companion) { return !other.has_companion(companion); });
    return is_stronger || is_later || is_outer_elsewhere || removed > 0;
}

bool CrashLedger::is_quarantined(CrashIdentity const& identity, Core::MonotonicTime now)
{
    bool is_found = false;
    for_each_subject(identity, [&](Core::RequestDigest const& subject) {
        auto const found = m_quarantined.find(subject);
        if (found == m_quarantined.end())
            return;
        found->second.last_requested = now;
        is_found = true;
    });
    return is_found;
}

bool CrashLedger::is_suspected(CrashIdentity const& identity, Core::MonotonicTime now) const
{
    bool is_found = false;
    for_each_subject(identity, [&](Core::RequestDigest const& subject) {
        auto const [known, is_new] = m_suspicions.try_emplace(subject, false);
        if (is_new)
            known->second = is_subject_suspected(subject, now);
        is_found = is_found || known->second;
    });
    return is_found;
}

bool CrashLedger::is_subject_suspected(Core::RequestDigest const& digest, Core::MonotonicTime now) const
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

std::size_t CrashLedger::count_crash_moments(CrashIdentity const& identity) const
{
    std::size_t moments = 0;
    for_each_subject(identity, [&](Core::RequestDigest const& subject) {
        auto const evidence = evidence_of(subject, Core::MonotonicTime::max());
        if (!evidence.crashes.empty() && !is_popular_part(subject, evidence))
            moments = std::max(moments, evidence.moments);
    });
    return moments;
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

std::optional<Core::MonotonicTime> CrashLedger::crash_time_of(std::uint64_t incarnation) const
{
    auto const found = std::ranges::find_if(
        m_crashes, [incarnation](auto const& item) { return item.second.server.incarnation == incarnation; });
    return found == m_crashes.end() ? std::nullopt : std::optional(found->second.time);
}

bool CrashLedger::note_success(CrashIdentity const& identity, Core::MonotonicTime completed, Core::MonotonicTime now)
{
    bool const had_evidence = clear_subject(identity.request, completed, now);
    return clear_parts(identity, completed, now) || had_evidence;
}

void CrashLedger::note_progress(CrashIdentity const& identity, Core::MonotonicTime now)
{
    clear_parts(identity, now, now);
}

bool CrashLedger::clear_parts(CrashIdentity const& identity, Core::MonotonicTime completed, Core::MonotonicTime now)
{
    bool had_evidence = false;
    for (std::size_t index = 0; index < std::min(identity.parts.size(), CrashIdentity::s_max_parts); ++index)
        had_evidence = clear_subject(identity.parts[index], completed, now) || had_evidence;
    return had_evidence;
}

bool CrashLedger::clear_subject(
    Core::RequestDigest const& subject, Core::MonotonicTime completed, Core::MonotonicTime now)
{
    bool const has_evidence = m_crashes_of.contains(subject) || m_quarantined.contains(subject);
    add_clearance({subject, completed}, CrashConclusion::Source::Here);
    if (has_evidence)
        report_success(subject, now);
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
    // The crash itself counts even if the request and its parts are cleared.
    auto const number = find_or_add_crash(witness.server, witness.crashed);
    auto& crash = m_crashes.at(number);
    // The earliest report is closest to the crash.
    crash.time = std::min(crash.time, witness.crashed);
    auto const part_count = std::min(witness.parts.size(), CrashIdentity::s_max_parts);
    auto const end = witness.parts.begin() + static_cast<std::ptrdiff_t>(part_count);
    Presence presence {SubjectKind::Request, witness.exposure, witness.crashed, {witness.parts.begin(), end}};
    report_success(witness.digest, now);
    bool is_new = add_presence(number, witness.digest, presence);
    presence.kind = SubjectKind::InnermostPart;
    while (!presence.companions.empty()) {
        auto const part = presence.companions.back();
        presence.companions.pop_back();
        report_success(part, now);
        is_new = add_presence(number, part, presence) || is_new;
        presence.kind = SubjectKind::OuterPart;
    }
    return is_new;
}

bool CrashLedger::add_presence(CrashNumber number, Core::RequestDigest const& subject, Presence const& presence)
{
    auto const success = m_successes.find(subject);
    if (success && presence.crashed <= *success + s_clock_tolerance)
        return false;
    auto& subjects = m_crashes.at(number).subjects;
    auto const known = subjects.find(subject);
    // The same report is received repeatedly, each time with an age that was rounded anew.
    if (known != subjects.end() && !known->second.merge(presence))
        return false;
    if (known == subjects.end()) {
        if (subjects.size() >= s_max_subjects_per_crash)
            return false;
        subjects.emplace(subject, presence);
    }
    m_crashes_of[subject].insert(number);
    m_suspicions.clear();
    m_last_unjudged = std::max(m_last_unjudged.value_or(presence.crashed), presence.crashed);
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
    m_suspicions.erase(event.digest);
    bool const had_evidence = m_crashes_of.contains(event.digest) || m_quarantined.contains(event.digest);
    if (!had_evidence)
        return true;
    bool const is_notable = is_notable_clearance(event.digest);
    auto const conclusion = CrashConclusion {CrashConclusion::Kind::Cleared, source, event.digest,
        m_crashes_of.contains(event.digest) ? m_crashes_of[event.digest].size() : 0, count_crash_moments(event.digest),
        m_quarantined.contains(event.digest)};
    forget_request(event.digest, event.time + s_clock_tolerance);
    auto const entry = m_quarantined.find(event.digest);
    if (entry != m_quarantined.end() && entry->second.since <= event.time + s_clock_tolerance)
        m_quarantined.erase(entry);
    if (is_notable)
        m_conclusions.push_back(conclusion);
    // Crashes of the cleared request may now be evidence against a single other one.
    m_last_unjudged = std::max(m_last_unjudged.value_or(event.time), event.time);
    return true;
}

bool CrashLedger::is_notable_clearance(Core::RequestDigest const& digest) const
{
    if (m_quarantined.contains(digest))
        return true;
    auto const& numbers = m_crashes_of.at(digest);
    // Parts that many requests share are at every crash, and are cleared after every crash.
    bool const is_request = m_crashes.at(*numbers.begin()).subjects.at(digest).kind == SubjectKind::Request;
    return is_request || numbers.size() * 2 >= s_points_to_quarantine;
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
    m_suspicions.clear();
    m_conclusions.push_back(
        {CrashConclusion::Kind::Quarantined, source, event.digest, evidence.crashes.size(), evidence.moments});
    return true;
}

void CrashLedger::forget_oldest_crash()
{
    auto const crash = m_crashes.extract(m_crashes.begin());
    for (auto const& [digest, presence] : crash.mapped().subjects) {
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
        bool const is_before = crash.subjects.at(digest).crashed <= until;
        return is_before && crash.subjects.erase(digest) > 0;
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

bool CrashLedger::is_explained_for(Core::RequestDigest const& subject, Crash const& crash) const
{
    auto const explains = [&](Core::RequestDigest const& cause, Presence const& presence) {
        return cause != subject && !(presence.kind == SubjectKind::Request && presence.has_companion(subject));
    };
    if (m_quarantined.size() < crash.subjects.size()) {
        return std::ranges::any_of(m_quarantined, [&](auto const& item) {
            auto const found = crash.subjects.find(item.first);
            return found != crash.subjects.end() && explains(found->first, found->second);
        });
    }
    return std::ranges::any_of(crash.subjects,
        [&](auto const& item) { return m_quarantined.contains(item.first) && explains(item.first, item.second); });
}

bool CrashLedger::accompanies(
    Core::RequestDigest const& companion, Core::RequestDigest const& subject, Crash const& crash)
{
    auto const found = crash.subjects.find(subject);
    return found != crash.subjects.end() && found->second.has_companion(companion);
}

bool CrashLedger::accompanies(
    Core::RequestDigest const& companion, Core::RequestDigest const& subject, Evidence const& evidence)
{
    return std::ranges::all_of(
        evidence.crashes, [&](auto const* crash) { return accompanies(companion, subject, *crash); });
}

bool CrashLedger::is_popular_part(Core::RequestDigest const& subject, Evidence const& evidence) const
{
    return evidence.kind != SubjectKind::Request && !evidence.crashes.empty()
        && succeeded_recently_before(subject, *evidence.crashes.back());
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
        auto const found = crash->subjects.find(digest);
        if (found == crash->subjects.end())
            continue;
        auto const& presence = found->second;
        evidence.kind = std::max(evidence.kind, presence.kind);
        bool const is_part = presence.kind != SubjectKind::Request;
        bool const is_new_moment = evidence.crashes.empty() || crash->time - moment > s_same_moment;
        if (is_new_moment) {
            moment = crash->time;
            ++evidence.moments;
        }
        bool const is_recent_success = succeeded_recently_before(digest, *crash);
        if (is_new_moment || (!is_part && !is_recent_success))
            evidence.points += std::exchange(points_of_moment, 0U);
        auto const points = is_part ? static_cast<unsigned>(presence.exposure) : s_points_of_request;
        // Many requests share a part, so that it is at all servers which crash at once for another reason.
        bool const adds_up = is_part && !is_recent_success;
        points_of_moment = adds_up ? std::min(points_of_moment + points, s_max_points_of_moment)
                                   : std::max(points_of_moment, points);
        evidence.weight += points;
        evidence.crashes.push_back(crash);
    }
    evidence.points += points_of_moment;
    if (evidence.kind == SubjectKind::Request)
        evidence.weight = evidence.points;
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
        if (crash.time <= until && !is_explained_for(digest, crash))
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
            && crash.time <= until && !crash.subjects.contains(digest);
        return is_other && !is_explained_for(digest, crash);
    }));
}

bool CrashLedger::has_sufficient_lead(
    Core::RequestDigest const& digest, Evidence const& evidence, Core::MonotonicTime until) const
{
    absl::flat_hash_set<Core::RequestDigest> rivals;
    for (auto const* crash : evidence.crashes) {
        for (auto const& [other, presence] : crash->subjects)
            rivals.insert(other);
    }
    rivals.erase(digest);
    return std::ranges::none_of(
        rivals, [&](auto const& rival) { return is_alternative(rival, digest, evidence, until); });
}

bool CrashLedger::is_alternative(Core::RequestDigest const& rival, Core::RequestDigest const& subject,
    Evidence const& evidence, Core::MonotonicTime until) const
{
    auto const shared = score(rival, evidence.crashes);
    bool const is_less_specific = accompanies(rival, subject, evidence);
    if (is_less_specific || (is_popular_part(rival, shared) && !is_popular_part(subject, evidence)))
        return false;
    // A more specific part is judged first if it explains a good part of the crashes.
    if (shared.kind != SubjectKind::Request && accompanies(subject, rival, shared))
        return shared.weight * s_max_causes_of_outer_part >= evidence.weight;
    // An outer part is at most crashes, whatever caused them.
    if (shared.kind == SubjectKind::OuterPart && evidence.kind == SubjectKind::InnermostPart)
        return shared.weight >= evidence.weight && evidence_of(rival, until).weight >= evidence.weight + 2 * s_min_lead;
    bool const explains_as_much = shared.weight + s_min_lead > evidence.weight;
    // Another subject may explain these crashes and more although its presence at one of them is not known here. Parts
    // that many requests share are at most crashes, so that only one that is missing at hardly any is an alternative.
    bool const is_part_concerned = shared.kind != SubjectKind::Request || evidence.kind != SubjectKind::Request;
    bool const shares_enough
        = is_part_concerned ? shared.weight + 2 * s_min_lead > evidence.weight : 2 * shared.weight >= evidence.weight;
    return explains_as_much || (shares_enough && evidence_of(rival, until).weight >= evidence.weight);
}

unsigned CrashLedger::needed_points(Core::RequestDigest const& subject, Evidence const& evidence) const
{
    if (is_popular_part(subject, evidence))
        return s_points_to_quarantine_popular_part;
    if (evidence.kind != SubjectKind::OuterPart)
        return s_points_to_quarantine;
    return s_points_to_quarantine_outer_part;
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
    auto const needed = needed_points(digest, evidence) + std::min<std::size_t>(extra, s_max_extra_points);
    return evidence.points >= needed && has_sufficient_lead(digest, evidence, until);
}

bool CrashLedger::quarantine_one(Core::MonotonicTime now)
{
    auto const until = now - s_settling_time;
    auto const until_single_moment = now - s_single_moment_settling_time;
    std::optional<Core::RequestDigest> strongest;
    unsigned most_weight = 0;
    for (auto const& [digest, numbers] : m_crashes_of) {
        // A crash counts at most two points.
        if (numbers.size() * 2 < s_points_to_quarantine || m_quarantined.contains(digest))
            continue;
        auto const evidence = evidence_of(digest, until);
        bool const has_settled
            = evidence.moments > 1 || (evidence.moments == 1 && evidence.crashes.back()->time <= until_single_moment);
        // Ties are broken by the digest, so that all gateways decide alike.
        bool const is_stronger
            = evidence.weight > most_weight || (strongest && evidence.weight == most_weight && digest < *strongest);
        if (has_settled && is_stronger && is_convincing(digest, evidence, until)) {
            most_weight = evidence.weight;
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
    m_suspicions.clear();
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
