// What a caller sends arrives unchanged or is refused; nothing can be smuggled inside it.
#include "GatewayFixture.h"

#include <LibCore/Text.h>

namespace GraniteField::Testing {

namespace {

class RequestRules : public GatewayFixture {
protected:
    RequestRules()
    {
        m_settings.dialect.engine_control_fields = {"Order-Lease", "Order-Copy"};
        add_backend("i-1",
            [](auto& connection, auto const& request, auto) { connection.write(answer_to(request, 200, "fine")); });
        start();
    }

    /// The request as the backend server saw it.
    std::string seen(std::size_t index = 0) { return m_backends.front()->requests().at(index); }
};

struct BadCase {
    char const* name;
    char const* text;
    int status;
};

class BadRequests : public RequestRules, public ::testing::WithParamInterface<BadCase> { };

constexpr char const* s_smuggled = "0\r\n\r\nGET /plain/smuggled HTTP/1.1\r\nHost: host.test\r\n\r\n";

}

TEST_P(BadRequests, AreRefusedAndTheConnectionIsClosed)
{
    auto const caller = call(GetParam().text);
    auto const answer = caller->read_answer();
    EXPECT_EQ(answer.status, GetParam().status);
    EXPECT_TRUE(caller->is_closed_by_peer());
    EXPECT_EQ(m_backends.front()->count(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Cases, BadRequests,
    ::testing::Values(
        BadCase {"LengthBesideChunks",
            "POST /plain/ HTTP/1.1\r\nHost: host.test\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            "0\r\n\r\nGET /plain/smuggled HTTP/1.1\r\nHost: host.test\r\n\r\n",
            400},
        BadCase {"ChunksBesideLength",
            "POST /plain/ HTTP/1.1\r\nHost: host.test\r\nTransfer-Encoding: chunked\r\nContent-Length: "
            "4\r\n\r\n0\r\n\r\n",
            400},
        BadCase {"TwoLengths",
            "POST /plain/ HTTP/1.1\r\nHost: host.test\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
        BadCase {"SpaceBeforeColon",
            "POST /plain/ HTTP/1.1\r\nHost: host.test\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400},
        BadCase {"UnknownCoding",
            "POST /plain/ HTTP/1.1\r\nHost: host.test\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n", 400},
        BadCase {"TwoCodings",
            "POST /plain/ HTTP/1.1\r\nHost: host.test\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
        BadCase {"RepeatedCoding",
            "POST /plain/ HTTP/1.1\r\nHost: host.test\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"
            "\r\n0\r\n\r\n",
            400},
        BadCase {"ChunksInHttp10",
            "POST /plain/ HTTP/1.0\r\nHost: host.test\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
        BadCase {"FoldedLine", "GET /plain/ HTTP/1.1\r\nHost: host.test\r\nA: b\r\n c\r\n\r\n", 400},
        BadCase {"BareLineFeed", "GET /plain/ HTTP/1.1\nHost: host.test\n\n", 400},
        BadCase {"BareLineFeedInHead", "GET /plain/ HTTP/1.1\r\nHost: host.test\nA: b\r\n\r\n", 400},
        BadCase {"TwoHosts", "GET /plain/ HTTP/1.1\r\nHost: host.test\r\nHost: other.test\r\n\r\n", 400},
        BadCase {"NoHost", "GET /plain/ HTTP/1.1\r\n\r\n", 400},
        BadCase {"AbsoluteTarget", "GET http://host.test/plain/ HTTP/1.1\r\nHost: host.test\r\n\r\n", 400},
        BadCase {"NegativeLength", "POST /plain/ HTTP/1.1\r\nHost: host.test\r\nContent-Length: -1\r\n\r\n", 400},
        BadCase {"BadChunkSize",
            "POST /plain/ HTTP/1.1\r\nHost: host.test\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", 400},
        BadCase {"NoVersion", "GET /plain/\r\nHost: host.test\r\n\r\n", 400}),
    [](auto const& info) { return info.param.name; });

TEST_F(RequestRules, ANulInTheHeadIsRefused)
{
    using namespace std::string_literals;
    EXPECT_EQ(answer_of("GET /plain/ HTTP/1.1\r\nHost: host.test\r\nA: b\0c\r\n\r\n"s).status, 400);
    EXPECT_EQ(m_backends.front()->count(), 0U);
}

TEST_F(RequestRules, OrdersToEnginesReachNoServerOnAnyRoute)
{
    auto const orders = "Order-Lease: 1\r\norder-lease: 2\r\nORDER-COPY: 10.0.0.1:80/x\r\nOrder-Copy-Note: kept\r\n"
                        "Granitefield-Priority: 0\r\ngranitefield-priority: 1\r\n";
    std::size_t index = 0;
    for (auto const* target : {"/plain/x", "/safe/x", "/stream/x", "/resumable/x"}) {
        EXPECT_EQ(answer_of(request("POST", target, orders, "body")).status, 200) << target;
        ASSERT_EQ(m_backends.front()->count(), index + 1) << target;
        auto const text = seen(index++);
        EXPECT_FALSE(field_of(text, "Order-Lease")) << target;
        EXPECT_FALSE(field_of(text, "Order-Copy")) << target;
        EXPECT_FALSE(field_of(text, "Granitefield-Priority")) << target;
        EXPECT_EQ(field_of(text, "Order-Copy-Note"), "kept") << target;
    }
}

TEST_F(RequestRules, ASecondRequestIsItsOwn)
{
    auto const caller = call(request("GET", "/plain/a") + request("GET", "/plain/b"));
    EXPECT_EQ(caller->read_answer().body, "fine");
    EXPECT_EQ(caller->read_answer().body, "fine");
    EXPECT_TRUE(seen(0).starts_with("GET /plain/a HTTP/1.1\r\n"));
    EXPECT_TRUE(seen(1).starts_with("GET /plain/b HTTP/1.1\r\n"));
}

TEST_F(RequestRules, WhatLooksLikeARequestInABodyStaysABody)
{
    EXPECT_EQ(answer_of(request("POST", "/plain/x", "", s_smuggled)).status, 200);
    ASSERT_EQ(m_backends.front()->count(), 1U);
    EXPECT_EQ(body_of(seen()), s_smuggled);
}

TEST_F(RequestRules, PathAndQueryArriveByteForByte)
{
    EXPECT_EQ(answer_of(request("GET", "/plain/a%2fb//c/../d?x=1&y=%20+z")).status, 200);
    EXPECT_TRUE(seen().starts_with("GET /plain/a%2fb//c/../d?x=1&y=%20+z HTTP/1.1\r\n"));
}

TEST_F(RequestRules, ABodyInChunksArrivesWhole)
{
    auto const text = request("POST", "/plain/x", "Transfer-Encoding: chunked\r\n")
        + "3\r\nabc\r\n4;ext=1\r\ndefg\r\n0\r\nTrailer: t\r\n\r\n";
    EXPECT_EQ(answer_of(text).status, 200);
    EXPECT_EQ(body_of(seen()), "abcdefg");
    EXPECT_EQ(field_of(seen(), "Content-Length"), "7");
    EXPECT_FALSE(field_of(seen(), "Trailer"));
}

TEST_F(RequestRules, ACallerThatAsksFirstIsInvitedToSendItsBody)
{
    auto const caller = call(request("POST", "/plain/x", "Expect: 100-continue\r\nContent-Length: 3\r\n"));
    ASSERT_TRUE(caller->has_received("HTTP/1.1 100 Continue\r\n\r\n"));
    caller->write("abc");
    EXPECT_EQ(caller->read_answer().body, "fine");
    EXPECT_EQ(body_of(seen()), "abc");
    EXPECT_FALSE(field_of(seen(), "Expect"));
}

TEST_F(RequestRules, FieldsPassButThoseOfTheConnection)
{
    auto const fields = "X-Own: kept\r\nConnection: x-hop, keep-alive\r\nX-Hop: dropped\r\nTE: trailers\r\n"
                        "Granitefield-Expect-Instance: forged\r\nGranitefield-Workspace: forged\r\n";
    EXPECT_EQ(answer_of(request("GET", "/plain/", fields)).status, 200);
    EXPECT_EQ(field_of(seen(), "X-Own"), "kept");
    EXPECT_FALSE(field_of(seen(), "X-Hop"));
    EXPECT_FALSE(field_of(seen(), "TE"));
    EXPECT_EQ(field_of(seen(), "Granitefield-Expect-Instance"), "i-1");
    EXPECT_FALSE(field_of(seen(), "Granitefield-Workspace"));
    EXPECT_EQ(field_of(seen(), "Granitefield-Request"), "r-1");
    EXPECT_TRUE(field_of(seen(), "Granitefield-Remaining-Ms"));
}

TEST_F(RequestRules, TheKeyNamesTheWorkspaceAndIsShownToNobody)
{
    auto const fields = Core::concat("Authorization: Bearer ", s_key,
        "\r\nGranitefield-Workspace: other\r\nGranitefield-Prompt-Parts: a:10,b:5\r\n");
    EXPECT_EQ(answer_of(request("GET", "/keyed/", fields)).status, 200);
    EXPECT_EQ(field_of(seen(), "Granitefield-Workspace"), "ws");
    EXPECT_FALSE(field_of(seen(), "Authorization"));
    EXPECT_EQ(seen().find(s_key), std::string::npos);
    // The workspace's own tier, 1, takes the place of the class's, 2, which orders within: of ten ranks over two tiers
    // it is the second. Without a workspace the class's tier counts.
    EXPECT_EQ(field_of(seen(), "Granitefield-Priority"), "1");
    EXPECT_EQ(answer_of(request("GET", "/plain/", "Granitefield-Prompt-Parts: a:10,b:5\r\n")).status, 200);
    EXPECT_EQ(field_of(seen(1), "Granitefield-Priority"), "6");
}

TEST_F(RequestRules, UnknownKeysAndRoutesAreRefused)
{
    EXPECT_EQ(answer_of(request("GET", "/keyed/", "Authorization: Bearer other\r\n")).status, 401);
    EXPECT_EQ(answer_of(request("GET", "/keyed/")).status, 401);
    EXPECT_EQ(answer_of(request("GET", "/nowhere/")).status, 404);
    EXPECT_EQ(m_backends.front()->count(), 0U);
}

TEST_F(RequestRules, LimitsOfTheTableHold)
{
    m_change.push_back({{Table::SheetName::Limits, "callers", "head-bytes"}, "512"});
    m_change.push_back({{Table::SheetName::Limits, "callers", "body-bytes"}, "8"});
    auto table = Table::Table().with(m_change);
    table.set_version(Core::TableVersion(2));
    m_table.offer(std::move(table));
    m_gateway->wake();
    // An answer by the new table says that the loop has it.
    EXPECT_EQ(answer_of(request("GET", "/plain/")).status, 200);
    EXPECT_EQ(answer_of(request("POST", "/plain/", "", "12345678")).status, 200);
    EXPECT_EQ(answer_of(request("POST", "/plain/", "", "123456789")).status, 413);
    EXPECT_EQ(answer_of(request("GET", "/plain/", "X: " + std::string(600, 'x') + "\r\n")).status, 431);
}

TEST_F(RequestRules, AnAnswerPassesUnchanged)
{
    auto const answer = answer_of(request("GET", "/plain/"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, "fine");
    EXPECT_EQ(field_of(answer.head, "Granitefield-Answer"), "sig-1");
    EXPECT_EQ(field_of(answer.head, "Granitefield-Request"), "r-1");
}

}
