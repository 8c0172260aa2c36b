#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/ServerFacts.h>

#include <algorithm>

namespace GraniteField::Policy {

/// An answer of a backend server stated that it leaves. It does so until its end, whatever else is said of it.
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
