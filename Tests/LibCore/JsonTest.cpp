// Guards against texts of other writers that end a process or hide what stands beside them.
#include <LibCore/Json.h>

#include <chrono>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Core {

using Json = nlohmann::json;

namespace {

std::string nested_arrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

}

TEST(ParseJson, RejectsDeepNestingBeforeItBuildsATree)
{
    EXPECT_NO_THROW(static_cast<void>(parse_json(nested_arrays(s_max_json_nesting))));
    EXPECT_THROW(static_cast<void>(parse_json(nested_arrays(s_max_json_nesting + 1))), JsonError);
    EXPECT_THROW(static_cast<void>(parse_json(nested_arrays(500'000))), JsonError);
    EXPECT_THROW(static_cast<void>(parse_json(std::string(1'000'000, '['))), JsonError);
    // Brackets within texts nest nothing.
    EXPECT_EQ(parse_json("\"" + std::string(1'000, '[') + "\\\"\"").get<std::string>().size(), 1'001U);
}

TEST(ParseJson, RejectsNumbersBeyondADoubleInAFewWords)
{
    for (auto const& text : {std::string("1e400"), "-" + std::string(100'000, '9')}) {
        try {
            static_cast<void>(parse_json(text));
            ADD_FAILURE() << text.substr(0, 10);
        } catch (JsonError const& error) {
            EXPECT_LT(std::string(error.what()).size(), 300U);
        }
    }
}

TEST(ParseReadableJson, DiscardsOnlyWhatCanNotBeParsed)
{
    auto const text = R"({"version": 3, "routes": [{"name": "a", "tries": 1e400}, {"name": "b", "odd": ["\ud800", 1]}],
        "deep": )"
        + nested_arrays(200'000) + "}";
    auto const readable = parse_readable_json(text);
    EXPECT_FALSE(readable.problem.empty());
    EXPECT_EQ(readable.value["version"], 3);
    EXPECT_EQ(readable.value["routes"][0]["name"], "a");
    EXPECT_TRUE(readable.value["routes"][0]["tries"].is_discarded());
    EXPECT_TRUE(readable.value["routes"][1]["odd"][0].is_discarded());
    EXPECT_EQ(readable.value["routes"][1]["odd"][1], 1);
    // A few outer levels are left of it.
    EXPECT_LT(readable.value["deep"].dump().size(), 100U);
    EXPECT_TRUE(parse_readable_json("{").value.is_discarded());
}

TEST(ParseReadableJson, BoundsTheSearchForUnreadableParts)
{
    constexpr std::size_t count = 100'000;
    std::string text = "[";
    for (std::size_t number = 0; number < count; ++number)
        text += "1e400,";
    text += "1]";
    auto const begun = std::chrono::steady_clock::now();
    EXPECT_EQ(parse_readable_json(text).value.size(), count + 1);
    EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds(1));
}

TEST(ParseReadableJson, KeepsTheOthersBesideANameThatIsNoText)
{
    auto const readable = parse_readable_json(R"({"version":3,"\ud800":1})");
    EXPECT_EQ(readable.value["version"], 3);
    EXPECT_FALSE(readable.problem.empty());
}

TEST(ParseReadableJson, ReplacesBytesThatAreNoText)
{
    auto const readable = parse_readable_json("{\"a\": \"x\xff\"}");
    EXPECT_EQ(readable.value["a"], "x?");
    EXPECT_TRUE(readable.problem.empty());
}

TEST(SplitJson, RejectsWhatIsNoContainer)
{
    for (auto const* text :
        {"", "1", "{", "}", "[1", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{\"a\":1}}", "{a:1}", "\"", "[\"\\"}) {
        EXPECT_THROW(static_cast<void>(split_json_object(text)), JsonError) << text;
        EXPECT_THROW(static_cast<void>(split_json_array(text)), JsonError) << text;
    }
}

RC_GTEST_PROP(SplitJson, FindsWhatTheParserFinds, (std::vector<std::string> const& texts))
{
    auto array = Json::array();
    auto object = Json::object();
    for (auto const& text : texts) {
        auto const parsed = Json::parse(text, nullptr, false);
        auto const sound = Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
        array.push_back(parsed.is_discarded() ? Json::parse(sound) : parsed);
        array.push_back({{"a", {1, "]"}}, {"b", array.back()}});
        object[Json::parse(sound).get<std::string>()] = array.back();
    }
    for (int const indent : {-1, 2}) {
        auto found = Json::array();
        auto const text = array.dump(indent);
        for (auto const element : split_json_array(text))
            found.push_back(parse_json(element));
        RC_ASSERT(found == array);
        auto members = Json::object();
        auto const object_text = object.dump(indent);
        for (auto const& member : split_json_object(object_text))
            members[member.name] = parse_json(member.value);
        RC_ASSERT(members == object);
    }
}

}
