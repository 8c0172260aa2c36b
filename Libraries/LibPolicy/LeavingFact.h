#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/ServerFacts.h>

#include <algorithm>

namespace GraniteField::Policy {

/// An answer of a backend server stated that it leaves. It does so until its end, whatever else is said of it.
struct LeavingFact {
    Core::MonotonicTime observed;

    [[nodiscard]] static bool is_over() { return false; }

    FactChange merge(LeavingFact const& other)
    {
        if (other.observed <= observed)
            return FactChange::None;
        observed = other.observed;
        return FactChange::Confirmed;
    }
};

using LeavingFacts = ServerFacts<LeavingFact>;

}
