#pragma once

#include <LibCore/Text.h>

#include <string>
#include <vector>

namespace GraniteField::Testing {

/// An object that another writer may leave in the store.
struct OddObject {
    std::string name;
    /// The spec's text, which need not be JSON.
    std::string spec;
};

/// A text that nests so deeply.
[[nodiscard]] inline std::string nested(std::size_t depth, std::string const& begin, std::string const& end)
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level)
        text += begin;
    text += '0';
    for (std::size_t level = 0; level < depth; ++level)
        text += end;
    return text;
}

/// A server's entry with one odd field, which stands for the sound one if it has its name.
[[nodiscard]] inline std::string entry_with(std::string const& field, std::string const& value)
{
    return Core::concat(
        R"({"service":"svc","addr":"127.0.0.1:9","zone":"here","slots":8,"state":"ready",")", field, "\":", value, "}");
}

/// Entries of servers that can't be read, each with a name of its own.
[[nodiscard]] inline std::vector<OddObject> odd_entries()
{
    constexpr std::size_t array_depth = 200'000;
    constexpr std::size_t object_depth = 60'000;
    auto const arrays = nested(array_depth, "[", "]");
    auto const objects = nested(object_depth, "{\"a\":", "}");
    return {{"arrays", entry_with("more", arrays)}, {"arrays-for-slots", entry_with("slots", arrays)},
        {"objects", entry_with("more", objects)}, {"objects-for-version", entry_with("version", objects)},
        {"nothing-else", arrays}, {"huge-number", entry_with("more", "1e400")},
        {"huge-slots", entry_with("slots", "-1e400")}, {"long-number", entry_with("born", std::string(100'000, '9'))},
        {"half-a-pair", entry_with("zone", R"("\ud800")")}, {"port", entry_with("addr", R"("127.0.0.1:99999")")},
        {"megabyte", entry_with("zone", "\"" + std::string(1'000'000, 'z') + "\"")}};
}

}
