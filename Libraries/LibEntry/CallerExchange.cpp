#include <LibEntry/CallerExchange.h>

#include <LibEntry/CallInterpreter.h>

#include <algorithm>
#include <cstring>
#include <memory>

#include <sys/socket.h>

namespace GraniteField::Entry {

namespace {

constexpr char const* s_request_header = "Granitefield-Request";
constexpr char const* s_outcome_header = "Granitefield-Outcome";
constexpr char const* s_replay_header = "Granitefield-Replayed";
/// Maximum number of bytes of a stream that libmicrohttpd requests at once.
constexpr std::size_t s_block_bytes = 32'768;
/// Number of consumed bytes above which they are erased from the buffer.
constexpr std::size_t s_compaction_bytes = 65'536;

}

static void add_common_headers(MHD_Response* response, FullAnswer const& answer, Core::RequestId request)
{
    MHD_add_response_header(response, s_request_header, request.to_string().c_str());
    if (!answer.content_type.empty())
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, answer.content_type.c_str());
}

FullAnswer make_error_answer(ErrorAnswer const& error, Core::RequestId request)
{
    FullAnswer answer;
    answer.status = error.status;
    answer.content_type = "application/json";
    answer.body = encode_error(error, request);
    answer.outcome = error.outcome;
    if (error.retry_after.count() > 0)
        answer.retry_after = error.retry_after;
    return answer;
}

MHD_Response* make_response(FullAnswer const& answer, Core::RequestId request)
{
    auto* body = const_cast<char*>(answer.body.data());
    auto* response = MHD_create_response_from_buffer(answer.body.size(), body, MHD_RESPMEM_MUST_COPY);
    add_common_headers(response, answer, request);
    MHD_add_response_header(response, s_outcome_header, std::string(to_string(answer.outcome)).c_str());
    if (answer.retry_after) {
        auto const seconds = std::to_string(retry_after_seconds(*answer.retry_after));
        MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, seconds.c_str());
    }
    if (answer.is_replay)
        MHD_add_response_header(response, s_replay_header, "yes");
    return response;
}

void CallerExchange::answer(FullAnswer answer)
{
    std::lock_guard const lock(m_mutex);
    m_answer = std::move(answer);
    m_progress = Progress::Full;
    resume();
}

void CallerExchange::begin_stream(int status, std::string content_type)
{
    std::lock_guard const lock(m_mutex);
    m_answer.status = status;
    m_answer.content_type = std::move(content_type);
    m_progress = Progress::Streaming;
    resume();
}

void CallerExchange::append(std::string_view bytes)
{
    std::lock_guard const lock(m_mutex);
    m_pending.append(bytes);
    resume();
}

void CallerExchange::finish()
{
    std::lock_guard const lock(m_mutex);
    m_progress = Progress::Finished;
    resume();
}

void CallerExchange::cut(std::string_view last_bytes)
{
    std::lock_guard const lock(m_mutex);
    m_pending.append(last_bytes);
    m_progress = Progress::Cut;
    resume();
}

std::size_t CallerExchange::pending_bytes() const
{
    std::lock_guard const lock(m_mutex);
    return m_pending.size() - m_consumed;
}

bool CallerExchange::is_caller_gone() const
{
    std::lock_guard const lock(m_mutex);
    if (m_is_gone)
        return true;
    // libmicrohttpd does not poll a suspended connection, so the descriptor is checked here. It is open and belongs to
    // this connection as long as the connection is suspended.
    if (!m_is_suspended || m_connection == nullptr)
        return false;
    char byte = 0;
    auto const got = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void CallerExchange::suspend()
{
    std::lock_guard const lock(m_mutex);
    m_is_suspended = true;
    MHD_suspend_connection(m_connection);
}

void CallerExchange::resume()
{
    if (!m_is_suspended || m_connection == nullptr)
        return;
    m_is_suspended = false;
    MHD_resume_connection(m_connection);
}

bool CallerExchange::has_answer() const
{
    std::lock_guard const lock(m_mutex);
    return m_progress != Progress::Waiting;
}

MHD_Result CallerExchange::respond()
{
    std::lock_guard const lock(m_mutex);
    if (m_progress != Progress::Full)
        return respond_stream();
    auto* response = make_response(m_answer, m_request);
    auto const result = MHD_queue_response(m_connection, static_cast<unsigned>(m_answer.status), response);
    MHD_destroy_response(response);
    return result;
}

MHD_Result CallerExchange::respond_stream()
{
    m_stream_response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, s_block_bytes, read_stream, this, nullptr);
    add_common_headers(m_stream_response, m_answer, m_request);
    // RFC 9110, section 6.6.2: announces the trailer with the outcome of the answer.
    MHD_add_response_header(m_stream_response, "Trailer", s_outcome_header);
    MHD_add_response_header(m_stream_response, MHD_HTTP_HEADER_CACHE_CONTROL, "no-store");
    auto const result = MHD_queue_response(m_connection, static_cast<unsigned>(m_answer.status), m_stream_response);
    MHD_destroy_response(m_stream_response);
    return result;
}

ssize_t CallerExchange::read_stream(void* exchange, std::uint64_t, char* buffer, std::size_t size)
{
    return static_cast<CallerExchange*>(exchange)->read(buffer, size);
}

ssize_t CallerExchange::read(char* buffer, std::size_t size)
{
    std::lock_guard const lock(m_mutex);
    auto const available = m_pending.size() - m_consumed;
    if (available > 0) {
        auto const count = std::min(available, size);
        std::memcpy(buffer, m_pending.data() + m_consumed, count);
        m_consumed += count;
        if (m_consumed == m_pending.size() || m_consumed > s_compaction_bytes) {
            m_pending.erase(0, m_consumed);
            m_consumed = 0;
        }
        return static_cast<ssize_t>(count);
    }
    if (m_progress == Progress::Finished) {
        MHD_add_response_footer(m_stream_response, s_outcome_header, std::string(to_string(Outcome::Done)).c_str());
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (m_progress == Progress::Cut)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    m_is_suspended = true;
    MHD_suspend_connection(m_connection);
    return 0;
}

void CallerExchange::detach(bool is_complete)
{
    std::lock_guard const lock(m_mutex);
    m_connection = nullptr;
    m_is_suspended = false;
    if (!is_complete)
        m_is_gone = true;
}

}
