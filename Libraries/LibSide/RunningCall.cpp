#include <LibSide/RunningCall.h>

#include <LibCore/Text.h>
#include <LibCore/Utf8.h>

namespace GraniteField::Side {

namespace {

constexpr int s_status_ok = 200;
/// An event larger than this is handed on in parts.
constexpr std::size_t s_largest_partial_bytes = 1U << 20U;

}

RunningCall::RunningCall(EngineClient& client, EngineCall call)
    : m_client(client)
    , m_call(std::move(call))
    , m_url(Core::concat("http://", client.m_settings.engine.to_string(), m_call.path))
    , m_handle(curl_easy_init())
{
    if (m_handle == nullptr)
        throw std::bad_alloc();
    if (!m_call.content_type.empty())
        m_headers.append("Content-Type: " + m_call.content_type);
    if (!m_call.traceparent.empty())
        m_headers.append("traceparent: " + m_call.traceparent);
    m_headers.append("Granitefield-Request: " + m_call.key.request.to_string());
    m_headers.append(Core::concat("Granitefield-Attempt: ", m_call.key.attempt.value()));
    m_headers.append(Core::concat("Granitefield-Tier: ", m_call.tier));
    if (m_call.resume_after_tokens > 0)
        m_headers.append(Core::concat("Granitefield-Resume-After: ", m_call.resume_after_tokens));
    m_headers.append("Expect:");
    set_options();
}

RunningCall::~RunningCall()
{
    curl_easy_cleanup(m_handle);
}

void RunningCall::set_options()
{
    auto const& settings = m_client.m_settings;
    curl_easy_setopt(m_handle, CURLOPT_URL, m_url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_call.method.c_str());
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers.list());
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(settings.connect_timeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(m_handle, CURLOPT_LOW_SPEED_TIME,
        static_cast<long>(std::max<std::int64_t>(1, settings.silence_limit.count() / 1000)));
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    if (m_call.method == "HEAD")
        curl_easy_setopt(m_handle, CURLOPT_NOBODY, 1L);
    bool const has_body
        = !m_call.body.empty() || m_call.method == "POST" || m_call.method == "PUT" || m_call.method == "PATCH";
    if (has_body) {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_call.body.data());
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_call.body.size()));
    }
    if (m_call.is_repeatable)
        return;
    // libcurl sends a request again, on its own, when a kept connection closes before the answer. What may
    // not run twice therefore gets a connection of its own.
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(m_handle, CURLOPT_FORBID_REUSE, 1L);
}

std::size_t RunningCall::take_header(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& call = *static_cast<RunningCall*>(user);
    bool const was_complete = call.m_head.is_complete();
    call.m_head.add({data, size * count});
    if (call.m_head.is_invalid())
        return 0;
    if (!was_complete && call.m_head.is_complete())
        call.read_head();
    return size * count;
}

void RunningCall::read_head()
{
    auto const& fields = m_head.fields();
    if (auto const type = fields.find("content-type"); type != fields.end()) {
        // Entries can't read a message whose text is not UTF-8, and ask for it again without end.
        m_content_type = Core::replace_invalid_utf8(type->second);
        m_is_event_stream = Core::starts_with_ignoring_case(m_content_type, "text/event-stream");
    }
    // RFC 9112, section 6.3: only these two tell a whole body from one that was cut off.
    auto const coding = fields.find("transfer-encoding");
    bool const is_chunked = coding != fields.end() && Core::ends_with_ignoring_case(coding->second, "chunked");
    m_has_framed_end = is_chunked || fields.contains("content-length");
}

int RunningCall::status() const
{
    long status = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
}

bool RunningCall::has_sent_bytes() const
{
    long request_bytes = 0;
    curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &request_bytes);
    return request_bytes > 0;
}

bool RunningCall::hand_on(std::string_view bytes)
{
    std::string payload = m_partial;
    payload.append(bytes);
    std::string partial;
    if (m_is_event_stream) {
        auto const whole = HTTP::whole_events_length(payload);
        if (payload.size() - whole <= s_largest_partial_bytes) {
            partial = payload.substr(whole);
            payload.resize(whole);
        }
    }
    if (payload.empty()) {
        m_partial = std::move(partial);
        return true;
    }
    AnswerPiece piece;
    piece.key = m_call.key;
    if (!m_has_sent_piece) {
        piece.status = status();
        piece.content_type = m_content_type;
    }
    auto const scanner_before = m_scanner;
    if (m_is_event_stream)
        piece.tokens = m_scanner.add(payload);
    piece.payload = std::move(payload);
    if (m_client.emit(std::move(piece))) {
        m_has_sent_piece = true;
        m_partial = std::move(partial);
        return true;
    }
    m_scanner = scanner_before;
    return false;
}

std::size_t RunningCall::take_body(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& call = *static_cast<RunningCall*>(user);
    if (call.m_is_paused)
        return CURL_WRITEFUNC_PAUSE;
    if (call.hand_on({data, size * count}))
        return size * count;
    call.m_is_blocked = true;
    return CURL_WRITEFUNC_PAUSE;
}

void RunningCall::set_paused(bool is_paused)
{
    m_is_paused = is_paused;
    if (!is_paused)
        curl_easy_pause(m_handle, CURLPAUSE_CONT);
}

void RunningCall::retry_if_blocked()
{
    if (!m_is_blocked)
        return;
    m_is_blocked = false;
    if (!m_is_paused)
        curl_easy_pause(m_handle, CURLPAUSE_CONT);
}

AnswerEnd RunningCall::end(CURLcode code) const
{
    AnswerEnd end {m_call.key, CallEnd::Broken, "", status(), m_content_type, m_partial};
    // NOTE: libcurl's code alone does not tell: a request that went out on a kept connection and was then
    //       sent again by libcurl can end with "couldn't connect" as well.
    if (code != CURLE_OK && !has_sent_bytes()) {
        end.end = CallEnd::NeverSent;
        end.message = "the backend server takes no connection";
        return end;
    }
    if (m_head.is_invalid()) {
        end.message = "the backend server's answer has an invalid head";
        return end;
    }
    if (code != CURLE_OK) {
        end.message = curl_easy_strerror(code);
        return end;
    }
    if (!m_head.is_complete()) {
        end.message = "the backend server closed the connection inside its answer's head";
        return end;
    }
    bool const is_bodiless = m_call.method == "HEAD" || status() == 204 || status() == 304;
    if (!m_has_framed_end && !is_bodiless) {
        end.message = "the backend server's answer does not say where it ends";
        return end;
    }
    auto scanner = m_scanner;
    static_cast<void>(scanner.add(m_partial));
    if (m_is_event_stream && status() == s_status_ok && m_call.is_stream && !scanner.is_done()) {
        end.message = "the backend server's stream ended without its end marker";
        return end;
    }
    end.end = CallEnd::Whole;
    return end;
}

}
