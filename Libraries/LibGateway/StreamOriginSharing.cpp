#include <LibGateway/StreamOriginSharing.h>

#include <LibCore/Hashing.h>

#include <algorithm>
#include <utility>

namespace GraniteField::Gateway {

namespace {

/// Bound on the versions in an answer; a service with more is never resolved by them.
constexpr int s_max_versions = 8;
constexpr auto s_max_items = static_cast<int>(StreamOriginSharing::s_max_streams);

/// Returns how many of the gateways asked must have been running throughout the period, so that a holder is among them
/// and this gateway. `is_witness` says whether this gateway has been running throughout the period itself.
std::size_t needed_witnesses(std::size_t asked, bool is_witness)
{
    return is_witness ? std::max<std::size_t>(1, asked - std::min<std::size_t>(asked, 1)) : asked;
}

}

std::string_view to_string(StreamOriginSharing::Status status)
{
    switch (status) {
    case StreamOriginSharing::Status::Pending:
        return "pending";
    case StreamOriginSharing::Status::Known:
        return "known";
    case StreamOriginSharing::Status::OnlyVersion:
        return "only_version";
    case StreamOriginSharing::Status::Unknown:
        return "unknown";
    }
    return "unknown";
}

void StreamOriginSharing::set_members(Entry::LoadMembers const& members)
{
    m_peers.emplace();
    for (auto const& peer : members.peers)
        m_peers->push_back(peer.address);
    m_has_had_peers = m_has_had_peers || !members.peers.empty();
}

void StreamOriginSharing::apply(Entry::ServerList const& list, Core::MonotonicTime now)
{
    m_versions.apply(list, now);
    m_list_revision = list.revision;
    std::vector<std::string> services;
    for (auto const& [service, streams] : m_recent) {
        if (m_versions.has_several(service, now))
            services.push_back(service);
    }
    for (auto const& service : services)
        announce_recent(service);
}

void StreamOriginSharing::announce_recent(std::string const& service)
{
    auto const streams = m_recent.extract(service);
    for (auto const& recent : streams.mapped()) {
        if (!recent.is_announced)
            schedule({recent.stream});
        if (auto const* const origin = m_origins.find(recent.stream); m_archive != nullptr && origin != nullptr)
            m_archive->add_begun(recent.stream, *origin);
    }
}

void StreamOriginSharing::announce(StreamKey stream, StreamOrigin const& origin)
{
    send_to_holders(stream, origin);
    schedule({stream, s_announcements - 1});
}

void StreamOriginSharing::schedule(Announcement announcement)
{
    m_announcements.push_back(announcement);
    if (m_announcements.size() > StreamOrigins::s_max_streams)
        m_announcements.pop_front();
}

void StreamOriginSharing::send_to_holders(StreamKey stream, StreamOrigin const& origin)
{
    for (auto const& address : ranked_members(stream, s_holders))
        add_begun(m_messages[address], stream, origin);
}

void StreamOriginSharing::note_begun(StreamKey stream, StreamOrigin const& origin, Core::MonotonicTime now)
{
    m_origins.note(stream, origin, now);
    if (m_versions.has_several(origin.service, now)) {
        if (m_archive != nullptr)
            m_archive->add_begun(stream, origin);
        return announce(stream, origin);
    }
    bool const is_announced = m_spare.wait_for(1, now).count() == 0;
    if (is_announced) {
        m_spare.charge(1, now);
        announce(stream, origin);
    }
    auto& recent = m_recent[origin.service];
    recent.push_back({stream, now, is_announced});
    while (
        Core::elapsed(recent.front().begun, now) > s_withholding_time || recent.size() > StreamOrigins::s_max_streams)
        recent.pop_front();
}

std::vector<std::string> StreamOriginSharing::ranked_members(StreamKey stream, std::size_t count) const
{
    if (!m_peers)
        return {};
    std::vector<std::pair<std::uint64_t, std::string const*>> ranked;
    ranked.reserve(m_peers->size());
    for (auto const& address : *m_peers)
        ranked.emplace_back(Core::hash_bytes(address, stream.value()), &address);
    auto const end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::ranges::partial_sort(ranked, end, std::greater());
    std::vector<std::string> addresses;
    for (auto item = ranked.begin(); item != end; ++item)
        addresses.push_back(*item->second);
    return addresses;
}

StreamOriginSharing::Resolution StreamOriginSharing::resolve(
    StreamKey stream, std::string const& service, Core::Milliseconds period, Core::MonotonicTime now)
{
    if (auto const* const origin = m_origins.find(stream)) {
        m_lookups.erase(stream);
        // Servers of another service cannot continue the stream, whatever their version.
        if (origin->service != service)
            return {};
        return {Status::Known, origin->software_version};
    }
    auto found = m_lookups.find(stream);
    if (found == m_lookups.end()) {
        if (m_lookups.size() >= s_max_lookups)
            return {};
        Lookup lookup {service, period, now, now, ranked_members(stream, s_asked), {}, {}};
        found = m_lookups.emplace(stream, std::move(lookup)).first;
    }
    auto& lookup = found->second;
    bool const is_answered = lookup.answers.size() == lookup.asked.size();
    if (is_answered || Core::elapsed(lookup.started, now) >= s_lookup_timeout) {
        auto resolution = infer_confirmed(lookup, now);
        if (resolution.status != Status::Pending)
            m_lookups.erase(found);
        return resolution;
    }
    if (now >= lookup.next_query)
        query(stream, lookup, now);
    return {Status::Pending, {}};
}

StreamOriginSharing::Resolution StreamOriginSharing::infer_confirmed(Lookup& lookup, Core::MonotonicTime now)
{
    take_confirmations(now);
    auto resolution = infer(lookup, now);
    // The stream began before the lookup. A list that is confirmed as of a later time has all versions that it can have
    // begun at, also if this gateway and all that answered were cut off or stood still before.
    if (resolution.status == Status::Unknown || is_list_confirmed(lookup.started))
        return resolution;
    if (!lookup.confirming_since)
        lookup.confirming_since = now;
    if (m_confirmation == nullptr || Core::elapsed(*lookup.confirming_since, now) >= s_confirmation_timeout)
        return {};
    m_confirmation->request(lookup.started);
    return {Status::Pending, {}};
}

void StreamOriginSharing::take_confirmations(Core::MonotonicTime now)
{
    if (m_confirmation == nullptr)
        return;
    for (auto& result : m_confirmation->take_results()) {
        for (auto const& [service, version] : result.served)
            m_versions.note_served(service, version, now);
        if (!m_confirmed || result.as_of > m_confirmed->as_of)
            m_confirmed = std::move(result);
    }
}

bool StreamOriginSharing::is_list_confirmed(Core::MonotonicTime as_of) const
{
    return m_confirmed && m_confirmed->as_of >= as_of && m_confirmed->revision <= m_list_revision;
}

void StreamOriginSharing::query(StreamKey stream, Lookup& lookup, Core::MonotonicTime now)
{
    lookup.next_query = now + s_query_interval;
    for (auto const& address : lookup.asked) {
        if (lookup.answers.contains(address))
            continue;
        auto& query = *m_messages[address].add_queries();
        query.set_stream(stream.value());
        query.set_service(lookup.service);
        query.set_period_ms(static_cast<std::uint32_t>(lookup.period.count()));
    }
}

StreamOriginSharing::Resolution StreamOriginSharing::infer(Lookup const& lookup, Core::MonotonicTime now) const
{
    auto recent = m_versions.recent(lookup.service, lookup.period, now);
    // A gateway that was not asked may have begun the stream at a version that is not known here. It announced the
    // stream to the holders then, and one of them that has been running since must have answered.
    // Without peers there is nobody to ask. Peers that have timed out may be on the other side of a partition, where
    // streams begin at versions that an old list does not have.
    bool const is_alone = m_peers && m_peers->empty() && !m_has_had_peers;
    auto const witnesses
        = std::ranges::count_if(lookup.answers, [](auto const& item) { return item.second.is_complete; });
    if (!is_alone && static_cast<std::size_t>(witnesses) < needed_witnesses(lookup.asked.size(), recent.is_complete))
        return {};
    for (auto const& [address, versions] : lookup.answers) {
        recent.versions.insert(versions.versions.begin(), versions.versions.end());
        recent.is_complete = recent.is_complete || versions.is_complete;
    }
    if (!recent.is_complete || recent.versions.size() != 1)
        return {};
    return {Status::OnlyVersion, *recent.versions.begin()};
}

bool StreamOriginSharing::is_within_bounds(Message const& message)
{
    return message.begun_size() <= s_max_items && message.queries_size() <= s_max_items
        && message.unknown_size() <= s_max_items
        && std::ranges::all_of(message.begun(), [](auto const& begun) { return begun.streams_size() <= s_max_items; })
        && std::ranges::all_of(
            message.unknown(), [](auto const& unknown) { return unknown.versions_size() <= s_max_versions; });
}

void StreamOriginSharing::receive(Message const& message, std::string const& from, Core::MonotonicTime now)
{
    for (auto const& begun : message.begun()) {
        for (auto const stream : begun.streams())
            m_origins.note(StreamKey(stream), {begun.service(), begun.software_version()}, now);
    }
    for (auto const& query : message.queries())
        answer(query, from, now);
    for (auto const& unknown : message.unknown()) {
        auto const lookup = m_lookups.find(StreamKey(unknown.stream()));
        if (lookup != m_lookups.end())
            lookup->second.answers[from]
                = {{unknown.versions().begin(), unknown.versions().end()}, unknown.is_complete()};
    }
}

void StreamOriginSharing::answer(
    granitefield::protocol::StreamQuery const& query, std::string const& from, Core::MonotonicTime now)
{
    auto& message = m_messages[from];
    StreamKey const stream(query.stream());
    if (auto const* const origin = m_origins.find(stream))
        return add_begun(message, stream, *origin);
    auto const recent = m_versions.recent(query.service(), Core::Milliseconds(query.period_ms()), now);
    auto& unknown = *message.add_unknown();
    unknown.set_stream(query.stream());
    unknown.set_is_complete(recent.is_complete);
    for (auto const& version : recent.versions) {
        if (unknown.versions_size() < s_max_versions)
            unknown.add_versions(version);
    }
}

void StreamOriginSharing::add_begun(Message& message, StreamKey stream, StreamOrigin const& origin)
{
    auto const is_same = [&](auto const& begun) {
        return begun.service() == origin.service && begun.software_version() == origin.software_version;
    };
    auto const found = std::ranges::find_if(*message.mutable_begun(), is_same);
    if (found != message.mutable_begun()->end())
        return found->add_streams(stream.value());
    auto& begun = *message.add_begun();
    begun.set_service(origin.service);
    begun.set_software_version(origin.software_version);
    begun.add_streams(stream.value());
}

void StreamOriginSharing::apply_loaded(Core::MonotonicTime now)
{
    if (m_archive == nullptr)
        return;
    for (auto const& [stream, origin] : m_archive->take_loaded()) {
        // The version has served recently, whether it is still listed or not.
        m_versions.note_served(origin.service, origin.software_version, now);
        m_origins.note(stream, origin, now);
        schedule({stream});
    }
}

void StreamOriginSharing::tick(Core::MonotonicTime now)
{
    m_origins.forget_old(now);
    apply_loaded(now);
    absl::erase_if(m_lookups, [now](auto const& item) {
        return Core::elapsed(item.second.started, now) > 2 * (s_lookup_timeout + s_confirmation_timeout);
    });
    if (!m_peers)
        return;
    auto const due = std::min(m_announcements.size(), s_max_streams);
    for (std::size_t count = 0; count < due; ++count) {
        auto announcement = m_announcements.front();
        m_announcements.pop_front();
        auto const* const origin = m_origins.find(announcement.stream);
        if (origin == nullptr)
            continue;
        send_to_holders(announcement.stream, *origin);
        if (--announcement.left > 0)
            schedule(announcement);
    }
}

}
