#include <LibSide/EngineClient.h>

#include <LibCore/Thread.h>
#include <LibSide/RunningCall.h>

#include <glog/logging.h>

namespace GraniteField::Side {

namespace {

constexpr int s_poll_milliseconds = 1000;
constexpr int s_blocked_poll_milliseconds = 1;
constexpr long s_kept_connections = 256;

}

EngineClient::EngineClient(Settings settings, Core::WakeEvent& wake)
    : m_settings(std::move(settings))
    , m_wake(wake)
    , m_commands(m_settings.ring_capacity)
    , m_events(m_settings.ring_capacity)
    , m_multi(curl_multi_init())
{
    if (m_multi == nullptr)
        throw std::bad_alloc();
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, s_kept_connections);
    m_thread = Core::start_thread("engine", [this] { run(); });
}

EngineClient::~EngineClient()
{
    m_should_stop = true;
    curl_multi_wakeup(m_multi);
    m_thread.join();
    curl_multi_cleanup(m_multi);
}

bool EngineClient::try_send(EngineCommand command)
{
    auto item = std::make_unique<EngineCommand>(std::move(command));
    if (!m_commands.try_push(item))
        return false;
    curl_multi_wakeup(m_multi);
    return true;
}

void EngineClient::run()
{
    while (!m_should_stop) {
        while (auto command = m_commands.try_pop())
            handle(std::move(*command));
        int running = 0;
        curl_multi_perform(m_multi, &running);
        collect_ended();
        flush_ends();
        bool is_blocked = !m_waiting_ends.empty();
        for (auto& [key, call] : m_calls)
            call->retry_if_blocked();
        int const timeout = is_blocked ? s_blocked_poll_milliseconds : s_poll_milliseconds;
        curl_multi_poll(m_multi, nullptr, 0, timeout, nullptr);
    }
    for (auto& [key, call] : m_calls)
        curl_multi_remove_handle(m_multi, call->handle());
    m_calls.clear();
}

void EngineClient::handle(EngineCommand&& command)
{
    if (auto* start_call = std::get_if<StartCall>(&command))
        start(std::move(start_call->call));
    else if (auto const* cancel_call = std::get_if<CancelCall>(&command))
        cancel(cancel_call->key);
    else if (auto const* pause_call = std::get_if<PauseCall>(&command))
        set_paused(pause_call->key, true);
    else if (auto const* resume_call = std::get_if<ResumeCall>(&command))
        set_paused(resume_call->key, false);
}

void EngineClient::start(EngineCall&& call)
{
    auto const key = call.key;
    auto& running = m_calls[key];
    running = std::make_unique<RunningCall>(*this, std::move(call));
    curl_multi_add_handle(m_multi, running->handle());
}

void EngineClient::cancel(Policy::AttemptKey const& key)
{
    auto const found = m_calls.find(key);
    if (found == m_calls.end())
        return;
    // Closing the connection is how HTTP/1.1 tells the backend server to stop.
    curl_multi_remove_handle(m_multi, found->second->handle());
    m_calls.erase(found);
    emit_end({key, CallEnd::Cancelled, "cancelled", 0, "", ""});
}

void EngineClient::set_paused(Policy::AttemptKey const& key, bool is_paused)
{
    auto const found = m_calls.find(key);
    if (found != m_calls.end())
        found->second->set_paused(is_paused);
}

void EngineClient::collect_ended()
{
    int left = 0;
    while (auto const* message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        auto const code = message->data.result;
        RunningCall* call = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
        finish(*call, code);
    }
}

void EngineClient::finish(RunningCall& call, CURLcode code)
{
    auto end = call.end(code);
    auto const key = call.key();
    curl_multi_remove_handle(m_multi, call.handle());
    m_calls.erase(key);
    emit_end(std::move(end));
}

bool EngineClient::emit(EngineEvent&& event)
{
    auto item = std::make_unique<EngineEvent>(std::move(event));
    if (!m_events.try_push(item)) {
        m_wake.signal();
        return false;
    }
    m_wake.signal();
    return true;
}

void EngineClient::emit_end(AnswerEnd&& end)
{
    m_waiting_ends.push_back(std::move(end));
    flush_ends();
}

void EngineClient::flush_ends()
{
    while (!m_waiting_ends.empty()) {
        if (!emit(EngineEvent(m_waiting_ends.front())))
            return;
        m_waiting_ends.pop_front();
    }
}

}
