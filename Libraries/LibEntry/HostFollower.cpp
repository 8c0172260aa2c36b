#include <LibEntry/HostFollower.h>

#include <LibCore/Thread.h>
#include <LibPlatform/ObjectCodec.h>

#include <map>
#include <vector>

#include <glog/logging.h>

namespace GraniteField::Entry {

namespace {

/// Bytes of a name in a log line.
constexpr std::size_t s_longest_logged_name = 200;

}

HostFollower::HostFollower(PlatformSettings const& settings, SharedDrains& drains, PeerExchange& peers,
    std::function<void()> on_update, Observe::MetricRegistry& metrics)
    : m_interval(settings.host_interval)
    , m_drains(drains)
    , m_peers(peers)
    , m_on_update(std::move(on_update))
    , m_metrics(metrics)
    , m_client(settings.address, settings.call_timeout, {.max_bytes = Platform::s_max_entry_bytes})
    , m_backoff(settings.min_retry_delay, settings.max_retry_delay)
    , m_thread(Core::start_thread("hosts", [this] { run(); }))
{
}

HostFollower::~HostFollower()
{
    m_backoff.stop();
    m_client.abort();
    m_thread.join();
}

void HostFollower::run()
{
    while (!m_backoff.is_stopped()) {
        try {
            if (m_peers.should_watch())
                read_list();
            m_backoff.reset();
            m_backoff.wait(m_interval);
        } catch (std::exception const& error) {
            if (m_backoff.is_stopped())
                return;
            m_metrics.counter("granitefield_host_list_failures_total").add();
            LOG_EVERY_N(WARNING, 10) << "hosts: cannot read the list from the platform: " << error.what();
            m_backoff.wait_after_failure();
        }
    }
}

void HostFollower::note_unreadable(std::string_view name, std::string_view reason)
{
    m_metrics.counter("granitefield_store_objects_unreadable_total", {{"kind", std::string(Platform::servers_kind())}})
        .add();
    if (m_unreadable.add(name))
        LOG(ERROR) << "hosts: the backend server " << name.substr(0, s_longest_logged_name)
                   << " in the platform's store is invalid: " << reason;
}

void HostFollower::read_list()
{
    auto const listing = m_client.list(Platform::servers_kind());
    auto const now = Core::monotonic_now();
    DrainList drains;
    drains.version = DrainsVersion(listing.revision.value());
    std::map<std::string, std::size_t> servers_by_host;
    std::vector<Platform::ServerEntry> leaving;
    for (auto const& object : listing.objects) {
        try {
            auto server = Platform::decode_server(object, now);
            ++servers_by_host[server.address.host()];
            if (server.state == Table::BackendServerState::Leaving)
                leaving.push_back(std::move(server));
            m_unreadable.remove(object.name);
        } catch (std::exception const& error) {
            note_unreadable(object.name, error.what());
        }
    }
    for (auto const& object : listing.unreadable)
        note_unreadable(object.name, object.reason);
    for (auto const& server : leaving) {
        drains.hosts.insert(server.address.to_string());
        // A host's only backend server leaves together with the host's side process.
        if (servers_by_host[server.address.host()] == 1)
            drains.hosts.insert(server.address.host());
    }
    // The store's revision changes with any object, so only a different set of hosts counts as an update.
    if (drains.hosts == m_drains.current().hosts)
        return;
    if (m_drains.offer(std::move(drains)))
        m_on_update();
}

}
