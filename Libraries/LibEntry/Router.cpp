#include <LibEntry/Router.h>

#include <LibCore/Thread.h>
#include <LibProtocol/Poll.h>

#include <algorithm>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace GraniteField::Entry {

namespace {

constexpr Core::Milliseconds s_tick_interval {50};
/// Time for which an operator's request waits for a new status before it gets the previous one.
constexpr Core::Milliseconds s_status_timeout {1'000};
/// Maximum number of calls, and of messages of one link, that are handled before other work.
constexpr int s_max_submissions_per_iteration = 1'000;
constexpr int s_max_messages_per_iteration = 2'000;

}

Router::Router(Settings settings, zmq::context_t& context, SharedTable const& table, SharedDrains const& drains,
    SharedMembership const& membership, Observe::MetricRegistry& metrics, Observe::DecisionRing& decisions,
    Observe::SpanExporter* spans)
    : m_shared_table(table)
    , m_shared_drains(drains)
    , m_membership(membership)
    , m_min_entry_count(settings.min_entry_count)
    , m_metrics(metrics)
    , m_links(context, settings.links)
    , m_runs(settings.runs, m_links, metrics, decisions, spans)
    , m_submissions(settings.ring_capacity)
{
    publish_status();
    m_thread = Core::start_thread("router", [this] { run(); });
}

Router::~Router()
{
    m_should_stop = true;
    m_wake.signal();
    m_thread.join();
}

bool Router::try_submit(std::unique_ptr<Submission>& submission)
{
    if (!m_submissions.try_push(submission))
        return false;
    m_wake.signal();
    return true;
}

std::string Router::status()
{
    // The status is built on demand only: with hundreds of links it costs more than all other work of an idle entry.
    std::unique_lock lock(m_mutex);
    auto const seen = m_status_count;
    m_is_status_wanted = true;
    m_wake.signal();
    m_status_signal.wait_for(lock, s_status_timeout, [this, seen] { return m_status_count != seen; });
    return m_status;
}

void Router::run()
{
    while (!m_should_stop) {
        wait_for_work();
        // Messages are handled before the clock is checked, so that a stall of this process is not mistaken for silence
        // of the side processes.
        receive_messages();
        follow_table();
        receive_submissions();
        tick();
        m_open_count = m_runs.count();
        if (m_is_status_wanted.exchange(false))
            publish_status();
    }
    receive_submissions();
    m_runs.abandon_all();
}

void Router::wait_for_work()
{
    if (m_poll_generation != m_links.generation()) {
        m_poll_items.assign(1, {nullptr, m_wake.descriptor(), ZMQ_POLLIN, 0});
        for (auto const& [name, link] : m_links.all())
            m_poll_items.push_back({link->socket().handle(), 0, ZMQ_POLLIN, 0});
        m_poll_generation = m_links.generation();
    }
    Protocol::poll(m_poll_items, s_tick_interval);
    m_wake.drain();
}

void Router::receive_submissions()
{
    for (int count = 0; count < s_max_submissions_per_iteration; ++count) {
        auto submission = m_submissions.try_pop();
        if (!submission)
            return;
        m_runs.begin(std::move(submission->call), std::move(submission->exchange), Core::monotonic_now());
    }
    // The next iteration handles the rest without waiting.
    m_wake.signal();
}

void Router::receive_messages()
{
    for (auto const& [name, link] : m_links.all())
        receive_messages(*link);
}

void Router::receive_messages(SideLink& link)
{
    for (int count = 0; count < s_max_messages_per_iteration; ++count) {
        auto const message = link.receive();
        if (!message)
            return;
        auto const time = Core::monotonic_now();
        apply(link, link.note_message(*message, time));
        m_runs.handle(link, *message, time);
    }
    m_wake.signal();
}

void Router::apply(SideLink& link, SideLink::Change change)
{
    switch (change) {
    case SideLink::Change::None:
        return;
    case SideLink::Change::Reconnected:
        return m_runs.handle_reconnected(link, Core::monotonic_now());
    case SideLink::Change::Replaced:
        return m_runs.handle_replaced(link, Core::monotonic_now());
    case SideLink::Change::Lost:
        return m_runs.handle_lost(link, Core::monotonic_now());
    }
}

void Router::follow_table()
{
    if (m_shared_drains.version() != m_followed_drains) {
        auto drains = m_shared_drains.current();
        m_followed_drains = drains.version;
        m_links.set_leaving_hosts(std::move(drains.hosts));
    }
    auto const table = m_shared_table.current();
    if (!table || m_followed_version == table->version())
        return;
    m_links.follow(*table);
    m_followed_version = table->version();
    LOG(INFO) << "entry: table version " << table->version().value() << " has taken effect";
    m_metrics.gauge("granitefield_table_version").set(static_cast<std::int64_t>(table->version().value()));
}

void Router::tick()
{
    auto const time = Core::monotonic_now();
    if (Core::elapsed(m_last_tick, time) < s_tick_interval)
        return;
    m_last_tick = time;
    for (auto const& [name, link] : m_links.all())
        apply(*link, link->tick(time));
    m_runs.set_entry_count(std::max(m_min_entry_count, m_membership.peer_count + 1));
    m_runs.tick(time);
    // A backend server whose address changed gets its new link once the old one is closed.
    if (m_links.close_removed())
        m_followed_version.reset();
    m_has_backends = std::ranges::any_of(m_links.all(), [](auto const& item) { return item.second->is_available(); });
    m_metrics.gauge("granitefield_entry_open_requests").set(static_cast<std::int64_t>(m_runs.count()));
    publish_control_bytes();
}

void Router::publish_control_bytes()
{
    std::uint64_t control_bytes = 0;
    for (auto const& [name, link] : m_links.all())
        control_bytes += link->control_bytes();
    m_metrics.gauge("granitefield_entry_link_control_bytes").set(static_cast<std::int64_t>(control_bytes));
}

void Router::publish_status()
{
    nlohmann::json links = nlohmann::json::array();
    for (auto const& [name, link] : m_links.all()) {
        auto const& view = link->view();
        nlohmann::json item {{"backend-server", name}, {"service", link->backend_server().service},
            {"side", link->backend_server().side_address}, {"up", link->is_up()}, {"leaving", link->is_leaving()},
            {"slots", view.slots}, {"running", view.running}, {"waiting", view.waiting_by_tier}, {"open", view.open},
            {"incarnation", Core::to_hex(link->incarnation().value())}};
        if (link->refused_version())
            item["other-protocol-version"] = *link->refused_version();
        links.push_back(std::move(item));
    }
    nlohmann::json const status {{"role", "entry"}, {"entries", m_runs.entry_count()},
        {"open-requests", m_runs.count()}, {"links", links},
        {"table-version", m_followed_version ? nlohmann::json(m_followed_version->value()) : nlohmann::json()}};
    std::lock_guard const lock(m_mutex);
    m_status = status.dump();
    ++m_status_count;
    m_status_signal.notify_all();
}

}
