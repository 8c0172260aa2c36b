#include <LibGateway/CrashSharing.h>

#include <LibGateway/MessageAge.h>

#include <algorithm>
#include <cstdint>

namespace GraniteField::Gateway {

namespace {

using DigestMessages = google::protobuf::RepeatedPtrField<granitefield::protocol::DigestWord>;

constexpr auto s_max_digests = static_cast<int>(Policy::CrashLedger::s_most_told);

std::string serialize(Core::RequestDigest const& digest)
{
    return std::string(digest.bytes());
}

bool are_valid(DigestMessages const& digests)
{
    return digests.size() <= s_max_digests && std::ranges::all_of(digests, [](auto const& digest_report) {
        return digest_report.digest().size() == Core::RequestDigest::s_size;
    });
}

void write_digests(DigestMessages& messages, std::vector<Policy::DigestWord> const& digests, Core::MonotonicTime now)
{
    for (auto const& digest_report : digests) {
        auto& message = *messages.Add();
        message.set_digest(serialize(digest_report.digest));
        message.set_age_ms(age_of(digest_report.time, now));
    }
}

std::vector<Policy::DigestWord> read_digests(DigestMessages const& messages, Core::MonotonicTime now)
{
    std::vector<Policy::DigestWord> digests;
    for (auto const& message : messages) {
        if (auto const digest = Core::RequestDigest::from_bytes(message.digest()))
            digests.push_back({*digest, time_of(message.age_ms(), now)});
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
        && std::ranges::all_of(message.witnesses(),
            [](auto const& witness) { return witness.digest().size() == Core::RequestDigest::s_size; });
    return are_witnesses_valid && are_valid(message.cleared()) && are_valid(message.quarantined());
}

void CrashSharing::fill(Message& message, Core::MonotonicTime now)
{
    auto const news = m_ledger.take_news(now);
    for (auto const& witness : news.witnesses) {
        auto& written = *message.add_witnesses();
        written.set_digest(serialize(witness.digest));
        written.set_life(witness.server.life);
        written.set_place(witness.server.place);
        written.set_service(witness.server.service);
        written.set_exposure(static_cast<std::uint32_t>(witness.exposure));
        written.set_age_ms(age_of(witness.crashed, now));
    }
    write_digests(*message.mutable_cleared(), news.cleared, now);
    write_digests(*message.mutable_quarantined(), news.quarantined, now);
}

void CrashSharing::receive(Message const& message, Policy::CrashLedger::Relaying relaying, Core::MonotonicTime now)
{
    Policy::CrashNews news;
    for (auto const& witness : message.witnesses()) {
        auto const digest = Core::RequestDigest::from_bytes(witness.digest());
        if (!digest)
            continue;
        news.witnesses.push_back({*digest, {witness.life(), witness.place(), witness.service()},
            read_exposure(witness.exposure()), time_of(witness.age_ms(), now)});
    }
    news.cleared = read_digests(message.cleared(), now);
    news.quarantined = read_digests(message.quarantined(), now);
    m_ledger.take(news, relaying, now);
}

}
