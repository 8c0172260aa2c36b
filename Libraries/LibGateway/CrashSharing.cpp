#include <LibGateway/CrashSharing.h>

#include <LibGateway/MessageAge.h>

#include <algorithm>
#include <cstdint>

namespace GraniteField::Gateway {

namespace {

using DigestMessages = google::protobuf::RepeatedPtrField<granitefield::protocol::DigestWord>;

constexpr auto s_max_digests = static_cast<int>(Policy::CrashLedger::s_max_reported);

std::string serialize(Core::RequestDigest const& digest)
{
    return std::string(digest.bytes());
}

bool are_valid_parts(google::protobuf::RepeatedPtrField<std::string> const& parts)
{
    return parts.size() <= static_cast<int>(Policy::CrashIdentity::s_max_parts)
        && std::ranges::all_of(parts, [](auto const& part) { return part.size() == Core::RequestDigest::s_size; });
}

bool are_valid(DigestMessages const& digests)
{
    return digests.size() <= s_max_digests && std::ranges::all_of(digests, [](auto const& digest_report) {
        return digest_report.digest().size() == Core::RequestDigest::s_size;
    });
}

void write_digests(DigestMessages& messages, std::vector<Policy::DigestEvent> const& digests, Core::MonotonicTime now)
{
    for (auto const& digest_report : digests) {
        auto& message = *messages.Add();
        message.set_digest(serialize(digest_report.digest));
        message.set_age_ms(age_of(digest_report.time, now));
    }
}

std::vector<Policy::DigestEvent> read_digests(DigestMessages const& messages, Core::MonotonicTime now)
{
    std::vector<Policy::DigestEvent> digests;
    for (auto const& message : messages) {
        if (auto const digest = Core::RequestDigest::from_bytes(message.digest()))
            digests.push_back({*digest, time_of(message.age_ms(), now)});
    }
    return digests;
}

std::vector<Core::RequestDigest> read_parts(google::protobuf::RepeatedPtrField<std::string> const& parts)
{
    std::vector<Core::RequestDigest> digests;
    for (auto const& part : parts) {
        if (auto const digest = Core::RequestDigest::from_bytes(part))
            digests.push_back(*digest);
    }
    return digests;
}

Policy::Exposure read_exposure(std::uint32_t exposure)
{
    return exposure >= static_cast<std::uint32_t>(Policy::Exposure::Fresh) ? Policy::Exposure::Fresh
                                                                           : Policy::Exposure::Weak;
}

}

bool CrashSharing::is_within_bounds(Message const& message)
{
    bool const are_witnesses_valid = message.witnesses_size() <= s_max_digests
        && std::ranges::all_of(message.witnesses(), [](auto const& witness) {
               return witness.digest().size() == Core::RequestDigest::s_size && are_valid_parts(witness.parts());
           });
    return are_witnesses_valid && are_valid(message.cleared()) && are_valid(message.quarantined());
}

void CrashSharing::fill(Message& message, Core::MonotonicTime now)
{
    auto const reports = m_ledger.take_due_report(now);
    for (auto const& witness : reports.witnesses) {
        auto& written = *message.add_witnesses();
        written.set_digest(serialize(witness.digest));
        written.set_life(witness.server.incarnation);
        written.set_place(witness.server.address);
        written.set_service(witness.server.service);
        written.set_exposure(static_cast<std::uint32_t>(witness.exposure));
        written.set_age_ms(age_of(witness.crashed, now));
        for (auto const& part : witness.parts)
            written.add_parts(serialize(part));
    }
    write_digests(*message.mutable_cleared(), reports.cleared, now);
    write_digests(*message.mutable_quarantined(), reports.quarantined, now);
}

void CrashSharing::receive(Message const& message, Policy::CrashLedger::Relaying relaying, Core::MonotonicTime now)
{
    Policy::CrashReport reports;
    for (auto const& witness : message.witnesses()) {
        auto const digest = Core::RequestDigest::from_bytes(witness.digest());
        if (!digest)
            continue;
        reports.witnesses.push_back({*digest, {witness.life(), witness.place(), witness.service()},
            read_exposure(witness.exposure()), time_of(witness.age_ms(), now), read_parts(witness.parts())});
    }
    reports.cleared = read_digests(message.cleared(), now);
    reports.quarantined = read_digests(message.quarantined(), now);
    m_ledger.apply(reports, relaying, now);
}

}
