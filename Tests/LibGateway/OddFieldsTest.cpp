// Guards against header values of callers and servers that no number of the gateway can hold.
#include "GatewayFixture.h"

#include <LibCore/Text.h>

#include <random>

namespace GraniteField::Testing {

namespace {

constexpr std::array s_odd_values {"", " ", "0", "-1", "-0", "+1", "1e400", "-1e400", "1e308", "1e30", "1e-400", "nan",
    "-nan", "inf", "-inf", "0x10", "1.5", ".", "1,2", "1;2", "18446744073709551615", "18446744073709551616",
    "9223372036854775807", "4294967295", "4294967296", "99999999999999999999999999", "\xff\xfe", "a:b,c:d", ":", ",",
    "a:4294967295,b:4294967295", "a:18446744073709551615", "a:-1", "1.18446744073709551616"};

class OddFields : public GatewayFixture {
protected:
    [[nodiscard]] std::string_view draw() { return s_odd_values.at(m_random() % s_odd_values.size()); }

    [[nodiscard]] std::string odd_field(std::string_view name) { return Core::concat(name, ": ", draw(), "\r\n"); }

    [[nodiscard]] std::string odd_request(std::string const& target)
    {
        std::string fields;
        for (auto const* name : {"Granitefield-Remaining-Ms", "Granitefield-Tokens", "Granitefield-Prompt-Parts",
                 "Last-Event-ID", "Keep-Alive", "Granitefield-Resumes"}) {
            if (m_random() % 2 == 0)
                fields += odd_field(name);
        }
        return request("POST", target, fields, "ask");
    }

    std::mt19937 m_random {20261205};
};

constexpr int s_rounds = 400;

}

TEST_F(OddFields, OfCallersDoNotKeepTheGatewayFromServing)
{
    add_backend("i-1", [](auto& connection, auto const& text, auto) {
        connection.write(text.starts_with("POST /resumable/") ? stream_head_to(text) + chunk(event(1)) + "0\r\n\r\n"
                                                              : answer_to(text, 200, "fine"));
    });
    start();
    for (int round = 0; round < s_rounds; ++round) {
        for (auto const* target : {"/safe/", "/resumable/"}) {
            auto const answer = answer_of(odd_request(target));
            EXPECT_TRUE(answer.is_whole);
            EXPECT_GE(answer.status, 200);
        }
    }
    EXPECT_EQ(answer_of(request("GET", "/safe/")).body, "fine");
    EXPECT_FALSE(m_gateway->status().empty());
}

TEST_F(OddFields, OfServersDoNotKeepTheGatewayFromServing)
{
    std::atomic<bool> is_odd {true};
    add_backend("i-1", [&](auto& connection, auto const& text, auto) {
        if (!is_odd)
            return connection.write(answer_to(text, 200, "fine"));
        auto head = Core::concat("HTTP/1.1 ", m_random() % 2 == 0 ? 503 : 200,
            " X\r\nGranitefield-Request: ", field_of(text, "Granitefield-Request").value_or(""),
            "\r\nGranitefield-Answer: sig-1\r\n");
        for (auto const* name : {"Granitefield-Not-Run", "Content-Length", "Keep-Alive", "Transfer-Encoding"}) {
            if (m_random() % 3 == 0)
                head += odd_field(name);
        }
        connection.write(head + "\r\n" + "id: " + std::string(draw()) + "\ndata: x\n\n");
    });
    start();
    for (int round = 0; round < s_rounds; ++round) {
        auto const answer = answer_of(odd_request("/safe/"));
        EXPECT_TRUE(answer.is_whole || answer.status == 200);
    }
    EXPECT_FALSE(m_gateway->status().empty());
}

TEST_F(OddFields, OfServersInRetryAfterDoNotKeepTheGatewayFromServing)
{
    add_backend("i-1", [this](auto& connection, auto const& text, auto) {
        auto const refusal = refusal_to(text, 503);
        connection.write(refusal.substr(0, refusal.size() - 2) + odd_field("Retry-After") + "\r\n");
    });
    start();
    for (int round = 0; round < s_rounds / 4; ++round) {
        auto const answer = answer_of(request("GET", "/plain/"));
        EXPECT_TRUE(answer.is_whole);
        EXPECT_EQ(answer.status, 503);
    }
    EXPECT_FALSE(m_gateway->status().empty());
}

}
