// What a gateway may send again, and what the caller may be told: at most once, true refusals, whole answers.
#include "GatewayFixture.h"

#include <LibCore/Hashing.h>
#include <LibCore/Text.h>
#include <LibProtocol/ProtocolVersion.h>

#include <Peers.pb.h>

#include <array>
#include <atomic>
#include <future>
#include <thread>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>

namespace GraniteField::Testing {

namespace {

class AttemptRules : public GatewayFixture {
protected:
    FakeBackend::Script good()
    {
        return [](auto& connection, auto const& request, auto) { connection.write(answer_to(request, 200, "fine")); };
    }

    FakeBackend::Script resetting()
    {
        return [](auto& connection, auto const&, auto) { connection.reset(); };
    }

    /// Requests that reached any backend server.
    std::size_t arrivals() const
    {
        std::size_t sum = 0;
        for (auto const& backend : m_backends)
            sum += backend->count();
        return sum;
    }
};

}

TEST_F(AttemptRules, WhatMayHaveRunIsNotSentAgain)
{
    add_backend("i-1", resetting());
    add_backend("i-2", resetting());
    start();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_EQ(answer.status, 502);
    EXPECT_FALSE(field_of(answer.head, "Retry-After"));
    EXPECT_EQ(arrivals(), 1U);
}

TEST_F(AttemptRules, WhatIsRepeatableGoesElsewhereWithinItsTries)
{
    // Both reset the first request that they see.
    std::atomic<int> seen {0};
    auto const script = [&seen](auto& connection, auto const& text, auto) {
        if (seen++ == 0)
            return connection.reset();
        connection.write(answer_to(text, 200, "fine"));
    };
    add_backend("i-1", script);
    add_backend("i-2", script);
    start();
    EXPECT_EQ(answer_of(request("GET", "/safe/")).body, "fine");
    EXPECT_EQ(arrivals(), 2U);
    EXPECT_EQ(m_backends[0]->count(), 1U);
}

TEST_F(AttemptRules, TriesAreNotExceeded)
{
    for (int number = 0; number < 4; ++number)
        add_backend("i-" + std::to_string(number), resetting());
    start();
    EXPECT_EQ(answer_of(request("GET", "/safe/")).status, 502);
    EXPECT_EQ(arrivals(), 2U);
}

TEST_F(AttemptRules, ARefusalGoesElsewhereAlsoWhereNothingMayRunTwice)
{
    std::atomic<int> seen {0};
    auto const script = [&seen](auto& connection, auto const& text, auto) {
        connection.write(seen++ == 0 ? refusal_to(text, 503) : answer_to(text, 200, "fine"));
    };
    add_backend("i-1", script);
    add_backend("i-2", script);
    start();
    EXPECT_EQ(answer_of(request("POST", "/plain/", "", "pay")).body, "fine");
}

TEST_F(AttemptRules, WhenAllRefuseTheCallerIsToldWhenToComeBack)
{
    auto const script = [](auto& connection, auto const& text, auto) { connection.write(refusal_to(text, 421)); };
    add_backend("i-1", script);
    add_backend("i-2", script);
    start();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(field_of(answer.head, "Retry-After"));
    EXPECT_FALSE(field_of(answer.head, "Granitefield-Answer"));
}

TEST_F(AttemptRules, ARefusalWithoutItsMarkPromisesNothing)
{
    add_backend("i-1", [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 503, "")); });
    start();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_EQ(answer.status, 502);
    EXPECT_FALSE(field_of(answer.head, "Granitefield-Answer"));
    EXPECT_EQ(arrivals(), 1U);
}

TEST_F(AttemptRules, AFailureOfABackendServerPassesWithItsSignature)
{
    add_backend("i-1", [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 500, "no")); });
    start();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_EQ(answer.status, 500);
    EXPECT_EQ(answer.body, "no");
    EXPECT_EQ(field_of(answer.head, "Granitefield-Answer"), "sig-1");
}

struct SpoiledCase {
    char const* name;
    std::string (*make)(std::string const& request);
};

class SpoiledAnswers : public AttemptRules, public ::testing::WithParamInterface<SpoiledCase> { };

TEST_P(SpoiledAnswers, NeverReachACaller)
{
    add_backend("i-1", [](auto& connection, auto const& text, auto) { connection.write(GetParam().make(text)); });
    start();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(arrivals(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Cases, SpoiledAnswers,
    ::testing::Values(SpoiledCase {"AnotherRequests",
                          [](std::string const&) {
                              return answer_to(
                                  "GET / HTTP/1.1\r\nGranitefield-Request: other\r\n\r\n", 200, "not yours");
                          }},
        SpoiledCase {"Unsigned",
            [](std::string const&) {
                return std::string("HTTP/1.1 200 OK\r\nGranitefield-Request: r-1\r\nContent-Length: 2\r\n\r\nno");
            }},
        SpoiledCase {"Encoded",
            [](std::string const&) {
                return std::string("HTTP/1.1 200 OK\r\nGranitefield-Request: r-1\r\nGranitefield-Answer: s\r\n"
                                   "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno");
            }},
        SpoiledCase {"Short",
            [](std::string const&) {
                return std::string("HTTP/1.1 200 OK\r\nGranitefield-Request: r-1\r\nGranitefield-Answer: s\r\n"
                                   "Content-Length: 20\r\n\r\nno");
            }},
        SpoiledCase {"WrongStatusLine", [](std::string const&) { return std::string("HTTP/9 whatever\r\n\r\nno"); }},
        SpoiledCase {"NoAnswerAtAll", [](std::string const&) { return std::string(); }},
        SpoiledCase {"UnfinishedChunks",
            [](std::string const&) {
                return std::string("HTTP/1.1 200 OK\r\nGranitefield-Request: r-1\r\nGranitefield-Answer: s\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n");
            }}),
    [](auto const& info) { return info.param.name; });

TEST_F(AttemptRules, AnAnswerWithoutALengthEndsWithItsConnection)
{
    add_backend("i-1", [](auto& connection, auto const&, auto) {
        connection.write("HTTP/1.1 200 OK\r\nGranitefield-Request: r-1\r\nGranitefield-Answer: s\r\n\r\nall of it");
    });
    start();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, "all of it");
}

TEST_F(AttemptRules, AnAnswerWithoutALengthThatIsResetIsNotWhole)
{
    std::promise<void> may_reset;
    add_backend("i-1", [&](auto& connection, auto const& text, auto) {
        connection.write("HTTP/1.1 200 OK\r\nGranitefield-Request: r-1\r\nGranitefield-Answer: s\r\n"
                         "Content-Type: text/event-stream\r\n\r\n"
            + event(1));
        static_cast<void>(text);
        may_reset.get_future().wait();
        connection.reset();
    });
    start();
    auto const caller = call(request("POST", "/stream/", "", "ask"));
    ASSERT_TRUE(caller->read_body_bytes(event(1).size()));
    may_reset.set_value();
    EXPECT_FALSE(caller->read_answer().is_whole);
}

TEST_F(AttemptRules, AnEarlyAnswerCounts)
{
    // It answers and closes without reading on; the caller's long body is behind the request's head.
    add_backend(
        "i-1", [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 200, "early")); });
    start();
    EXPECT_EQ(answer_of(request("POST", "/plain/", "", std::string(300'000, 'x'))).body, "early");
}

TEST_F(AttemptRules, EventsPassAtOnceAndWhole)
{
    std::promise<void> may_finish;
    add_backend("i-1", [&](auto& connection, auto const& text, auto) {
        connection.write(stream_head_to(text) + chunk(event(1) + "id: 2\nda"));
        may_finish.get_future().wait();
        connection.write(chunk("ta: token-2\n\n") + chunk(event(3)) + "0\r\n\r\n");
    });
    start();
    auto const caller = call(request("POST", "/stream/", "", "ask"));
    ASSERT_TRUE(caller->read_body_bytes(event(1).size()));
    may_finish.set_value();
    auto const answer = caller->read_answer();
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1) + event(2) + event(3));
}

TEST_F(AttemptRules, AStreamGoesOnElsewhereEventByEvent)
{
    std::atomic<int> seen {0};
    std::promise<void> may_break;
    auto const script = [&](auto& connection, auto const& text, auto) {
        connection.write(stream_head_to(text));
        if (seen++ == 0) {
            connection.write(chunk(event(1) + event(2) + "id: 3\ndata: half"));
            may_break.get_future().wait();
            return connection.reset();
        }
        EXPECT_EQ(field_of(text, "Last-Event-ID"), "2");
        // One event too early, as a server that counts otherwise might.
        connection.write(chunk(event(2) + event(3)) + chunk(event(4)) + "0\r\n\r\n");
    };
    add_backend("i-1", script);
    add_backend("i-2", script);
    start();
    auto const caller = call(request("POST", "/resumable/", "", "ask"));
    // A reset may overtake what was written before it, so the first events are waited for.
    ASSERT_TRUE(caller->read_body_bytes(event(1).size() + event(2).size()));
    may_break.set_value();
    auto const answer = caller->read_answer();
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1) + event(2) + event(3) + event(4));
    EXPECT_EQ(arrivals(), 2U);
}

TEST_F(AttemptRules, AStreamThatMayNotGoOnIsVisiblyCut)
{
    std::promise<void> may_break;
    auto const script = [&](auto& connection, auto const& text, auto) {
        connection.write(stream_head_to(text) + chunk(event(1)));
        may_break.get_future().wait();
    };
    add_backend("i-1", script);
    add_backend("i-2", script);
    start();
    auto const caller = call(request("POST", "/stream/", "", "ask"));
    ASSERT_TRUE(caller->read_body_bytes(event(1).size()));
    may_break.set_value();
    auto const answer = caller->read_answer();
    EXPECT_FALSE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1));
    EXPECT_EQ(arrivals(), 1U);
}

TEST_F(AttemptRules, WhenTheCallerLeavesItsRunEnds)
{
    std::promise<bool> is_closed;
    add_backend("i-1", [&](auto& connection, auto const& text, auto) {
        connection.write(stream_head_to(text) + chunk(event(1)));
        is_closed.set_value(connection.wait_until_closed());
    });
    start();
    auto const caller = call(request("POST", "/resumable/", "", "ask"));
    ASSERT_TRUE(caller->read_body_bytes(event(1).size()));
    caller->close();
    EXPECT_TRUE(is_closed.get_future().get());
    EXPECT_EQ(arrivals(), 1U);
}

TEST_F(AttemptRules, ARequestHasItsAnswerByItsTimeLimit)
{
    add_route("brief", {{"path-prefix", "/brief/"}, {"time-limit", "200ms"}});
    std::promise<bool> is_closed;
    add_backend(
        "i-1", [&](auto& connection, auto const&, auto) { is_closed.set_value(connection.wait_until_closed()); });
    start();
    auto const begun = Core::monotonic_now();
    auto const answer = answer_of(request("POST", "/brief/", "", "pay"));
    EXPECT_EQ(answer.status, 504);
    EXPECT_GE(Core::elapsed(begun, Core::monotonic_now()).count(), 200);
    // The run is ended as well.
    EXPECT_TRUE(is_closed.get_future().get());
}

TEST_F(AttemptRules, TheCallersOwnTimeGoesBeforeTheRoutes)
{
    add_backend("i-1", good());
    start();
    EXPECT_EQ(answer_of(request("GET", "/plain/", "Granitefield-Remaining-Ms: 900\r\n")).status, 200);
    auto const remaining = std::stoi(*field_of(m_backends[0]->requests().at(0), "Granitefield-Remaining-Ms"));
    EXPECT_LE(remaining, 900);
    EXPECT_GT(remaining, 0);
}

TEST_F(AttemptRules, AServerThatTakesNoConnectionIsPassedOver)
{
    FullListener const full;
    m_settings.runs.connect_limit = Core::Milliseconds(100);
    m_servers_list.servers.push_back(full.entry("i-0"));
    add_backend("i-1", good());
    start();
    for (int round = 0; round < 4; ++round)
        EXPECT_EQ(answer_of(request("POST", "/plain/", "", "pay")).status, 200);
    EXPECT_EQ(arrivals(), 4U);
}

TEST_F(AttemptRules, NobodyIsRefusedWhileAServerServesAfterAQuarterOfThemDied)
{
    constexpr std::size_t count = 40;
    constexpr std::size_t dead = count / 4;
    for (std::size_t number = 0; number < count; ++number)
        add_backend(Core::concat("i-", number + 10),
            [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 200, "fine")); });
    start();
    // They are in the list still, before all others in its order, and have nothing open.
    m_backends.erase(m_backends.begin(), m_backends.begin() + dead);
    constexpr unsigned requests = 200;
    for (unsigned number = 0; number < requests; ++number)
        ASSERT_EQ(answer_of(request("POST", "/plain/", "", "pay")).status, 200) << number;
    EXPECT_EQ(arrivals(), requests);
    // Each dead one is asked once, and again after the time for which it is left alone.
    EXPECT_GE(counter("granitefield_gateway_unreachable_total"), dead);
    EXPECT_LE(counter("granitefield_gateway_unreachable_total"), dead * 3);
}

TEST_F(AttemptRules, WhatWaitsAtAServerThatOthersFoundDeadGoesElsewhere)
{
    using Udp = boost::asio::ip::udp;
    boost::asio::io_context loop;
    Udp::socket relay(loop, Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    m_membership.set_load_members({{"127.0.0.1:1", "here", 100, 1},
        {{Core::concat("127.0.0.1:", relay.local_endpoint().port()), "here", 500, 2}}});
    m_settings.load_address = *Core::Address::from_string("127.0.0.1:0");
    // Silence alone would never end it.
    m_settings.runs.stall_least_part = 100;
    std::atomic<int> seen {0};
    auto const script = [&seen](auto& connection, auto const& text, auto) {
        if (seen++ > 0)
            return connection.write(answer_to(text, 200, "fine"));
        static_cast<void>(connection.wait_until_closed());
    };
    add_backend("i-1", script);
    add_backend("i-2", script);
    start();
    std::array<char, 4096> buffer {};
    Udp::endpoint gateway;
    granitefield::protocol::LoadDatagram report;
    ASSERT_TRUE(report.ParseFromArray(
        buffer.data(), static_cast<int>(relay.receive_from(boost::asio::buffer(buffer), gateway))));
    auto const caller = call(request("GET", "/safe/"));
    while (arrivals() == 0)
        std::this_thread::yield();
    granitefield::protocol::LoadDatagram datagram;
    datagram.set_protocol_version(Protocol::s_protocol_version);
    auto& part = *datagram.add_relayed();
    part.set_relay(9);
    part.set_sequence(1);
    part.add_counted()->set_gateway(report.report().sender());
    part.add_suspected(Core::hash_bytes(m_backends[0]->count() == 1 ? "i-1" : "i-2"));
    relay.send_to(boost::asio::buffer(datagram.SerializeAsString()), gateway);
    EXPECT_EQ(caller->read_answer().body, "fine");
    EXPECT_EQ(arrivals(), 2U);
}

TEST_F(AttemptRules, WhatWasGivenUpBeforeItWasSentIsClosed)
{
    // The connection would come up after the request was refused as not run; it must not send it then.
    FullListener const full;
    add_route("brief", {{"path-prefix", "/brief/"}, {"time-limit", "100ms"}});
    m_settings.runs.connect_limit = Core::Milliseconds(5'000);
    m_servers_list.servers.push_back(full.entry("i-0"));
    start();
    auto const answer = answer_of(request("POST", "/brief/", "", "pay"));
    EXPECT_EQ(answer.status, 503);
    auto const status = nlohmann::json::parse(m_gateway->status());
    EXPECT_EQ(status["backend-servers"][0]["open"], 0);
}

TEST_F(AttemptRules, WithoutAnyServerTheRefusalIsTrueAndQuick)
{
    start();
    auto const begun = Core::monotonic_now();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(field_of(answer.head, "Retry-After"));
    // A quarter of the target of a second, and a tick of the loop.
    EXPECT_LT(Core::elapsed(begun, Core::monotonic_now()).count(), 900);
}

TEST_F(AttemptRules, WhatComesBeforeTheFirstTableWaitsForItAShortTime)
{
    add_backend(
        "i-1", [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 200, "fine")); });
    start_without_table();
    auto const early = call(request("POST", "/plain/"));
    auto const gone = call(request("POST", "/plain/"));
    gone->close();
    // Whoever has little time is told early enough to go elsewhere.
    auto const begun = Core::monotonic_now();
    auto const refusal = answer_of(request("POST", "/plain/", "Granitefield-Remaining-Ms: 200\r\n"));
    EXPECT_EQ(refusal.status, 503);
    EXPECT_TRUE(field_of(refusal.head, "Retry-After"));
    EXPECT_LT(Core::elapsed(begun, Core::monotonic_now()), Gateway::DeferredRequests::s_max_wait);
    publish_table();
    publish_servers();
    EXPECT_EQ(early->read_answer().body, "fine");
    EXPECT_EQ(arrivals(), 1U);
}

TEST_F(AttemptRules, WhatComesBeforeTheFirstTableIsRefusedWhereThatDoesNotCome)
{
    start_without_table();
    auto const refusal = answer_of(request("POST", "/plain/"));
    EXPECT_EQ(refusal.status, 503);
    EXPECT_TRUE(field_of(refusal.head, "Retry-After"));
}

TEST_F(AttemptRules, AServerThatComesBackInTimeTakesWhatWaits)
{
    m_settings.runs.hold_limit = Core::Milliseconds(5'000);
    set(Table::SheetName::Classes, "plain", {{"first-token", "20s"}});
    start();
    auto const caller = call(request("POST", "/plain/", "", "pay"));
    add_backend("i-1", good());
    publish_servers();
    EXPECT_EQ(caller->read_answer().body, "fine");
}

TEST_F(AttemptRules, ALeavingServerGetsNothingNew)
{
    add_backend("i-1", good());
    add_backend("i-2", good());
    start();
    m_servers_list.servers[0].state = Table::BackendServerState::Leaving;
    publish_servers();
    for (int round = 0; round < 20; ++round)
        EXPECT_EQ(answer_of(request("GET", "/plain/")).status, 200);
    EXPECT_EQ(m_backends[0]->count(), 0U);
}

TEST_F(AttemptRules, ThePlannedStopFinishesWhatRunsAndRefusesWhatItWouldCut)
{
    m_settings.drain_notice = Core::Milliseconds(100);
    m_settings.drain_limit = Core::Milliseconds(3'000);
    std::promise<void> may_finish;
    add_backend("i-1", [&](auto& connection, auto const& text, auto index) {
        if (index > 0)
            return connection.write(answer_to(text, 200, "fine"));
        connection.write(stream_head_to(text) + chunk(event(1)));
        may_finish.get_future().wait();
        connection.write(chunk(event(2)) + "0\r\n\r\n");
    });
    start();
    auto const stream = call(request("POST", "/stream/", "", "ask"));
    ASSERT_TRUE(stream->read_body_bytes(event(1).size()));
    auto const waiting = call(request("GET", "/plain/"));
    EXPECT_EQ(waiting->read_answer().status, 200);
    m_gateway->drain();
    // The kept connection is closed when the notice is over; from then on a stream would be cut.
    EXPECT_TRUE(waiting->is_closed_by_peer());
    EXPECT_FALSE(m_gateway->is_ready());
    auto const refused = answer_of(request("POST", "/stream/", "", "ask"));
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(field_of(refused.head, "Retry-After"));
    EXPECT_EQ(field_of(refused.head, "Connection"), "close");
    may_finish.set_value();
    auto const answer = stream->read_answer();
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1) + event(2));
    m_gateway->wait_until_drained();
}

TEST_F(AttemptRules, TheRetryBudgetIsKept)
{
    m_settings.runs.retries = {0, 16, Core::Milliseconds(600'000)};
    add_backend("i-1", resetting());
    add_backend("i-2", resetting());
    start();
    constexpr std::size_t requests = 30;
    for (std::size_t number = 0; number < requests; ++number)
        EXPECT_EQ(answer_of(request("GET", "/safe/")).status, 502);
    // 16 for the fleet in ten minutes: an eighth of it, of which seven tenths are used, and one to begin with.
    EXPECT_LE(arrivals(), requests + 2);
    EXPECT_GT(counter("granitefield_gateway_retries_denied_total"), 0U);
}

TEST_F(AttemptRules, AFetchThatFailsDoesNotTakeTheNextTryWithIt)
{
    // The engines of this test break off what they are to fetch for: the one that they are to fetch from is gone.
    auto const script = [](FakeConnection& connection, std::string const& request, std::size_t) {
        if (field_of(request, "Granitefield-Prompt-Source"))
            return connection.reset();
        connection.write(stream_head_to(request) + chunk(event(1)) + "0\r\n\r\n");
    };
    m_settings.dialect.prompt_source = "Granitefield-Prompt-Source";
    // Its prompts wait longer than callers with a near target are let wait; here all of them are to be taken.
    set(Table::SheetName::Classes, "resumable", {{"first-token", "40s"}});
    for (auto const* instance : {"i-1", "i-2", "i-3"})
        add_backend(instance, script);
    start();
    auto const prompt = [](std::string const& own) {
        return request("POST", "/resumable/x", "Granitefield-Prompt-Parts: a:4000,b:4000," + own + ":100\r\n", "body");
    };
    // The first leaves its prompt at its home; a caller's own choice of a source counts for nothing.
    EXPECT_EQ(answer_of(prompt("o1")).status, 200);
    // A queue at the home sends the next ones elsewhere, to fetch from it.
    std::vector<std::unique_ptr<RawCaller>> callers;
    constexpr unsigned count = 40;
    for (unsigned number = 0; number < count; ++number)
        callers.push_back(call(prompt("p" + std::to_string(number) + ":20000,q")));
    for (auto const& caller : callers) {
        auto const answer = caller->read_answer();
        EXPECT_EQ(answer.status, 200);
        EXPECT_EQ(answer.body, event(1));
    }
    std::size_t fetches = 0;
    for (auto const& backend : m_backends) {
        for (auto const& seen : backend->requests())
            fetches += field_of(seen, "Granitefield-Prompt-Source") ? 1 : 0;
    }
    EXPECT_GT(fetches, 0U);
}

}
