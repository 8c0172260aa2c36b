#pragma once

#include <LibCore/Address.h>
#include <LibCore/Findings.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace GraniteField::Settings {

enum class Presence {
    Optional,
    Required,
};

/// Reads the members of one JSON object with checks. What is wrong goes to the findings, with the JSON
/// pointer of its place, and the default stays. finish() reports the members that nobody asked for.
class ObjectReader {
public:
    ObjectReader(nlohmann::json const& object, std::string place, Core::Findings& findings);

    void read(std::string const& key, std::string& target, Presence = Presence::Optional);
    void read(std::string const& key, Core::Milliseconds& target, Core::Milliseconds least, Core::Milliseconds most);
    void read(std::string const& key, Core::Address& target, Presence = Presence::Optional);
    void read(std::string const& key, bool& target);
    void read(std::string const& key, double& target, double least, double most);
    /// An object whose members are all texts; null for none.
    void read_texts(std::string const& key, std::map<std::string, std::string>& target);
    void read_addresses(std::string const& key, std::vector<Core::Address>& target);

    template <typename Integer>
    void read_number(std::string const& key, Integer& target, std::uint64_t least, std::uint64_t most)
    {
        if (auto const number = number_at(key, least, most))
            target = static_cast<Integer>(*number);
    }

    template <typename Enum>
    void read_choice(std::string const& key, Enum& target,
        std::initializer_list<std::pair<std::string_view, Enum>> choices, Presence presence = Presence::Optional)
    {
        auto const text = text_at(key, presence);
        if (!text)
            return;
        std::string allowed;
        for (auto const& [name, value] : choices) {
            if (name == *text) {
                target = value;
                return;
            }
            allowed += allowed.empty() ? std::string(name) : ", " + std::string(name);
        }
        m_findings.add(place_of(key), "'" + *text + "' is none of: " + allowed);
    }

    /// The member, or null when it is missing.
    [[nodiscard]] nlohmann::json const* member(std::string const& key, Presence = Presence::Optional);
    [[nodiscard]] std::string place_of(std::string const& key) const { return m_place + "/" + key; }
    void finish();

private:
    [[nodiscard]] std::optional<std::uint64_t> number_at(
        std::string const& key, std::uint64_t least, std::uint64_t most);
    [[nodiscard]] std::optional<std::string> text_at(std::string const& key, Presence);

    nlohmann::json const& m_object;
    std::string m_place;
    Core::Findings& m_findings;
    std::set<std::string> m_asked;
};

}
