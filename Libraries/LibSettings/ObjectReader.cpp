#include <LibSettings/ObjectReader.h>

#include <LibCore/Text.h>

namespace GraniteField::Settings {

using Json = nlohmann::json;

ObjectReader::ObjectReader(Json const& object, std::string place, Core::Findings& findings)
    : m_object(object)
    , m_place(std::move(place))
    , m_findings(findings)
{
    if (!m_object.is_object())
        m_findings.add(m_place.empty() ? "/" : m_place, "must be an object");
}

Json const* ObjectReader::member(std::string const& key, Presence presence)
{
    m_asked.insert(key);
    if (!m_object.is_object())
        return nullptr;
    auto const found = m_object.find(key);
    if (found != m_object.end())
        return &*found;
    if (presence == Presence::Required)
        m_findings.add(place_of(key), "is missing");
    return nullptr;
}

std::optional<std::string> ObjectReader::text_at(std::string const& key, Presence presence)
{
    auto const* value = member(key, presence);
    if (value == nullptr)
        return std::nullopt;
    if (!value->is_string()) {
        m_findings.add(place_of(key), "must be a string");
        return std::nullopt;
    }
    return value->get<std::string>();
}

std::optional<std::uint64_t> ObjectReader::number_at(std::string const& key, std::uint64_t least, std::uint64_t most)
{
    auto const* value = member(key);
    if (value == nullptr)
        return std::nullopt;
    bool const is_in_range
        = value->is_number_unsigned() && value->get<std::uint64_t>() >= least && value->get<std::uint64_t>() <= most;
    if (is_in_range)
        return value->get<std::uint64_t>();
    m_findings.add(
        place_of(key), "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return std::nullopt;
}

void ObjectReader::read(std::string const& key, std::string& target, Presence presence)
{
    auto const text = text_at(key, presence);
    if (!text)
        return;
    if (text->empty())
        m_findings.add(place_of(key), "must not be empty");
    target = *text;
}

void ObjectReader::read(
    std::string const& key, Core::Milliseconds& target, Core::Milliseconds least, Core::Milliseconds most)
{
    auto const text = text_at(key, Presence::Optional);
    if (!text)
        return;
    auto const duration = Core::parse_duration(*text);
    if (!duration)
        m_findings.add(place_of(key), "'" + *text + "' is not a duration such as 250ms or 3s");
    else if (*duration < least || *duration > most)
        m_findings.add(
            place_of(key), "must be from " + Core::format_duration(least) + " to " + Core::format_duration(most));
    else
        target = *duration;
}

void ObjectReader::read(std::string const& key, Core::Address& target, Presence presence)
{
    auto const text = text_at(key, presence);
    if (!text)
        return;
    auto const address = Core::Address::from_string(*text);
    if (address)
        target = *address;
    else
        m_findings.add(place_of(key), "'" + *text + "' is not an address by IP number such as 127.0.0.1:7000");
}

void ObjectReader::read(std::string const& key, bool& target)
{
    auto const* value = member(key);
    if (value == nullptr)
        return;
    if (value->is_boolean())
        target = value->get<bool>();
    else
        m_findings.add(place_of(key), "must be true or false");
}

void ObjectReader::read(std::string const& key, double& target, double least, double most)
{
    auto const* value = member(key);
    if (value == nullptr)
        return;
    bool const is_in_range = value->is_number() && value->get<double>() >= least && value->get<double>() <= most;
    if (is_in_range)
        target = value->get<double>();
    else
        m_findings.add(place_of(key), Core::concat("must be a number from ", least, " to ", most));
}

void ObjectReader::read_texts(std::string const& key, std::map<std::string, std::string>& target)
{
    auto const* object = member(key);
    // A template writes null where the platform gives nothing.
    if (object == nullptr || object->is_null())
        return;
    if (!object->is_object()) {
        m_findings.add(place_of(key), "must be an object whose members are texts");
        return;
    }
    for (auto const& [name, value] : object->items()) {
        if (value.is_string())
            target[name] = value.get<std::string>();
        else
            m_findings.add(place_of(key) + "/" + name, "must be a text");
    }
}

void ObjectReader::read_addresses(std::string const& key, std::vector<Core::Address>& target)
{
    auto const* list = member(key);
    if (list == nullptr)
        return;
    if (!list->is_array()) {
        m_findings.add(place_of(key), "must be a list of addresses");
        return;
    }
    target.clear();
    for (std::size_t index = 0; index < list->size(); ++index) {
        auto const& item = (*list)[index];
        auto const address = item.is_string() ? Core::Address::from_string(item.get<std::string>()) : std::nullopt;
        if (address)
            target.push_back(*address);
        else
            m_findings.add(
                place_of(key) + "/" + std::to_string(index), "is not an address by IP number such as 127.0.0.1:7000");
    }
}

void ObjectReader::finish()
{
    if (!m_object.is_object())
        return;
    for (auto const& [key, value] : m_object.items()) {
        if (!m_asked.contains(key))
            m_findings.add(place_of(key), "is not a known setting");
    }
}

}
