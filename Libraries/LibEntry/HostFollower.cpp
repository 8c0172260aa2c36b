#include <LibEntry/HostFollower.h>

#include <LibPlatform/ObjectCodec.h>

#include <map>
#include <vector>

#include <glog/logging.h>

namespace GraniteField::Entry {

HostFollower::HostFollower(PlatformSettings const& settings, SharedDrains& drains, PeerExchange& peers,
    std::function<void()> on_news, Observe::MetricRegistry& metrics)
    : m_interval(settings.host_interval)
    , m_drains(drains)
    , m_peers(peers)
    , m_on_news(std::move(on_news))
    , m_metrics(metrics)
    , m_client(settings.address, settings.call_timeout)
    , m_backoff(settings.min_retry_delay, settings.max_retry_delay)
    , m_thread([this] { run(); })
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
        } catch (Platform::PlatformUnavailable const&) {
            m_metrics.counter("granitefield_host_list_failures_total").add();
            m_backoff.wait_after_failure();
        }
    }
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
        } catch (std::exception const& error) {
            LOG(ERROR) << "hosts: the entry of " << object.name << " can't be read: " << error.what();
        }
    }
    for (auto const& server : leaving) {
        drains.hosts.insert(server.address.to_string());
        // Where a host has one backend server, its side process leaves with it.
        if (servers_by_host[server.address.host()] == 1)
            drains.hosts.insert(server.address.host());
    }
    // The store's revision rises with every change of anything; only another content is news.
    if (drains.hosts == m_drains.current().hosts)
        return;
    if (m_drains.offer(std::move(drains)))
        m_on_news();
}

}
