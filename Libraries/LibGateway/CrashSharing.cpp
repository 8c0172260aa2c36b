#include <LibGateway/CrashSharing.h>

#include <LibGateway/MessageAge.h>

#include <algorithm>
#include <cstdint>

namespace GraniteField::Gateway {

namespace {

using Words = google::protobuf::RepeatedPtrField<granitefield::protocol::DigestWord>;

constexpr auto s_most_told = static_cast<int>(Policy::CrashLedger::s_max_reported);

std::string to_bytes(Core::RequestDigest const& digest)
{
    return std::string(digest.bytes());
}

bool are_sound(Words const& words)
{
    return words.size() <= s_most_told && std::ranges::all_of(words, [](auto const& word) {
        return word.digest().size() == Core::RequestDigest::s_size;
    });
}

void write_words(Words& messages, std::vector<Policy::DigestEvent> const& words, Core::MonotonicTime now)
{
    for (auto const& word : words) {
        auto& message = *messages.Add();
        message.set_digest(to_bytes(word.digest));
        message.set_age_ms(age_of(word.time, now));
    }
}

std::vector<Policy::DigestEvent> read_words(Words const& messages, Core::MonotonicTime now)
{
    std::vector<Policy::DigestEvent> words;
    for (auto const& message : messages) {
        if (auto const digest = Core::RequestDigest::from_bytes(message.digest()))
            words.push_back({*digest, time_of(message.age_ms(), now)});
    }
    return words;
}

Policy::Exposure read_exposure(std::uint32_t exposure)
{
    return exposure >= static_cast<std::uint32_t>(Policy::Exposure::Fresh) ? Policy::Exposure::Fresh
                                                                           : Policy::Exposure::Weak;
}

}

bool CrashSharing::is_within_bounds(Message const& message)
{
    bool const are_witnesses_sound = message.witnesses_size() <= s_most_told
        && std::ranges::all_of(message.witnesses(),
            [](auto const& witness) { return witness.digest().size() == Core::RequestDigest::s_size; });
    return are_witnesses_sound && are_sound(message.cleared()) && are_sound(message.quarantined());
}

void CrashSharing::fill(Message& message, Core::MonotonicTime now)
{
    auto const news = m_ledger.take_due_report(now);
    for (auto const& witness : news.witnesses) {
        auto& written = *message.add_witnesses();
        written.set_digest(to_bytes(witness.digest));
        written.set_life(witness.server.incarnation);
        written.set_place(witness.server.address);
        written.set_service(witness.server.service);
        written.set_exposure(static_cast<std::uint32_t>(witness.exposure));
        written.set_age_ms(age_of(witness.crashed, now));
    }
    write_words(*message.mutable_cleared(), news.cleared, now);
    write_words(*message.mutable_quarantined(), news.quarantined, now);
}

void CrashSharing::take(Message const& message, Policy::CrashLedger::Relaying relaying, Core::MonotonicTime now)
{
    Policy::CrashReport news;
    for (auto const& witness : message.witnesses()) {
        auto const digest = Core::RequestDigest::from_bytes(witness.digest());
        if (!digest)
            continue;
        news.witnesses.push_back({*digest, {witness.life(), witness.place(), witness.service()},
            read_exposure(witness.exposure()), time_of(witness.age_ms(), now)});
    }
    news.cleared = read_words(message.cleared(), now);
    news.quarantined = read_words(message.quarantined(), now);
    m_ledger.apply(news, relaying, now);
}

}
