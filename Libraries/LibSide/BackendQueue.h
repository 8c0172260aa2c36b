#pragma once

#include <LibPolicy/AdmissionQueue.h>

#include <optional>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace GraniteField::Side {

/// The disciplines that a setting can choose.
enum class DisciplineName {
    Tiered,
    BareTiers,
    Arrival,
};

/// The admission queue under the discipline that the settings name.
class BackendQueue {
public:
    BackendQueue(DisciplineName name, Policy::QueueLimits limits)
        : m_queue(make(name, limits))
    {
    }

    /// Calls the visitor with the queue itself, whatever its discipline.
    template <typename Visitor>
    decltype(auto) visit(Visitor&& visitor)
    {
        return std::visit(std::forward<Visitor>(visitor), m_queue);
    }

    template <typename Visitor>
    decltype(auto) visit(Visitor&& visitor) const
    {
        return std::visit(std::forward<Visitor>(visitor), m_queue);
    }

private:
    using Queue = std::variant<Policy::AdmissionQueue<Policy::TieredDiscipline>,
        Policy::AdmissionQueue<Policy::BareTierDiscipline>, Policy::AdmissionQueue<Policy::ArrivalDiscipline>>;

    static Queue make(DisciplineName name, Policy::QueueLimits limits)
    {
        switch (name) {
        case DisciplineName::BareTiers:
            return Policy::AdmissionQueue<Policy::BareTierDiscipline>(limits);
        case DisciplineName::Arrival:
            return Policy::AdmissionQueue<Policy::ArrivalDiscipline>(limits);
        case DisciplineName::Tiered:
            break;
        }
        return Policy::AdmissionQueue<Policy::TieredDiscipline>(limits);
    }

    Queue m_queue;
};

}
