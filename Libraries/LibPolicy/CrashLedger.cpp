#include <LibPolicy/CrashLedger.h>

#include <algorithm>
#include <utility>

namespace GraniteField::Policy {

namespace {

constexpr std::size_t s_crashes_for_a_point = 2;

}

bool CrashLedger::is_quarantined(Core::RequestDigest const& digest, Core::MonotonicTime now)
{
    auto const found = m_quarantined.find(digest);
    if (found == m_quarantined.end())
        return false;
    found->second.asked = now;
    return true;
}

bool CrashLedger::is_in_doubt(Core::RequestDigest const& digest, Core::MonotonicTime now) const
{
    auto const numbers = m_crashes_of.find(digest);
    if (numbers == m_crashes_of.end() || numbers->second.size() * 2 < s_points_to_quarantine)
        return false;
    auto const evidence = evidence_of(digest, now);
    bool const is_recent
        = !evidence.crashes.empty() && Core::elapsed(evidence.crashes.back()->time, now) < s_lone_moment_time;
    return is_recent && is_convincing(digest, evidence, now);
}

std::vector<std::uint64_t> CrashLedger::places_crashed(Core::RequestDigest const& digest) const
{
    std::vector<std::uint64_t> places;
    auto const numbers = m_crashes_of.find(digest);
    if (numbers == m_crashes_of.end())
        return places;
    for (auto const number : numbers->second)
        places.push_back(m_crashes.at(number).server.place);
    return places;
}

std::size_t CrashLedger::moments_of(Core::RequestDigest const& digest) const
{
    return evidence_of(digest, Core::MonotonicTime::max()).moments;
}

void CrashLedger::tell_good_end(Core::RequestDigest const& digest, Core::MonotonicTime now)
{
    auto const good = m_good.find(digest);
    if (!good || m_told_good.find(digest) == good)
        return;
    m_told_good.note(digest, *good);
    tell(m_clearances_to_tell, {digest, *good}, now);
}

void CrashLedger::note_crash(CrashWitness const& witness, Core::MonotonicTime now)
{
    if (add_witness(witness, now))
        tell(m_witnesses_to_tell, witness, now);
}

bool CrashLedger::note_good_end(Core::RequestDigest const& digest, Core::MonotonicTime now)
{
    bool const is_held = m_crashes_of.contains(digest) || m_quarantined.contains(digest);
    add_clearance({digest, now}, CrashConclusion::Source::Here);
    if (is_held)
        tell_good_end(digest, now);
    return is_held;
}

void CrashLedger::take(CrashNews const& news, Relaying relaying, Core::MonotonicTime now)
{
    bool const tells_on = relaying == Relaying::Yes;
    for (auto const& word : news.cleared) {
        if (add_clearance(word, CrashConclusion::Source::Elsewhere) && tells_on)
            tell(m_clearances_to_tell, word, now);
    }
    for (auto const& witness : news.witnesses) {
        if (add_witness(witness, now) && tells_on)
            tell(m_witnesses_to_tell, witness, now);
    }
    for (auto const& word : news.quarantined) {
        if (add_quarantine(word, CrashConclusion::Source::Elsewhere, now) && tells_on)
            tell(m_quarantines_to_tell, word, now);
    }
}

bool CrashLedger::add_witness(CrashWitness const& witness, Core::MonotonicTime now)
{
    tell_good_end(witness.digest, now);
    // That the server crashed is known also where this request had nothing to do with it.
    auto const number = crash_of(witness.server, witness.crashed);
    auto& crash = m_crashes.at(number);
    // The first who met it was nearest to it.
    crash.time = std::min(crash.time, witness.crashed);
    auto const good = m_good.find(witness.digest);
    if (good && witness.crashed <= *good + s_clock_slack)
        return false;
    auto const known = crash.requests.find(witness.digest);
    Presence const presence {witness.exposure, witness.crashed};
    // The same word comes again and again, each time with an age that has been rounded anew.
    if (known != crash.requests.end() && known->second.covers(presence))
        return false;
    if (known == crash.requests.end() && crash.requests.size() >= s_most_requests_of_a_crash)
        return false;
    crash.requests[witness.digest] = presence;
    m_crashes_of[witness.digest].insert(number);
    m_to_judge = std::max(m_to_judge.value_or(witness.crashed), witness.crashed);
    return true;
}

CrashLedger::CrashNumber CrashLedger::crash_of(ServerLife const& server, Core::MonotonicTime crashed)
{
    auto const is_same = [&](auto const& item) {
        auto const apart = item.second.time < crashed ? crashed - item.second.time : item.second.time - crashed;
        return item.second.server.life == server.life && apart <= s_same_crash;
    };
    // The newest are looked at first: nearly every word is about one of them.
    auto const known = std::find_if(m_crashes.rbegin(), m_crashes.rend(), is_same);
    if (known != m_crashes.rend())
        return known->first;
    if (m_crashes.size() >= s_most_crashes)
        forget_oldest_crash();
    m_crashes[m_next_crash] = {server, crashed, {}};
    return m_next_crash++;
}

bool CrashLedger::add_clearance(DigestWord const& word, CrashConclusion::Source source)
{
    auto const known = m_good.find(word.digest);
    auto const slack = source == CrashConclusion::Source::Here ? Core::Milliseconds(0) : s_clock_slack;
    if (known && word.time <= *known + slack)
        return false;
    m_good.note(word.digest, word.time);
    bool const was_held = m_crashes_of.contains(word.digest) || m_quarantined.contains(word.digest);
    if (!was_held)
        return true;
    auto const conclusion = CrashConclusion {CrashConclusion::Kind::Cleared, source, word.digest,
        m_crashes_of.contains(word.digest) ? m_crashes_of[word.digest].size() : 0, moments_of(word.digest),
        m_quarantined.contains(word.digest)};
    forget_request(word.digest, word.time + s_clock_slack);
    auto const hold = m_quarantined.find(word.digest);
    if (hold != m_quarantined.end() && hold->second.since <= word.time + s_clock_slack)
        m_quarantined.erase(hold);
    m_conclusions.push_back(conclusion);
    // What it was at may now speak against another one alone.
    m_to_judge = std::max(m_to_judge.value_or(word.time), word.time);
    return true;
}

bool CrashLedger::add_quarantine(DigestWord const& word, CrashConclusion::Source source, Core::MonotonicTime now)
{
    auto const good = m_good.find(word.digest);
    bool const is_outdated = good && word.time <= *good + s_clock_slack;
    if (is_outdated || m_quarantined.contains(word.digest))
        return false;
    if (m_quarantined.size() >= s_most_words) {
        auto const oldest
            = std::ranges::min_element(m_quarantined, {}, [](auto const& item) { return item.second.asked; });
        m_quarantined.erase(oldest);
    }
    auto const evidence = evidence_of(word.digest, Core::MonotonicTime::max());
    m_quarantined[word.digest] = {word.time, now, now};
    m_conclusions.push_back(
        {CrashConclusion::Kind::Quarantined, source, word.digest, evidence.crashes.size(), evidence.moments});
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
    while (!m_crashes.empty() && m_crashes.begin()->second.time + s_memory < now)
        forget_oldest_crash();
    m_good.forget_before(now - s_memory);
    absl::erase_if(m_quarantined, [&](auto const& item) {
        if (item.second.asked + s_memory >= now)
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

bool CrashLedger::was_good_before(Core::RequestDigest const& digest, Crash const& crash) const
{
    auto const good = m_good.find(digest);
    return good && crash.time - *good <= s_good_memory;
}

CrashLedger::Evidence CrashLedger::weigh(Core::RequestDigest const& digest, std::span<Crash const* const> crashes) const
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
        if (is_new_moment || !was_good_before(digest, *crash))
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
    return weigh(digest, crashes);
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

bool CrashLedger::leads(Core::RequestDigest const& digest, Evidence const& evidence, Core::MonotonicTime until) const
{
    absl::flat_hash_set<Core::RequestDigest> rivals;
    for (auto const* crash : evidence.crashes) {
        for (auto const& [other, presence] : crash->requests)
            rivals.insert(other);
    }
    rivals.erase(digest);
    return std::ranges::none_of(rivals, [&](auto const& rival) {
        auto const shared = weigh(rival, evidence.crashes).points;
        bool const explains_as_much = shared + s_lead > evidence.points;
        // Another one may explain these crashes and more, while its part in one of them is not known here.
        bool const explains_more = 2 * shared >= evidence.points && evidence_of(rival, until).points >= evidence.points;
        return explains_as_much || explains_more;
    });
}

bool CrashLedger::is_convincing(
    Core::RequestDigest const& digest, Evidence const& evidence, Core::MonotonicTime until) const
{
    if (evidence.points < s_points_to_quarantine)
        return false;
    absl::flat_hash_set<std::uint64_t> places;
    for (auto const* crash : evidence.crashes)
        places.insert(crash->server.place);
    if (places.size() < s_least_places)
        return false;
    auto const extra = count_unexplained(digest, evidence, until) / s_crashes_for_a_point;
    auto const needed = s_points_to_quarantine + std::min<std::size_t>(extra, s_most_extra_points);
    return evidence.points >= needed && leads(digest, evidence, until);
}

bool CrashLedger::quarantine_one(Core::MonotonicTime now)
{
    auto const until = now - s_settling_time;
    auto const until_alone = now - s_lone_moment_time;
    std::optional<Core::RequestDigest> strongest;
    unsigned most_points = 0;
    for (auto const& [digest, numbers] : m_crashes_of) {
        // A crash gives two points at the most.
        if (numbers.size() * 2 < s_points_to_quarantine || m_quarantined.contains(digest))
            continue;
        auto const evidence = evidence_of(digest, until);
        bool const has_settled
            = evidence.moments > 1 || (evidence.moments == 1 && evidence.crashes.back()->time <= until_alone);
        // By the digest among equals, so that all entries do the same.
        bool const is_stronger
            = evidence.points > most_points || (strongest && evidence.points == most_points && digest < *strongest);
        if (has_settled && is_stronger && is_convincing(digest, evidence, until)) {
            most_points = evidence.points;
            strongest = digest;
        }
    }
    if (!strongest)
        return false;
    DigestWord const word {*strongest, now};
    add_quarantine(word, CrashConclusion::Source::Here, now);
    tell(m_quarantines_to_tell, word, now);
    return true;
}

void CrashLedger::turn(Core::MonotonicTime now)
{
    forget_old(now);
    if (!m_to_judge)
        return;
    while (quarantine_one(now)) { }
    if (*m_to_judge + s_lone_moment_time <= now)
        m_to_judge.reset();
}

template <typename Fact>
void CrashLedger::tell(std::vector<Telling<Fact>>& tellings, Fact const& fact, Core::MonotonicTime now)
{
    // Beyond what can be told in time, the newest is not told.
    constexpr auto tellings_in_time = static_cast<std::size_t>(s_telling_time / s_telling_pause);
    if (tellings.size() < s_most_told * tellings_in_time)
        tellings.push_back({fact, now + s_telling_time, now});
}

bool CrashLedger::has_news(Core::MonotonicTime now) const
{
    auto const is_due = [now](auto const& telling) { return telling.next <= now; };
    return std::ranges::any_of(m_witnesses_to_tell, is_due) || std::ranges::any_of(m_clearances_to_tell, is_due)
        || std::ranges::any_of(m_quarantines_to_tell, is_due)
        || std::ranges::any_of(m_quarantined, [now](auto const& item) { return item.second.told + s_refresh <= now; });
}

template <typename Fact>
void CrashLedger::take_due(std::vector<Telling<Fact>>& tellings, std::vector<Fact>& target, Core::MonotonicTime now)
{
    for (auto& telling : tellings) {
        if (telling.next > now || target.size() >= s_most_told)
            continue;
        target.push_back(telling.fact);
        telling.next = now + s_telling_pause;
    }
    std::erase_if(tellings, [now](auto const& telling) { return telling.until <= now; });
}

CrashNews CrashLedger::take_news(Core::MonotonicTime now)
{
    CrashNews news;
    take_due(m_witnesses_to_tell, news.witnesses, now);
    take_due(m_clearances_to_tell, news.cleared, now);
    take_due(m_quarantines_to_tell, news.quarantined, now);
    for (auto& [digest, hold] : m_quarantined) {
        if (hold.told + s_refresh > now || news.quarantined.size() >= s_most_told)
            continue;
        news.quarantined.push_back({digest, hold.since});
        hold.told = now;
    }
    return news;
}

std::vector<CrashConclusion> CrashLedger::take_conclusions()
{
    return std::exchange(m_conclusions, {});
}

std::vector<CrashLedger::Quarantined> CrashLedger::quarantined() const
{
    std::vector<Quarantined> list;
    list.reserve(m_quarantined.size());
    for (auto const& [digest, hold] : m_quarantined)
        list.push_back({digest, hold.since, hold.asked});
    return list;
}

}
