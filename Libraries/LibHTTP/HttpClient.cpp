#include <LibHTTP/HttpClient.h>

#include <LibCore/Text.h>

#include <LibHTTP/HeadLines.h>
#include <LibHTTP/HeaderList.h>

#include <atomic>

#include <curl/curl.h>
#include <sys/socket.h>

namespace GraniteField::HTTP {

struct HttpClient::State {
    CURL* handle {nullptr};
    std::atomic<bool> is_aborted {false};
};

namespace {

/// A body that is being received.
struct BodyReader {
    std::string& body;
    std::size_t largest {0};
    bool is_too_large {false};
};

std::size_t take_body(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& reader = *static_cast<BodyReader*>(user);
    reader.is_too_large = reader.body.size() + size * count > reader.largest;
    if (reader.is_too_large)
        return 0;
    reader.body.append(data, size * count);
    return size * count;
}

std::size_t take_header(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& head = *static_cast<HeadLines*>(user);
    head.add({data, size * count});
    return head.is_invalid() ? 0 : size * count;
}

int check_abort(void* user, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    return static_cast<std::atomic<bool>*>(user)->load() ? 1 : 0;
}

/// Makes closing the socket reset its connection.
int set_reset(void*, curl_socket_t socket, curlsocktype)
{
    linger const option {1, 0};
    bool const is_set = setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option)) == 0;
    return is_set ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

Effect effect_of(CURLcode code)
{
    bool const never_connected
        = code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT;
    return never_connected ? Effect::None : Effect::Possible;
}

}

void initialize_http_client()
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

HttpClient::HttpClient()
    : m_state(std::make_unique<State>())
{
    m_state->handle = curl_easy_init();
    if (m_state->handle == nullptr)
        throw std::bad_alloc();
}

HttpClient::~HttpClient()
{
    curl_easy_cleanup(m_state->handle);
}

void HttpClient::abort()
{
    m_state->is_aborted = true;
}

ClientResponse HttpClient::send(ClientRequest const& request)
{
    auto* handle = m_state->handle;
    ClientResponse response;
    HeaderList headers;
    for (auto const& header : request.headers)
        headers.append(header);
    // A body of any size goes out at once; without this libcurl may wait for "100 Continue" first.
    headers.append("Expect:");

    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.list());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(request.connect_timeout.count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, take_body);
    BodyReader reader {response.body, request.largest_body};
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &reader);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, take_header);
    HeadLines head;
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &head);
    curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, check_abort);
    curl_easy_setopt(handle, CURLOPT_XFERINFODATA, &m_state->is_aborted);
    // On a connection that was kept and has died libcurl would send a request again by itself.
    bool const is_read = request.method == "GET" || request.method == "HEAD";
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, is_read ? 0L : 1L);
    if (request.end == ConnectionEnd::Reset)
        curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, set_reset);
    if (request.method == "HEAD")
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    if (!request.body.empty() || request.method == "PUT" || request.method == "POST") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }

    auto const code = curl_easy_perform(handle);
    if (reader.is_too_large)
        throw BodyTooLarge(Core::concat(request.method, " ", request.url, ": the body is larger than ",
                               request.largest_body, " bytes"),
            Effect::Possible);
    if (head.is_invalid())
        throw RequestFailed(
            Core::concat(request.method, " ", request.url, ": the answer's head is invalid"), Effect::Possible);
    if (code != CURLE_OK)
        throw RequestFailed(
            Core::concat(request.method, " ", request.url, ": ", curl_easy_strerror(code)), effect_of(code));
    if (!head.is_complete())
        throw RequestFailed(
            Core::concat(request.method, " ", request.url, ": the connection was closed inside the answer's head"),
            Effect::Possible);
    response.headers = head.fields();
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    return response;
}

}
