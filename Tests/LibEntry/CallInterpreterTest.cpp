#include <LibEntry/CallInterpreter.h>

#include <LibCore/Hashing.h>

#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Entry {

using namespace std::chrono_literals;

namespace {

Table::Table make_table()
{
    using Table::SheetName;
    return Table::Table().with({
        {{SheetName::Services, "llm", "kind"}, "model"},
        {{SheetName::Services, "llm", "model"}, "granite"},
        {{SheetName::Services, "pay", "kind"}, "plain"},
        {{SheetName::Classes, "clerk", "tier"}, "1"},
        {{SheetName::Workspaces, "hrubec", "key-hash"}, Core::sha256_hex("secret")},
    });
}

RawCall make_raw_call(std::string target, std::string body)
{
    return {"POST", std::move(target), {{"authorization", "Bearer secret"}, {"granitefield-class", "clerk"}},
        std::move(body)};
}

std::string code_of(RawCall raw)
{
    auto const result = interpret_call(std::move(raw), make_table(), {1, 2}, {});
    auto const* error = std::get_if<ErrorAnswer>(&result);
    return error == nullptr ? "" : error->code;
}

std::string const s_body
    = R"({"model": "granite", "stream": true, "messages": [{"role": "user", "content": "hello"}]})";

}

TEST(CallInterpreter, InterpretsACompletion)
{
    auto const result = interpret_call(make_raw_call("/v1/chat/completions", s_body), make_table(), {1, 2}, {});
    auto const& call = std::get<Call>(result);
    EXPECT_EQ(call.service, "llm");
    EXPECT_TRUE(call.is_stream);
    EXPECT_TRUE(call.is_repeatable);
    EXPECT_EQ(call.workspace.name, "hrubec");
    EXPECT_NE(call.prefix_hash, 0U);
}

TEST(CallInterpreter, InterpretsAPlainServiceWithItsPath)
{
    auto const result = interpret_call(make_raw_call("/services/pay/confirm/7?x=%20y", "{}"), make_table(), {1, 2}, {});
    auto const& call = std::get<Call>(result);
    EXPECT_EQ(call.path, "/confirm/7?x=%20y");
    EXPECT_FALSE(call.is_repeatable);
}

TEST(CallInterpreter, ReturnsTheErrorCodeOfAnInvalidRequest)
{
    EXPECT_EQ(code_of(make_raw_call("/v1/chat/completions", "{")), "bad_json");
    EXPECT_EQ(code_of(make_raw_call("/v1/chat/completions", "[]")), "bad_json");
    EXPECT_EQ(code_of(make_raw_call("/v1/chat/completions", "{}")), "bad_model");
    EXPECT_EQ(
        code_of(make_raw_call("/v1/chat/completions", R"({"model": "other", "messages": [1]})")), "unknown_model");
    EXPECT_EQ(code_of(make_raw_call("/services/llm/x", "")), "unknown_service");
    EXPECT_EQ(code_of(make_raw_call("/elsewhere", "")), "not_found");
    auto raw = make_raw_call("/services/pay/x", "");
    raw.headers["idempotency-key"] = "my-own-key";
    EXPECT_EQ(code_of(raw), "bad_ticket");
    raw = make_raw_call("/services/pay/x", "");
    raw.headers["granitefield-class"] = "nobody";
    EXPECT_EQ(code_of(raw), "unknown_class");
    raw.headers["authorization"] = "Bearer wrong";
    EXPECT_EQ(code_of(raw), "unknown_key");
    raw.headers.erase("authorization");
    EXPECT_EQ(code_of(raw), "missing_key");
    EXPECT_EQ(code_of(make_raw_call("/v1/chat/completions", std::string(100'000, '['))), "bad_json");
    EXPECT_EQ(code_of(make_raw_call("/services/pay/\xff", "")), "bad_encoding");
    raw = make_raw_call("/services/pay/x", "");
    raw.headers["content-type"] = "text/\xc3";
    EXPECT_EQ(code_of(raw), "bad_encoding");
    raw.headers["content-type"] = "text/\xc3\xa9";
    EXPECT_EQ(code_of(raw), "");
    raw.method = "G\xffT";
    EXPECT_EQ(code_of(raw), "bad_encoding");
}

RC_GTEST_PROP(CallInterpreter, AcceptsOrRejectsArbitraryInput,
    (std::string const& target, std::string const& body, std::string const& header))
{
    for (auto const* base : {"/v1/chat/completions", "/services/pay", "/v1/tickets", ""}) {
        auto raw = make_raw_call(base + target, body);
        raw.headers["traceparent"] = header;
        raw.headers["granitefield-repeatable"] = header;
        auto const result = interpret_call(raw, make_table(), {1, 2}, {});
        if (auto const* error = std::get_if<ErrorAnswer>(&result)) {
            RC_ASSERT(error->status >= 400 && error->status < 500);
            RC_ASSERT(nlohmann::json::accept(encode_error(*error, {1, 2})));
        }
    }
}

TEST(RetryAfter, RoundsUpToWholeSeconds)
{
    EXPECT_EQ(retry_after_seconds(1ms), 1);
    EXPECT_EQ(retry_after_seconds(1000ms), 1);
    EXPECT_EQ(retry_after_seconds(1001ms), 2);
}

}
