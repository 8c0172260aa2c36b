#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/ServerFacts.h>

namespace GraniteField::Policy {

/// A backend server stated that it is leaving. A server does not retract this while it runs.
struct LeavingFact {
    /// When the newest such answer was received.
    Core::MonotonicTime stated;

    [[nodiscard]] Core::MonotonicTime observed() const { return stated; }
    [[nodiscard]] static bool is_over() { return false; }

    FactChange merge(LeavingFact const& other)
    {
        if (other.stated <= stated)
            return FactChange::None;
        stated = other.stated;
        return FactChange::Confirmed;
    }
};

using LeavingFacts = ServerFacts<LeavingFact>;

}
