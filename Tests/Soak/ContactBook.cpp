#include "ContactBook.h"

#include <LibCore/Text.h>

#include <algorithm>

namespace GraniteField::Testing {

std::size_t ContactBook::begin_gateway(std::size_t gateway, std::string what, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    auto& troubles = m_gateways.at(gateway);
    troubles.push_back({std::move(what), now});
    return troubles.size() - 1;
}

void ContactBook::end_gateway(std::size_t gateway, std::size_t number, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_gateways.at(gateway).at(number).end = now;
}

std::size_t ContactBook::begin_store(StoreTrouble kind, std::string what, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_store.push_back({std::move(what), now, Core::MonotonicTime::max(), kind});
    return m_store.size() - 1;
}

void ContactBook::end_store(std::size_t number, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_store.at(number).end = now;
}

bool ContactBook::has_touched(Trouble const& trouble, Core::MonotonicTime at, Core::MonotonicTime until) const
{
    return trouble.begin <= until && trouble.end >= at - m_settings.contact_time;
}

bool ContactBook::is_undisturbed(std::size_t gateway, Core::MonotonicTime at, Core::MonotonicTime until) const
{
    std::lock_guard const lock(m_mutex);
    return std::ranges::none_of(
        m_gateways.at(gateway), [&](auto const& trouble) { return has_touched(trouble, at, until); });
}

std::optional<Core::Milliseconds> ContactBook::stretch(
    std::size_t gateway, Core::MonotonicTime at, Core::MonotonicTime until) const
{
    if (!is_undisturbed(gateway, at, until))
        return std::nullopt;
    std::lock_guard const lock(m_mutex);
    Core::Milliseconds stretch {0};
    for (auto const& trouble : m_store) {
        if (!has_touched(trouble, at, until))
            continue;
        if (trouble.kind == StoreTrouble::Away)
            return std::nullopt;
        stretch = m_settings.longest_stretch;
    }
    return stretch;
}

std::string ContactBook::describe(std::size_t gateway, Core::MonotonicTime since) const
{
    std::lock_guard const lock(m_mutex);
    std::string text;
    auto const add = [&](Trouble const& trouble) {
        if (trouble.end < since)
            return;
        auto const end = trouble.end == Core::MonotonicTime::max()
            ? std::string("now")
            : std::to_string(Core::elapsed(since, trouble.end).count());
        Core::append(&text, " ", trouble.what, " [", Core::elapsed(since, trouble.begin).count(), "..", end, " ms]");
    };
    std::ranges::for_each(m_gateways.at(gateway), add);
    std::ranges::for_each(m_store, add);
    return text;
}

}
