#pragma once

#include <LibCore/Hashing.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>

namespace GraniteField::Platform {

/// Remembers which objects can't be read, so that each is logged once: its writer may write it again and again. Keeps
/// hashes, since the store bounds a name by the size of its object only.
class UnreadableNames {
public:
    /// Names that are remembered; beyond them none is new.
    static constexpr std::size_t s_max_names = 1'024;

    /// Returns whether the object is to be logged.
    [[nodiscard]] bool add(std::string_view name)
    {
        return m_hashes.size() < s_max_names && m_hashes.insert(Core::hash_bytes(name)).second;
    }

    /// The object can be read, or is gone.
    void remove(std::string_view name) { m_hashes.erase(Core::hash_bytes(name)); }

private:
    std::set<std::uint64_t> m_hashes;
};

}
