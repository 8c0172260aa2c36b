#include <LibEntry/RequestRun.h>

#include <LibCore/Text.h>

#include <LibEntry/CallInterpreter.h>

#include <algorithm>

namespace GraniteField::Entry {

namespace {

constexpr int s_status_ok = 200;
/// An answer that is not an event stream is buffered until it is complete, up to this size; a larger one is forwarded
/// as it arrives.
constexpr std::size_t s_max_buffered_answer_bytes = 1U << 20U;

}

AttemptView& RequestRun::begin_attempt(std::string backend_server, Core::MonotonicTime now)
{
    m_tried.insert(backend_server);
    auto& attempt = m_attempt.emplace();
    attempt.number = Core::AttemptNumber(++m_attempt_count);
    attempt.backend_server = std::move(backend_server);
    attempt.sent = now;
    attempt.last_heard = now;
    attempt.last_resume = now;
    attempt.hash = std::make_unique<Core::StreamHash>();
    m_buffered.clear();
    m_gate = {};
    m_is_event_stream = false;
    return attempt;
}

void RequestRun::drop_attempt()
{
    m_attempt.reset();
}

void RequestRun::note_refusal(Core::Milliseconds retry_after)
{
    m_smallest_retry_after = std::min(m_smallest_retry_after.value_or(retry_after), retry_after);
}

ChunkResult RequestRun::add_chunk(Protocol::Message::Chunk const& chunk, Core::MonotonicTime now)
{
    auto& attempt = *m_attempt;
    if (chunk.sequence() <= attempt.chunks)
        return ChunkResult::Repeated;
    if (chunk.sequence() > attempt.chunks + 1)
        return ChunkResult::Gap;
    ++attempt.chunks;
    attempt.payload_bytes += chunk.payload().size();
    attempt.hash->add(chunk.payload());
    attempt.tokens += chunk.tokens();
    if (attempt.chunks == 1) {
        attempt.status = static_cast<int>(chunk.status());
        attempt.content_type = chunk.content_type();
        m_is_event_stream = m_call.is_stream && attempt.status == s_status_ok
            && Core::starts_with_ignoring_case(attempt.content_type, "text/event-stream");
    }
    bool const has_content = chunk.tokens() > 0 || !m_is_event_stream;
    if (has_content) {
        if (m_last_token)
            m_token_gap = std::chrono::duration_cast<Core::Microseconds>(now - *m_last_token);
        m_last_token = now;
        if (!m_first_token)
            m_first_token = now;
    }
    forward(chunk.payload());
    return ChunkResult::Added;
}

void RequestRun::forward(std::string const& payload)
{
    if (m_is_event_stream) {
        auto const events = m_gate.add(payload);
        if (events.empty())
            return;
        if (!m_has_forwarded)
            m_exchange->begin_stream(m_attempt->status, m_attempt->content_type);
        m_has_forwarded = true;
        m_exchange->append(events);
        return;
    }
    if (m_has_forwarded) {
        m_exchange->append(payload);
        return;
    }
    m_buffered += payload;
    if (m_buffered.size() <= s_max_buffered_answer_bytes)
        return;
    m_exchange->begin_stream(m_attempt->status, m_attempt->content_type);
    m_has_forwarded = true;
    m_exchange->append(m_buffered);
    m_buffered.clear();
}

bool RequestRun::is_whole(Protocol::Message::Finished const& finished) const
{
    return finished.chunks() == m_attempt->chunks && finished.payload_bytes() == m_attempt->payload_bytes
        && finished.payload_hash() == m_attempt->hash->value();
}

void RequestRun::complete(bool is_replay)
{
    if (m_is_event_stream) {
        if (!m_has_forwarded)
            m_exchange->begin_stream(m_attempt->status, m_attempt->content_type);
        m_has_forwarded = true;
        m_exchange->append(m_gate.take_rest());
    }
    if (m_has_forwarded) {
        m_exchange->finish();
        return;
    }
    FullAnswer answer;
    answer.status = m_attempt->status;
    answer.content_type = m_attempt->content_type;
    answer.body = std::move(m_buffered);
    answer.is_replay = is_replay;
    m_exchange->answer(std::move(answer));
}

void RequestRun::cut(ErrorAnswer const& error)
{
    if (m_is_event_stream)
        m_exchange->cut(Core::concat("event: error\ndata: ", encode_error(error, m_call.id), "\n\n"));
    else
        m_exchange->cut("");
}

void RequestRun::fail(ErrorAnswer const& error)
{
    m_exchange->answer(make_error_answer(error, m_call.id));
}

std::optional<Core::Microseconds> RequestRun::take_token_gap()
{
    auto const gap = m_token_gap;
    m_token_gap.reset();
    return gap;
}

}
