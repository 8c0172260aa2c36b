#include <LibEntry/TableFollower.h>

#include <LibCore/Thread.h>

#include <glog/logging.h>

namespace GraniteField::Entry {

TableFollower::TableFollower(PlatformSettings const& settings, SharedTable& table, PeerExchange& peers,
    std::function<void()> on_update, Observe::MetricRegistry& metrics)
    : m_watch_wait(settings.watch_wait)
    , m_idle_interval(settings.idle_interval)
    , m_table(table)
    , m_peers(peers)
    , m_on_update(std::move(on_update))
    , m_metrics(metrics)
    , m_client(settings.address, settings.call_timeout)
    , m_store(m_client)
    , m_backoff(settings.min_retry_delay, settings.max_retry_delay)
    , m_thread(Core::start_thread("table", [this] { run(); }))
{
}

TableFollower::~TableFollower()
{
    m_backoff.stop();
    m_client.abort();
    m_thread.join();
}

void TableFollower::run()
{
    while (!m_backoff.is_stopped()) {
        if (!m_peers.should_watch()) {
            m_has_read = false;
            m_backoff.wait(m_idle_interval);
            continue;
        }
        try {
            follow_once();
            m_peers.set_platform_reachable(true);
            m_backoff.reset();
        } catch (std::exception const& error) {
            if (m_backoff.is_stopped())
                return;
            m_metrics.counter("granitefield_platform_failures_total").add();
            LOG_EVERY_N(WARNING, 10) << "table: cannot read the table from the platform: " << error.what();
            m_peers.set_platform_reachable(false);
            // A watch does not report changes made before it started; the next read does.
            m_has_read = false;
            m_backoff.wait_after_failure();
        }
    }
}

void TableFollower::follow_once()
{
    if (!m_has_read) {
        offer(m_store.read());
        m_has_read = true;
        m_peers.set_platform_reachable(true);
    }
    if (auto table = m_store.watch(m_watch_wait))
        offer(std::move(*table));
}

void TableFollower::offer(Table::Table table)
{
    auto const version = table.version();
    if (m_table.offer(std::move(table))) {
        if (auto const& findings = m_store.unreadable().all(); !findings.empty()) {
            LOG(WARNING) << "table: " << findings.size() << " cells of version " << version.value()
                         << " cannot be read, the first at " << findings.front().place;
        }
        return m_on_update();
    }
    auto const current = m_table.current();
    if (current && version < current->version()) {
        m_metrics.counter("granitefield_older_tables_total").add();
        LOG(WARNING) << "table: ignored version " << version.value() << ", which is older than "
                     << current->version().value();
    }
}

}
