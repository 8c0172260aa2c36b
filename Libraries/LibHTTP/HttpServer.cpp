#include <LibHTTP/HttpServer.h>

#include <LibHTTP/Microhttpd.h>

#include <cerrno>
#include <system_error>

namespace GraniteField::HTTP {

struct HttpServer::State {
    Handler handler;
    MHD_Daemon* daemon {nullptr};
};

namespace {

/// Far more than an operator's request needs; the stand-ins' largest value is 1 MB.
constexpr std::size_t s_largest_body_bytes = 8U << 20U;

struct Call {
    ServerRequest request;
    bool is_too_large {false};
};

MHD_Result respond(MHD_Connection* connection, ServerResponse const& answer)
{
    if (answer.status == 0)
        return MHD_NO;
    auto* response = MHD_create_response_from_buffer(
        answer.body.size(), const_cast<char*>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, answer.content_type.c_str());
    for (auto const& [name, value] : answer.headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    auto const result = MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return result;
}

void take_upload(Call& call, char const* data, std::size_t size)
{
    if (call.request.body.size() + size > s_largest_body_bytes)
        call.is_too_large = true;
    else
        call.request.body.append(data, size);
}

MHD_Result answer(void* user, MHD_Connection* connection, char const* url, char const* method, char const*,
    char const* upload, std::size_t* upload_size, void** context)
{
    auto const& handler = *static_cast<HttpServer::Handler*>(user);
    auto* call = static_cast<Call*>(*context);
    if (call == nullptr) {
        call = new Call;
        call->request.method = method;
        call->request.path = url;
        call->request.headers = collect_values(connection, MHD_HEADER_KIND);
        call->request.query = collect_values(connection, MHD_GET_ARGUMENT_KIND);
        *context = call;
        return MHD_YES;
    }
    if (*upload_size != 0) {
        take_upload(*call, upload, *upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    if (call->is_too_large)
        return respond(connection, {413, "text/plain", {}, "the body is too large\n"});
    try {
        return respond(connection, handler(call->request));
    } catch (std::exception const& error) {
        return respond(connection, {500, "text/plain", {}, std::string(error.what()) + "\n"});
    }
}

void forget_call(void*, MHD_Connection*, void** context, MHD_RequestTerminationCode)
{
    delete static_cast<Call*>(*context);
    *context = nullptr;
}

}

HttpServer::HttpServer(Core::Address const& address, Handler handler)
    : m_state(std::make_unique<State>())
{
    m_state->handler = std::move(handler);
    BindAddress const bind_address(address);
    unsigned const flags
        = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL | bind_address.flags();
    errno = 0;
    m_state->daemon
        = MHD_start_daemon(flags, address.port(), nullptr, nullptr, answer, &m_state->handler, MHD_OPTION_SOCK_ADDR,
            bind_address.socket_address(), MHD_OPTION_NOTIFY_COMPLETED, forget_call, nullptr, MHD_OPTION_END);
    if (m_state->daemon == nullptr)
        throw std::system_error(errno, std::generic_category(), "can't listen on " + address.to_string());
}

HttpServer::~HttpServer()
{
    MHD_stop_daemon(m_state->daemon);
}

std::uint16_t HttpServer::port() const
{
    return listening_port(m_state->daemon);
}

}
