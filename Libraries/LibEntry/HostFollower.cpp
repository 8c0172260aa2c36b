#include <LibEntry/HostFollower.h>

#include <LibPlatform/ObjectCodec.h>

#include <map>
#include <vector>

#include <glog/logging.h>

namespace GraniteField::Entry {

HostFollower::HostFollower(PlatformSettings const& settings, SharedHosts& hosts, PeerExchange& peers,
    std::function<void()> on_news, Observe::MetricRegistry& metrics)
    : m_interval(settings.host_interval)
    , m_hosts(hosts)
    , m_peers(peers)
    , m_on_news(std::move(on_news))
    , m_metrics(metrics)
    , m_client(settings.address, settings.call_timeout)
    , m_backoff(settings.shortest_pause, settings.longest_pause)
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
    LeavingHosts hosts;
    hosts.version = HostsVersion(listing.revision.value());
    std::map<std::string, std::size_t> servers_by_host;
    std::vector<Platform::ServerEntry> leaving;
    for (auto const& object : listing.objects) {
        try {
            auto server = Platform::decode_server(object);
            ++servers_by_host[server.address.host()];
            if (server.state == Table::BackendServerState::Leaving)
                leaving.push_back(std::move(server));
        } catch (std::exception const& error) {
            LOG(ERROR) << "hosts: the entry of " << object.name << " can't be read: " << error.what();
        }
    }
    for (auto const& server : leaving) {
        hosts.addresses.insert(server.address.to_string());
        // Where a host has one backend server, its side process leaves with it.
        if (servers_by_host[server.address.host()] == 1)
            hosts.addresses.insert(server.address.host());
    }
    // The store's revision rises with every change of anything; only another content is news.
    if (hosts.addresses == m_hosts.current().addresses)
        return;
    if (m_hosts.offer(std::move(hosts)))
        m_on_news();
}

}
