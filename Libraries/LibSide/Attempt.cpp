#include <LibSide/Attempt.h>

#include <LibProtocol/ProtocolVersion.h>

namespace GraniteField::Side {

using Protocol::Message::Envelope;

Envelope const& Attempt::add_chunk(
    int status, std::string content_type, std::string payload, std::uint32_t tokens, Core::MonotonicTime now)
{
    if (!m_first_piece)
        m_first_piece = now;
    ++m_chunk_count;
    m_payload_bytes += payload.size();
    m_tokens += tokens;
    m_hash.add(payload);
    if (m_answer.size() + payload.size() <= m_answer_limit)
        m_answer += payload;

    auto envelope = Protocol::make_envelope();
    auto& chunk = *envelope.mutable_chunk();
    Protocol::set_key(chunk, Protocol::key_of(m_dispatch));
    chunk.set_sequence(m_chunk_count);
    chunk.set_tokens(tokens);
    if (m_chunk_count == 1) {
        m_status = status;
        m_content_type = content_type;
        chunk.set_status(static_cast<std::uint32_t>(status));
        chunk.set_content_type(std::move(content_type));
    }
    m_unacknowledged_bytes += payload.size();
    chunk.set_payload(std::move(payload));
    m_unacknowledged.push_back(std::move(envelope));
    return m_unacknowledged.back();
}

Protocol::Message::Finished Attempt::summary() const
{
    Protocol::Message::Finished finished;
    Protocol::set_key(finished, Protocol::key_of(m_dispatch));
    finished.set_chunks(m_chunk_count);
    finished.set_payload_bytes(m_payload_bytes);
    finished.set_payload_hash(m_hash.value());
    finished.set_tokens(m_tokens);
    return finished;
}

Envelope const& Attempt::end(Envelope message, Core::MonotonicTime now)
{
    m_state = State::Ended;
    m_ended = now;
    m_end = std::move(message);
    return *m_end;
}

void Attempt::acknowledge(std::uint32_t sequence, bool is_final)
{
    while (!m_unacknowledged.empty() && m_unacknowledged.front().chunk().sequence() <= sequence) {
        m_unacknowledged_bytes -= m_unacknowledged.front().chunk().payload().size();
        m_unacknowledged.pop_front();
    }
    if (is_final && m_state == State::Ended)
        m_is_settled = true;
}

std::vector<Envelope const*> Attempt::chunks_after(std::uint32_t sequence) const
{
    std::vector<Envelope const*> chunks;
    for (auto const& envelope : m_unacknowledged) {
        if (envelope.chunk().sequence() > sequence)
            chunks.push_back(&envelope);
    }
    return chunks;
}

std::optional<std::string> Attempt::kept_answer() const
{
    if (m_answer.size() != m_payload_bytes)
        return std::nullopt;
    return m_answer;
}

}
