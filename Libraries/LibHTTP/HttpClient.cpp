#include <LibHTTP/HttpClient.h>

#include <LibCore/Text.h>

#include <LibHTTP/HeadLines.h>
#include <LibHTTP/HeaderList.h>

#include <atomic>

#include <curl/curl.h>
#include <sys/socket.h>

namespace GraniteField::HTTP {

struct HttpClient::State {
    State();
    ~State();
    State(State const&) = delete;
    State& operator=(State const&) = delete;

    /// Runs the transfer that the handle is set up for, until it ends or the client is aborted.
    [[nodiscard]] CURLcode perform() const;

    CURL* handle;
    /// Has only this handle. Unlike curl_easy_perform(), its wait can be ended from another thread.
    CURLM* multi;
    std::atomic<bool> is_aborted {false};
};

namespace {

constexpr int s_poll_milliseconds = 1000;

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

HttpClient::State::State()
    : handle(curl_easy_init())
    , multi(curl_multi_init())
{
    if (handle == nullptr || multi == nullptr)
        throw std::bad_alloc();
}

HttpClient::State::~State()
{
    curl_easy_cleanup(handle);
    curl_multi_cleanup(multi);
}

CURLcode HttpClient::State::perform() const
{
    curl_multi_add_handle(multi, handle);
    int running = 0;
    while (!is_aborted && curl_multi_perform(multi, &running) == CURLM_OK && running > 0)
        curl_multi_poll(multi, nullptr, 0, s_poll_milliseconds, nullptr);
    int left = 0;
    auto const* message = curl_multi_info_read(multi, &left);
    auto const code = message == nullptr ? CURLE_ABORTED_BY_CALLBACK : message->data.result;
    curl_multi_remove_handle(multi, handle);
    return code;
}

HttpClient::HttpClient()
    : m_state(std::make_unique<State>())
{
}

HttpClient::~HttpClient() = default;

void HttpClient::abort()
{
    m_state->is_aborted = true;
    curl_multi_wakeup(m_state->multi);
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

    auto const code = m_state->perform();
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
