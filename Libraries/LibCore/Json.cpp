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

std::string parse_name(std::string_view quoted)
{
    if (quoted.find('\\') == std::string_view::npos)
        return std::string(quoted.substr(1, quoted.size() - 2));
    return parse_json(quoted).get<std::string>();
}

Json parse_parts(std::string_view text, std::string& problem, int levels)
{
    try {
        return parse_json(text);
    } catch (JsonError const& error) {
        if (problem.empty())
            problem = error.what();
    }
    auto const first = JsonScanner(text).peek();
    bool const is_container = first == '{' || first == '[';
    if (levels == 0 || !is_container)
        return Json(Json::value_t::discarded);
    try {
        auto parts = first == '{' ? Json::object() : Json::array();
        if (first == '{') {
            for (auto const& member : split_json_object(text))
                parts[member.name] = parse_parts(member.value, problem, levels - 1);
        } else {
            for (auto const element : split_json_array(text))
                parts.push_back(parse_parts(element, problem, levels - 1));
        }
        return parts;
    } catch (JsonError const&) {
        return Json(Json::value_t::discarded);
    }
}

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
        ReadableJson readable;
        readable.value = parse_parts(replace_invalid_utf8(text), readable.problem, s_levels_of_parts);
        return readable;
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
