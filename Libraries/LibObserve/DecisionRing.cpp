#include <LibObserve/DecisionRing.h>

#include <algorithm>

namespace GraniteField::Observe {

void DecisionRing::record(Core::RequestId request, std::string what)
{
    std::lock_guard const lock(m_mutex);
    if (m_decisions.size() == m_capacity)
        m_decisions.pop_front();
    m_decisions.push_back({request, std::chrono::system_clock::now(), std::move(what)});
}

std::vector<Decision> DecisionRing::about(Core::RequestId request) const
{
    std::lock_guard const lock(m_mutex);
    std::vector<Decision> found;
    std::ranges::copy_if(m_decisions, std::back_inserter(found),
        [request](auto const& decision) { return decision.request == request; });
    return found;
}

std::vector<Decision> DecisionRing::recent(std::size_t count) const
{
    std::lock_guard const lock(m_mutex);
    auto const skipped = m_decisions.size() - std::min(count, m_decisions.size());
    return {m_decisions.begin() + static_cast<std::ptrdiff_t>(skipped), m_decisions.end()};
}

}
