#include <LibCore/Json.h>

#include <LibCore/Utf8.h>

#include <algorithm>
#include <utility>

namespace GraniteField::Core {

using Json = nlohmann::json;

namespace {

/// The parser's messages quote the text, which may be a number of a megabyte.
constexpr std::size_t s_longest_message = 200;
/// Levels down to which unreadable parts are looked for. Each level parses the text once more.
constexpr int s_levels_of_parts = 8;
/// Unreadable parts that are looked for. Each one costs an exception.
constexpr int s_max_unreadable_parts = 1'000;

/// Reads the structure of a JSON text: brackets, quotes and separators. Scalars are not checked.
class JsonScanner {
public:
    explicit JsonScanner(std::string_view text)
        : m_text(text)
    {
    }

    /// The character at the present place, which is behind white space; 0 at the end of the text.
    [[nodiscard]] char peek()
    {
        constexpr std::string_view white_space = " \t\r\n";
        m_place = std::min(m_text.find_first_not_of(white_space, m_place), m_text.size());
        return m_place < m_text.size() ? m_text[m_place] : '\0';
    }

    [[nodiscard]] bool skip_if(char character)
    {
        if (peek() != character)
            return false;
        ++m_place;
        return true;
    }

    void expect(char character)
    {
        if (!skip_if(character))
            fail();
    }

    /// Skips a text in quotes and returns it with them.
    std::string_view take_quoted()
    {
        auto const begin = m_place;
        expect('"');
        while (m_place < m_text.size() && m_text[m_place] != '"')
            m_place += m_text[m_place] == '\\' ? 2 : 1;
        if (m_place >= m_text.size())
            fail();
        ++m_place;
        return m_text.substr(begin, m_place - begin);
    }

    /// Skips a value and returns it.
    std::string_view take_value()
    {
        auto const first = peek();
        auto const begin = m_place;
        if (first == '"')
            return take_quoted();
        if (first == '{' || first == '[')
            skip_container();
        else
            m_place = std::min(m_text.find_first_of(" \t\r\n,]}", m_place), m_text.size());
        if (m_place == begin)
            fail();
        return m_text.substr(begin, m_place - begin);
    }

    void expect_end()
    {
        if (peek() != '\0' || m_place < m_text.size())
            fail();
    }

private:
    void skip_container()
    {
        int depth = 0;
        do {
            m_place = m_text.find_first_of("\"[]{}", m_place);
            if (m_place >= m_text.size())
                fail();
            auto const character = m_text[m_place];
            if (character == '"') {
                take_quoted();
                continue;
            }
            ++m_place;
            depth += character == '[' || character == '{' ? 1 : -1;
        } while (depth > 0);
    }

    [[noreturn]] void fail() const { throw JsonError("brackets, quotes or separators don't match", m_place); }

    std::string_view m_text;
    std::size_t m_place {0};
};

bool nests_too_deeply(std::string_view text)
{
    std::size_t depth = 0;
    bool is_quoted = false;
    for (std::size_t place = 0; place < text.size(); ++place) {
        auto const character = text[place];
        if (is_quoted) {
            if (character == '\\')
                ++place;
            else if (character == '"')
                is_quoted = false;
        } else if (character == '"') {
            is_quoted = true;
        } else if (character == '[' || character == '{') {
            if (++depth > s_max_json_nesting)
                return true;
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

std::string shorten(std::string_view message)
{
    return message.size() <= s_longest_message ? std::string(message)
                                               : replace_invalid_utf8(message.substr(0, s_longest_message)) + "...";
}

/// The name without quotes; one that can't be parsed as it stands in the text.
std::string parse_name(std::string_view quoted)
{
    auto const text = quoted.substr(1, quoted.size() - 2);
    if (text.find('\\') == std::string_view::npos)
        return std::string(text);
    try {
        return parse_json(quoted).get<std::string>();
    } catch (JsonError const&) {
        return std::string(text);
    }
}

/// Parses a text in parts where it can't be parsed as a whole.
class PartsParser {
public:
    [[nodiscard]] Json parse(std::string_view text, int levels)
    {
        if (m_unreadable_parts >= s_max_unreadable_parts)
            return Json(Json::value_t::discarded);
        try {
            return parse_json(text);
        } catch (JsonError const& error) {
            if (m_problem.empty())
                m_problem = error.what();
        }
        auto const first = JsonScanner(text).peek();
        if (levels == 0 || (first != '{' && first != '['))
            return discard();
        try {
            return first == '{' ? parse_members(text, levels - 1) : parse_elements(text, levels - 1);
        } catch (JsonError const&) {
            return discard();
        }
    }

    /// Why the first unreadable part can't be parsed.
    [[nodiscard]] std::string const& problem() const { return m_problem; }

private:
    [[nodiscard]] Json discard()
    {
        ++m_unreadable_parts;
        return Json(Json::value_t::discarded);
    }

    [[nodiscard]] Json parse_members(std::string_view text, int levels)
    {
        auto members = Json::object();
        for (auto const& member : split_json_object(text))
            members[member.name] = parse(member.value, levels);
        return members;
    }

    [[nodiscard]] Json parse_elements(std::string_view text, int levels)
    {
        auto elements = Json::array();
        for (auto const element : split_json_array(text))
            elements.push_back(parse(element, levels));
        return elements;
    }

    std::string m_problem;
    int m_unreadable_parts {0};
};

}

Json parse_json(std::string_view text)
{
    if (nests_too_deeply(text))
        throw JsonError("the text nests too deeply", 0);
    try {
        return Json::parse(text);
    } catch (Json::parse_error const& error) {
        throw JsonError(shorten(error.what()), error.byte);
    } catch (Json::exception const& error) {
        throw JsonError(shorten(error.what()), 0);
    }
}

ReadableJson parse_readable_json(std::string_view text)
{
    try {
        return {parse_json(text), {}};
    } catch (JsonError const&) {
        PartsParser parser;
        auto value = parser.parse(replace_invalid_utf8(text), s_levels_of_parts);
        return {std::move(value), parser.problem()};
    }
}

std::vector<JsonMember> split_json_object(std::string_view text)
{
    JsonScanner scanner(text);
    std::vector<JsonMember> members;
    scanner.expect('{');
    if (!scanner.skip_if('}')) {
        do {
            static_cast<void>(scanner.peek());
            auto name = parse_name(scanner.take_quoted());
            scanner.expect(':');
            members.push_back({std::move(name), scanner.take_value()});
        } while (scanner.skip_if(','));
        scanner.expect('}');
    }
    scanner.expect_end();
    return members;
}

std::vector<std::string_view> split_json_array(std::string_view text)
{
    JsonScanner scanner(text);
    std::vector<std::string_view> elements;
    scanner.expect('[');
    if (!scanner.skip_if(']')) {
        do {
            elements.push_back(scanner.take_value());
        } while (scanner.skip_if(','));
        scanner.expect(']');
    }
    scanner.expect_end();
    return elements;
}

}
