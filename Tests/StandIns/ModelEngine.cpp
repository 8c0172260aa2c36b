#include "ModelEngine.h"

#include <LibCore/Hashing.h>
#include <LibCore/Text.h>
#include <LibHTTP/Microhttpd.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <stdexcept>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace GraniteField::StandIns {

using Json = nlohmann::json;

namespace {

constexpr std::uint32_t s_default_tokens = 16;
constexpr std::size_t s_bytes_per_token = 4;
constexpr std::size_t s_block_bytes = 16'384;
constexpr unsigned s_largest_connection_count = 512;

/// The value of `name=value` in a text of such words.
std::string word_of(std::string const& text, std::string const& name)
{
    auto const start = text.find(name + "=");
    if (start == std::string::npos)
        return "";
    auto const from = start + name.size() + 1;
    return text.substr(from, text.find_first_of(" \n\"", from) - from);
}

std::string token_text(Sequence const& sequence, std::uint32_t number)
{
    return Core::concat(sequence.tag, ":", number, " ");
}

std::string event_of(Sequence const& sequence, std::uint32_t number)
{
    Json const chunk {{"object", "chat.completion.chunk"},
        {"choices", Json::array({{{"index", 0}, {"delta", {{"content", token_text(sequence, number)}}}}})}};
    return "data: " + chunk.dump() + "\n\n";
}

int respond(MHD_Connection* connection, unsigned status, std::string const& body, char const* type = "application/json")
{
    auto* response
        = MHD_create_response_from_buffer(body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
    auto const result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

/// What the stream of one answer needs, on the thread of its connection.
struct Stream {
    BatchEngine& engine;
    std::shared_ptr<Sequence> sequence;
    std::uint32_t written {0};
    std::string pending;
    bool has_ended {false};

    ssize_t read(char* buffer, std::size_t size)
    {
        while (pending.empty()) {
            if (has_ended)
                return MHD_CONTENT_READER_END_OF_STREAM;
            auto const count = engine.take(*sequence);
            for (std::uint32_t index = 0; index < count; ++index)
                pending += event_of(*sequence, ++written);
            if (written == sequence->wanted) {
                pending += "data: [DONE]\n\n";
                has_ended = true;
            } else if (pending.empty() && engine.is_broken(*sequence)) {
                return MHD_CONTENT_READER_END_WITH_ERROR;
            }
        }
        auto const count = std::min(size, pending.size());
        std::memcpy(buffer, pending.data(), count);
        pending.erase(0, count);
        return static_cast<ssize_t>(count);
    }
};

ssize_t read_stream(void* stream, std::uint64_t, char* buffer, std::size_t size)
{
    return static_cast<Stream*>(stream)->read(buffer, size);
}

void free_stream(void* user)
{
    std::unique_ptr<Stream> const stream(static_cast<Stream*>(user));
    if (!stream->has_ended)
        stream->engine.cancel(*stream->sequence);
}

}

struct ModelEngine::Call {
    std::string method;
    std::string path;
    std::string body;
    HTTP::Headers headers;
};

ModelEngine::ModelEngine(Core::Address const& address, BatchEngine::Settings settings)
    : m_engine(settings)
{
    HTTP::BindAddress const bind_address(address);
    auto const handler = [](void* user, MHD_Connection* connection, char const* url, char const* method,
                             char const* version, char const* upload, std::size_t* size, void** context) {
        return static_cast<MHD_Result>(handle(user, connection, url, method, version, upload, size, context));
    };
    auto const forget = [](void*, MHD_Connection*, void** context, MHD_RequestTerminationCode) {
        delete static_cast<Call*>(*context);
        *context = nullptr;
    };
    m_daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL | bind_address.flags(),
        address.port(), nullptr, nullptr, handler, this, MHD_OPTION_SOCK_ADDR, bind_address.socket_address(),
        MHD_OPTION_CONNECTION_LIMIT, s_largest_connection_count, MHD_OPTION_THREAD_STACK_SIZE,
        std::size_t {256U << 10U}, MHD_OPTION_NOTIFY_COMPLETED, static_cast<MHD_RequestCompletedCallback>(forget),
        nullptr, MHD_OPTION_END);
    if (m_daemon == nullptr)
        throw std::runtime_error("can't listen on " + address.to_string());
}

ModelEngine::~ModelEngine()
{
    MHD_stop_daemon(m_daemon);
}

std::uint16_t ModelEngine::port() const
{
    return HTTP::listening_port(m_daemon);
}

int ModelEngine::handle(void* engine, MHD_Connection* connection, char const* url, char const* method, char const*,
    char const* upload, std::size_t* upload_size, void** context)
{
    auto* call = static_cast<Call*>(*context);
    if (call == nullptr) {
        *context = new Call {method, url, "", HTTP::collect_values(connection, MHD_HEADER_KIND)};
        return MHD_YES;
    }
    if (*upload_size > 0) {
        call->body.append(upload, *upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    try {
        return static_cast<ModelEngine*>(engine)->answer(connection, *call);
    } catch (std::exception const& error) {
        return respond(connection, 400, Json {{"error", error.what()}}.dump());
    }
}

int ModelEngine::answer(MHD_Connection* connection, Call& call)
{
    if (call.path == "/v1/chat/completions")
        return complete(connection, call);
    return control(connection, call);
}

int ModelEngine::complete(MHD_Connection* connection, Call& call)
{
    auto const json = Json::parse(call.body);
    auto const& messages = json.at("messages");
    auto const prompt = messages.back().at("content").get<std::string>();
    Sequence sequence;
    sequence.request = call.headers["granitefield-request"];
    sequence.attempt = call.headers["granitefield-attempt"];
    sequence.tag = word_of(prompt, "tag");
    sequence.wanted = s_default_tokens;
    auto const tokens = word_of(prompt, "tokens");
    std::from_chars(tokens.data(), tokens.data() + tokens.size(), sequence.wanted);
    sequence.wanted = std::max(sequence.wanted, 1U);
    auto const tier = call.headers["granitefield-tier"];
    std::from_chars(tier.data(), tier.data() + tier.size(), sequence.tier);
    sequence.prompt_tokens = call.body.size() / s_bytes_per_token;
    sequence.prefix = Core::hash_bytes(messages.front().at("content").get<std::string>());

    auto const resume_after = call.headers["granitefield-resume-after"];
    std::from_chars(resume_after.data(), resume_after.data() + resume_after.size(), sequence.resumed_after);
    auto submitted = m_engine.submit(std::move(sequence));
    if (!json.value("stream", false)) {
        std::string content;
        std::uint32_t written = 0;
        while (written < submitted->wanted) {
            auto const count = m_engine.take(*submitted);
            if (count == 0 && m_engine.is_broken(*submitted))
                return MHD_NO;
            for (std::uint32_t index = 0; index < count; ++index)
                content += token_text(*submitted, ++written);
        }
        Json const answer {{"object", "chat.completion"},
            {"choices", Json::array({{{"index", 0}, {"message", {{"role", "assistant"}, {"content", content}}}}})},
            {"usage", {{"completion_tokens", written}}}};
        return respond(connection, 200, answer.dump());
    }
    auto const already_written = submitted->resumed_after;
    auto* stream = new Stream {m_engine, std::move(submitted), already_written, "", false};
    auto* response
        = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, s_block_bytes, read_stream, stream, free_stream);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "text/event-stream");
    auto const result = MHD_queue_response(connection, 200, response);
    MHD_destroy_response(response);
    return result;
}

int ModelEngine::control(MHD_Connection* connection, Call const& call)
{
    if (call.path == "/load") {
        auto const load = m_engine.reported_load();
        return respond(connection, 200, Json {{"running", load.running}, {"waiting", load.waiting}}.dump());
    }
    if (call.path == "/control/counts") {
        auto const load = m_engine.load();
        return respond(connection, 200,
            Json {{"running", load.running}, {"waiting", load.waiting}, {"generated", load.generated_tokens},
                {"wasted", load.wasted_tokens}, {"prefix-hits", load.prefix_hits},
                {"prefix-misses", load.prefix_misses}}
                .dump());
    }
    if (call.path == "/control/executions") {
        auto list = Json::array();
        for (auto const& execution : m_engine.executions())
            list.push_back({{"request", execution.request}, {"attempt", execution.attempt}, {"tag", execution.tag},
                {"generated", execution.generated}, {"end", execution.end}});
        return respond(connection, 200, list.dump());
    }
    if (call.path == "/control/crash")
        ::_exit(70);
    if (call.path == "/control") {
        auto const json = Json::parse(call.body);
        m_engine.set_switches(
            {json.value("slowness", 1.0), json.value("frozen", false), json.value("break-after", 0U)});
        return respond(connection, 200, "{}");
    }
    return respond(connection, 404, "{}");
}

}
