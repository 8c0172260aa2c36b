#pragma once

#include <LibCore/Time.h>

#include <functional>
#include <list>
#include <map>
#include <string>
#include <utility>

namespace GraniteField::Testing {

/// Faults that have begun, with what ends each of them. They may overlap.
class FaultSeries {
public:
    using Heal = std::function<void()>;

    void begin(std::string const& name, Core::MonotonicTime end, Heal heal)
    {
        ++m_counts[name];
        m_active.push_back({end, std::move(heal)});
    }

    /// Ends the faults whose time is over. Ending one may begin another.
    void heal_due(Core::MonotonicTime now)
    {
        for (auto fault = m_active.begin(); fault != m_active.end();) {
            if (fault->end > now) {
                ++fault;
                continue;
            }
            auto const heal = std::move(fault->heal);
            fault = m_active.erase(fault);
            heal();
        }
    }

    void heal_all()
    {
        while (!m_active.empty())
            heal_due(Core::MonotonicTime::max());
    }

    /// How often each kind of fault has begun.
    [[nodiscard]] std::map<std::string, unsigned> const& counts() const { return m_counts; }

private:
    struct Active {
        Core::MonotonicTime end;
        Heal heal;
    };

    std::list<Active> m_active;
    std::map<std::string, unsigned> m_counts;
};

}
