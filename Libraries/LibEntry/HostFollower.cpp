#include <LibEntry/HostFollower.h>

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
    auto const list = m_client.hosts();
    LeavingHosts hosts;
    hosts.version = HostsVersion(list.version.value());
    for (auto const& host : list.hosts) {
        if (host.state == Platform::HostState::Leaving)
            hosts.addresses.insert(host.address);
    }
    if (m_hosts.offer(std::move(hosts)))
        m_on_news();
}

}
