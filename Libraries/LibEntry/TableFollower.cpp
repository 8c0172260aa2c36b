#include <LibEntry/TableFollower.h>

#include <algorithm>
#include <random>

#include <glog/logging.h>

namespace GraniteField::Entry {

TableFollower::TableFollower(Settings settings, SharedTable& table, Router& router, Observe::MetricRegistry& metrics)
    : m_settings(std::move(settings))
    , m_table(table)
    , m_router(router)
    , m_metrics(metrics)
    , m_client(m_settings.platform, m_settings.call_timeout)
    , m_store(m_client)
    , m_next_pause(m_settings.shortest_pause)
    , m_thread([this] { run(); })
{
}

TableFollower::~TableFollower()
{
    m_should_stop = true;
    m_client.abort();
    m_stop_signal.notify_all();
    m_thread.join();
}

void TableFollower::run()
{
    bool has_read = false;
    while (!m_should_stop) {
        try {
            if (!has_read) {
                offer(m_store.read());
                has_read = true;
            }
            if (auto table = m_store.watch(m_settings.watch_wait))
                offer(std::move(*table));
            m_next_pause = m_settings.shortest_pause;
        } catch (std::exception const& error) {
            if (m_should_stop)
                return;
            m_metrics.counter("granitefield_platform_failures_total").add();
            LOG_EVERY_N(WARNING, 10) << "table: the platform gives no table: " << error.what();
            // A watch can't tell what was missed meanwhile; the next read does.
            has_read = false;
            pause();
        }
    }
}

void TableFollower::offer(Table::Table table)
{
    auto const version = table.version();
    if (m_table.offer(std::move(table))) {
        m_router.wake();
        return;
    }
    auto const current = m_table.current();
    if (current && version < current->version()) {
        m_metrics.counter("granitefield_older_tables_total").add();
        LOG(WARNING) << "table: ignored version " << version.value() << ", which is older than "
                     << current->version().value();
    }
}

void TableFollower::pause()
{
    // Spread over half to all of the pause, so that entries do not come back to the platform together.
    static thread_local std::mt19937 s_generator {std::random_device {}()};
    std::uniform_int_distribution<std::int64_t> spread(m_next_pause.count() / 2, m_next_pause.count());
    std::unique_lock lock(m_mutex);
    m_stop_signal.wait_for(lock, Core::Milliseconds(spread(s_generator)), [this] { return m_should_stop.load(); });
    m_next_pause = std::min(m_next_pause * 2, m_settings.longest_pause);
}

}
