// Synchronizes RequestRuns with the side processes: sends Resume and Revoke messages and handles changes of links.
#include <LibEntry/RequestRuns.h>

#include <LibProtocol/ProtocolVersion.h>

namespace GraniteField::Entry {

namespace {

constexpr Core::Milliseconds s_no_backend_retry_after {1'000};
/// Maximum number of revocations kept for a link that is down. The side process stops any further attempts itself when
/// its entry is silent or the request's time limit has passed.
constexpr std::size_t s_max_pending_revocations = 10'000;

}

RequestRun* RequestRuns::find(Policy::AttemptKey const& key, SideLink const& link)
{
    auto const found = m_runs.find(key.request);
    if (found == m_runs.end())
        return nullptr;
    auto const* attempt = found->second.attempt();
    bool const is_present
        = attempt != nullptr && attempt->number == key.attempt && attempt->backend_server == link.backend_server().name;
    return is_present ? &found->second : nullptr;
}

std::vector<Core::RequestId> RequestRuns::runs_at(SideLink const& link)
{
    std::vector<Core::RequestId> ids;
    for (auto& [id, run] : m_runs) {
        auto const* attempt = run.attempt();
        if (attempt != nullptr && attempt->backend_server == link.backend_server().name)
            ids.push_back(id);
    }
    return ids;
}

void RequestRuns::handle_replaced(SideLink& link, Core::MonotonicTime now)
{
    m_pending_revocations.erase(link.backend_server().name);
    for (auto const& id : runs_at(link)) {
        auto& run = m_runs.at(id);
        retry_lost(run,
            {502, "side_lost", "the side process restarted, or has forgotten this entry, while it had the request",
                Outcome::Unknown, s_no_backend_retry_after},
            now);
    }
}

void RequestRuns::handle_lost(SideLink& link, Core::MonotonicTime now)
{
    for (auto const& id : runs_at(link)) {
        auto& run = m_runs.at(id);
        // A request that may not run twice, or whose answer has begun to reach the caller, waits until the side process
        // reconnects.
        if (!run.call().is_repeatable || run.has_forwarded())
            continue;
        revoke(link, run);
        retry_lost(run,
            {502, "side_silent", "the side process that had the request does not respond", Outcome::Unknown,
                s_no_backend_retry_after},
            now);
    }
}

void RequestRuns::handle_reconnected(SideLink& link, Core::MonotonicTime now)
{
    send_pending_revocations(link);
    for (auto const& id : runs_at(link))
        send_resume(link, m_runs.at(id), now);
}

void RequestRuns::send_pending_revocations(SideLink& link)
{
    auto const found = m_pending_revocations.find(link.backend_server().name);
    if (found == m_pending_revocations.end())
        return;
    for (auto const& envelope : found->second)
        link.send(envelope);
    m_pending_revocations.erase(found);
}

void RequestRuns::revoke(SideLink& link, RequestRun& run)
{
    run.attempt()->is_revoked = true;
    auto envelope = Protocol::make_envelope();
    auto& message = *envelope.mutable_revoke();
    Protocol::set_key(message, run.key());
    message.set_side_incarnation(link.incarnation().value());
    message.set_session(link.session());
    // A call that is not repeatable runs to its end, since cancelling would not undo it.
    message.set_should_cancel_running(run.call().is_repeatable);
    if (link.send(envelope))
        return;
    auto& waiting = m_pending_revocations[link.backend_server().name];
    if (waiting.size() < s_max_pending_revocations)
        waiting.push_back(std::move(envelope));
}

void RequestRuns::send_resume(SideLink& link, RequestRun& run, Core::MonotonicTime now)
{
    auto& attempt = *run.attempt();
    attempt.last_resume = now;
    auto envelope = Protocol::make_envelope();
    auto& resume = *envelope.mutable_resume();
    Protocol::set_key(resume, run.key());
    resume.set_side_incarnation(link.incarnation().value());
    resume.set_session(link.session());
    resume.set_after_sequence(attempt.chunks);
    link.send(envelope);
}

}
