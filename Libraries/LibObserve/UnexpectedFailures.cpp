#include <LibObserve/UnexpectedFailures.h>

#include <utility>

namespace GraniteField::Observe {

UnexpectedFailures::UnexpectedFailures(std::string thread, EventLog& log, MetricRegistry& metrics)
    : m_thread(std::move(thread))
    , m_log(log)
    , m_count(metrics.counter("granitefield_unexpected_failures_total", {{"thread", m_thread}}))
{
}

void UnexpectedFailures::note(std::exception const& error)
{
    m_count.add();
    if (m_logged == error.what())
        return;
    m_logged = error.what();
    m_log.write(LogEvent("unexpected-failure").add("thread", m_thread).add("reason", m_logged));
}

}
