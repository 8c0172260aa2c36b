#pragma once

#include <LibCore/StrongInteger.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace GraniteField::Core {

/// A random number that a process draws at its start. Two runs of one program never share it, so a
/// message that names an incarnation can't be taken by the successor of the process it was meant for.
using Incarnation = StrongInteger<struct IncarnationTag>;

/// Number of one try to run a request at a backend server, counted from 1 within the request.
using AttemptNumber = StrongInteger<struct AttemptNumberTag, std::uint32_t>;

/// Version of the table. It only goes up.
using TableVersion = StrongInteger<struct TableVersionTag>;

/// Draws an incarnation from the system's random source. It is never zero.
[[nodiscard]] Incarnation draw_incarnation();

/// A request's name: the incarnation of the entry that received it, and a counter of that entry.
struct RequestId {
    std::uint64_t entry {0};
    std::uint64_t sequence {0};

    auto operator<=>(RequestId const&) const = default;

    /// 32 lower-case hexadecimal digits.
    [[nodiscard]] std::string to_string() const;
    [[nodiscard]] static std::optional<RequestId> from_string(std::string_view);

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, RequestId const& id)
    {
        return Hash::combine(std::move(state), id.entry, id.sequence);
    }
};

/// 16 lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(std::uint64_t);
[[nodiscard]] std::optional<std::uint64_t> from_hex(std::string_view);

}
