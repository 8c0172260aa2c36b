#include "BatchEngine.h"

#include <algorithm>

namespace GraniteField::StandIns {

BatchEngine::BatchEngine(Settings settings)
    : m_settings(settings)
    , m_thread([this] { run(); })
{
}

BatchEngine::~BatchEngine()
{
    {
        std::lock_guard const lock(m_mutex);
        m_should_stop = true;
        for (auto const& sequence : m_running)
            sequence->is_broken = true;
        for (auto const& sequence : m_waiting)
            sequence->is_broken = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

std::shared_ptr<Sequence> BatchEngine::submit(Sequence sequence)
{
    auto pointer = std::make_shared<Sequence>(std::move(sequence));
    std::lock_guard const lock(m_mutex);
    if (pointer->resumed_after > 0)
        continue_execution(*pointer);
    auto const place = std::ranges::find_if(m_waiting, [&](auto const& other) { return other->tier > pointer->tier; });
    m_waiting.insert(place, pointer);
    m_executions.push_back({pointer->request, pointer->attempt, pointer->tag, 0, "running"});
    m_changed.notify_all();
    return pointer;
}

void BatchEngine::continue_execution(Sequence& sequence)
{
    sequence.generated = sequence.resumed_after;
    sequence.taken = sequence.resumed_after;
    for (auto& execution : m_executions) {
        bool const is_same = execution.request == sequence.request && execution.attempt == sequence.attempt
            && execution.end == "cancelled";
        if (!is_same)
            continue;
        // What was handed out is used after all; the tokens behind it are generated again.
        m_counts.wasted_tokens -= std::min(execution.generated, sequence.resumed_after);
        execution.end = "suspended";
    }
}

std::uint32_t BatchEngine::take(Sequence& sequence)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] {
        return sequence.generated > sequence.taken || sequence.is_broken || sequence.generated == sequence.wanted;
    });
    auto const count = sequence.generated - sequence.taken;
    sequence.taken = sequence.generated;
    return count;
}

void BatchEngine::cancel(Sequence& sequence)
{
    std::lock_guard const lock(m_mutex);
    sequence.is_cancelled = true;
}

bool BatchEngine::is_broken(Sequence const& sequence)
{
    std::lock_guard const lock(m_mutex);
    return sequence.is_broken;
}

void BatchEngine::set_switches(Switches switches)
{
    std::lock_guard const lock(m_mutex);
    m_switches = switches;
    m_changed.notify_all();
}

BatchEngine::Load BatchEngine::load_now() const
{
    auto load = m_counts;
    load.running = m_running.size();
    load.waiting = m_waiting.size();
    return load;
}

BatchEngine::Load BatchEngine::load() const
{
    std::lock_guard const lock(m_mutex);
    return load_now();
}

BatchEngine::Load BatchEngine::reported_load() const
{
    std::lock_guard const lock(m_mutex);
    auto const limit = Core::monotonic_now() - m_settings.load_report_lag;
    Load report;
    for (auto const& [time, load] : m_reports) {
        if (time <= limit)
            report = load;
    }
    return report;
}

std::vector<Execution> BatchEngine::executions() const
{
    std::lock_guard const lock(m_mutex);
    return m_executions;
}

bool BatchEngine::touch_prefix(std::uint64_t prefix)
{
    auto const found = std::ranges::find(m_prefixes, prefix);
    bool const is_hit = found != m_prefixes.end();
    if (is_hit)
        m_prefixes.erase(found);
    m_prefixes.push_front(prefix);
    if (m_prefixes.size() > m_settings.cached_prefixes)
        m_prefixes.pop_back();
    ++(is_hit ? m_counts.prefix_hits : m_counts.prefix_misses);
    return is_hit;
}

Core::Microseconds BatchEngine::admit()
{
    Core::Microseconds prefill {0};
    while (m_running.size() < m_settings.slots && !m_waiting.empty()) {
        auto sequence = m_waiting.front();
        m_waiting.pop_front();
        if (sequence->is_cancelled) {
            close(*sequence, "cancelled");
            continue;
        }
        if (!touch_prefix(sequence->prefix) && sequence->resumed_after == 0)
            prefill += m_settings.prefill_per_token * static_cast<std::int64_t>(sequence->prompt_tokens);
        m_running.push_back(std::move(sequence));
    }
    return prefill;
}

std::uint32_t BatchEngine::resumed_part(Sequence const& sequence) const
{
    // The connection that a suspended answer came on may be noticed as closed only after the answer was resumed.
    for (auto const* sequences : {&m_running, &m_waiting}) {
        for (auto const& other : *sequences) {
            bool const is_continuation = other.get() != &sequence && other->request == sequence.request
                && other->attempt == sequence.attempt && other->resumed_after > 0;
            if (is_continuation)
                return std::min(sequence.generated, other->resumed_after);
        }
    }
    return 0;
}

void BatchEngine::close(Sequence& sequence, std::string end)
{
    if (end != "done") {
        auto const resumed = resumed_part(sequence);
        m_counts.wasted_tokens += sequence.generated - resumed;
        if (resumed > 0)
            end = "suspended";
    }
    for (auto& execution : m_executions) {
        if (execution.request == sequence.request && execution.attempt == sequence.attempt
            && execution.end == "running") {
            execution.generated = sequence.generated;
            execution.end = std::move(end);
            return;
        }
    }
}

void BatchEngine::advance()
{
    for (auto const& sequence : m_running) {
        if (sequence->is_cancelled)
            continue;
        ++sequence->generated;
        ++m_counts.generated_tokens;
        bool const should_break = m_switches.break_after != 0 && sequence->generated >= m_switches.break_after
            && sequence->generated < sequence->wanted;
        sequence->is_broken = sequence->is_broken || should_break;
    }
    std::erase_if(m_running, [this](auto const& sequence) {
        bool const is_over = sequence->is_cancelled || sequence->is_broken || sequence->generated == sequence->wanted;
        if (is_over)
            close(*sequence, sequence->is_cancelled ? "cancelled" : (sequence->is_broken ? "broken" : "done"));
        return is_over;
    });
}

void BatchEngine::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_should_stop) {
        bool const is_idle = m_switches.is_frozen || (m_running.empty() && m_waiting.empty());
        if (is_idle) {
            m_changed.wait(lock);
            continue;
        }
        auto const prefill = admit();
        auto const batch = static_cast<std::int64_t>(m_running.size());
        auto const step = (m_settings.step + m_settings.step_per_sequence * batch + prefill) * m_switches.slowness;
        lock.unlock();
        // The time that a step takes on an accelerator; this is what the stand-in is for.
        std::this_thread::sleep_for(step);
        lock.lock();
        advance();
        auto const now = Core::monotonic_now();
        m_reports.emplace_back(now, load_now());
        while (m_reports.front().first + 2 * m_settings.load_report_lag < now)
            m_reports.pop_front();
        m_changed.notify_all();
    }
}

}
