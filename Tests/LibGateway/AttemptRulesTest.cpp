// Checks when a gateway may resend a request and what it may respond: a request that may have run is sent at most once,
// "not run" is true, and responses are forwarded complete or visibly aborted.
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
    FakeBackend::Script succeeding()
    {
        return [](auto& connection, auto const& request, auto) { connection.write(answer_to(request, 200, "fine")); };
    }

    FakeBackend::Script resetting()
    {
        return [](auto& connection, auto const&, auto) { connection.reset(); };
    }

    /// Number of requests that reached any backend server.
    std::size_t arrival_count() const
    {
        std::size_t sum = 0;
        for (auto const& backend : m_backends)
            sum += backend->count();
        return sum;
    }
};

}

TEST_F(AttemptRules, DoesNotResendARequestThatMayHaveRun)
{
    add_backend("i-1", resetting());
    add_backend("i-2", resetting());
    start();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_EQ(answer.status, 502);
    EXPECT_FALSE(field_of(answer.head, "Retry-After"));
    EXPECT_EQ(arrival_count(), 1U);
}

TEST_F(AttemptRules, RetriesRepeatableRequestsOnAnotherServer)
{
    // The server that receives the first request resets the connection.
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
    EXPECT_EQ(arrival_count(), 2U);
    EXPECT_EQ(m_backends[0]->count(), 1U);
}

TEST_F(AttemptRules, NeverExceedsTheNumberOfTries)
{
    for (int number = 0; number < 4; ++number)
        add_backend("i-" + std::to_string(number), resetting());
    start();
    EXPECT_EQ(answer_of(request("GET", "/safe/")).status, 502);
    EXPECT_EQ(arrival_count(), 2U);
}

TEST_F(AttemptRules, RetriesARefusedRequestThatIsNotRepeatable)
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

TEST_F(AttemptRules, SendsRetryAfterWhenAllServersRefuse)
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

TEST_F(AttemptRules, HidesARefusalWithoutTheNotRunField)
{
    add_backend("i-1", [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 503, "")); });
    start();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_EQ(answer.status, 502);
    EXPECT_FALSE(field_of(answer.head, "Granitefield-Answer"));
    EXPECT_EQ(arrival_count(), 1U);
}

TEST_F(AttemptRules, ForwardsASignedServerError)
{
    add_backend("i-1", [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 500, "no")); });
    start();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_EQ(answer.status, 500);
    EXPECT_EQ(answer.body, "no");
    EXPECT_EQ(field_of(answer.head, "Granitefield-Answer"), "sig-1");
}

struct InvalidResponseCase {
    char const* name;
    std::string (*make)(std::string const& request);
};

class InvalidResponses : public AttemptRules, public ::testing::WithParamInterface<InvalidResponseCase> { };

TEST_P(InvalidResponses, AreNotForwarded)
{
    add_backend("i-1", [](auto& connection, auto const& text, auto) { connection.write(GetParam().make(text)); });
    start();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(arrival_count(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Cases, InvalidResponses,
    ::testing::Values(InvalidResponseCase {"AnotherRequests",
                          [](std::string const&) {
                              return answer_to(
                                  "GET / HTTP/1.1\r\nGranitefield-Request: other\r\n\r\n", 200, "not yours");
                          }},
        InvalidResponseCase {"Unsigned",
            [](std::string const&) {
                return std::string("HTTP/1.1 200 OK\r\nGranitefield-Request: r-1\r\nContent-Length: 2\r\n\r\nno");
            }},
        InvalidResponseCase {"Encoded",
            [](std::string const&) {
                return std::string("HTTP/1.1 200 OK\r\nGranitefield-Request: r-1\r\nGranitefield-Answer: s\r\n"
                                   "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno");
            }},
        InvalidResponseCase {"Short",
            [](std::string const&) {
                return std::string("HTTP/1.1 200 OK\r\nGranitefield-Request: r-1\r\nGranitefield-Answer: s\r\n"
                                   "Content-Length: 20\r\n\r\nno");
            }},
        InvalidResponseCase {
            "WrongStatusLine", [](std::string const&) { return std::string("HTTP/9 whatever\r\n\r\nno"); }},
        InvalidResponseCase {"NoAnswerAtAll", [](std::string const&) { return std::string(); }},
        InvalidResponseCase {"UnfinishedChunks",
            [](std::string const&) {
                return std::string("HTTP/1.1 200 OK\r\nGranitefield-Request: r-1\r\nGranitefield-Answer: s\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n");
            }}),
    [](auto const& info) { return info.param.name; });

TEST_F(AttemptRules, AcceptsAResponseThatEndsWithItsConnection)
{
    add_backend("i-1", [](auto& connection, auto const&, auto) {
        connection.write("HTTP/1.1 200 OK\r\nGranitefield-Request: r-1\r\nGranitefield-Answer: s\r\n\r\nall of it");
    });
    start();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, "all of it");
}

TEST_F(AttemptRules, AbortsAResponseWithoutALengthAfterAReset)
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

TEST_F(AttemptRules, AcceptsAResponseBeforeTheRequestIsFullySent)
{
    // The server responds and closes after the head of the request, without reading the long body.
    add_backend(
        "i-1", [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 200, "early")); });
    start();
    EXPECT_EQ(answer_of(request("POST", "/plain/", "", std::string(300'000, 'x'))).body, "early");
}

TEST_F(AttemptRules, ForwardsEachEventAtOnceAndComplete)
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

TEST_F(AttemptRules, ResumesAStreamOnAnotherServerWithoutDuplicateEvents)
{
    std::atomic<int> seen {0};
    std::promise<void> may_reset;
    auto const script = [&](auto& connection, auto const& text, auto) {
        connection.write(stream_head_to(text));
        if (seen++ == 0) {
            connection.write(chunk(event(1) + event(2) + "id: 3\ndata: half"));
            may_reset.get_future().wait();
            return connection.reset();
        }
        EXPECT_EQ(field_of(text, "Last-Event-ID"), "2");
        // Starts one event too early, like a server that numbers its events differently.
        connection.write(chunk(event(2) + event(3)) + chunk(event(4)) + "0\r\n\r\n");
    };
    add_backend("i-1", script);
    add_backend("i-2", script);
    start();
    auto const caller = call(request("POST", "/resumable/", "", "ask"));
    // A reset may overtake bytes that were written before it, so this waits for the first events.
    ASSERT_TRUE(caller->read_body_bytes(event(1).size() + event(2).size()));
    may_reset.set_value();
    auto const answer = caller->read_answer();
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1) + event(2) + event(3) + event(4));
    EXPECT_EQ(arrival_count(), 2U);
}

TEST_F(AttemptRules, AbortsAStreamThatIsNotResumable)
{
    std::promise<void> may_close;
    auto const script = [&](auto& connection, auto const& text, auto) {
        connection.write(stream_head_to(text) + chunk(event(1)));
        may_close.get_future().wait();
    };
    add_backend("i-1", script);
    add_backend("i-2", script);
    start();
    auto const caller = call(request("POST", "/stream/", "", "ask"));
    ASSERT_TRUE(caller->read_body_bytes(event(1).size()));
    may_close.set_value();
    auto const answer = caller->read_answer();
    EXPECT_FALSE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1));
    EXPECT_EQ(arrival_count(), 1U);
}

TEST_F(AttemptRules, CancelsTheAttemptWhenTheCallerDisconnects)
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
    EXPECT_EQ(arrival_count(), 1U);
}

TEST_F(AttemptRules, RespondsAtTheTimeLimitOfTheRoute)
{
    add_route("brief", {{"path-prefix", "/brief/"}, {"time-limit", "200ms"}});
    std::promise<bool> is_closed;
    add_backend(
        "i-1", [&](auto& connection, auto const&, auto) { is_closed.set_value(connection.wait_until_closed()); });
    start();
    auto const started_at = Core::monotonic_now();
    auto const answer = answer_of(request("POST", "/brief/", "", "pay"));
    EXPECT_EQ(answer.status, 504);
    EXPECT_GE(Core::elapsed(started_at, Core::monotonic_now()).count(), 200);
    // The attempt at the backend server is cancelled as well.
    EXPECT_TRUE(is_closed.get_future().get());
}

TEST_F(AttemptRules, UsesTheShorterTimeLimitOfTheCaller)
{
    add_backend("i-1", succeeding());
    start();
    EXPECT_EQ(answer_of(request("GET", "/plain/", "Granitefield-Remaining-Ms: 900\r\n")).status, 200);
    auto const remaining = std::stoi(*field_of(m_backends[0]->requests().at(0), "Granitefield-Remaining-Ms"));
    EXPECT_LE(remaining, 900);
    EXPECT_GT(remaining, 0);
}

TEST_F(AttemptRules, SkipsAServerThatAcceptsNoConnection)
{
    FullListener const full;
    m_settings.runs.connect_limit = Core::Milliseconds(100);
    m_servers_list.servers.push_back(full.entry("i-0"));
    add_backend("i-1", succeeding());
    start();
    for (int round = 0; round < 4; ++round)
        EXPECT_EQ(answer_of(request("POST", "/plain/", "", "pay")).status, 200);
    EXPECT_EQ(arrival_count(), 4U);
}

TEST_F(AttemptRules, RefusesNoRequestAfterAQuarterOfTheServersDied)
{
    constexpr std::size_t server_count = 40;
    constexpr std::size_t dead_count = server_count / 4;
    for (std::size_t number = 0; number < server_count; ++number)
        add_backend(Core::concat("i-", number + 10),
            [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 200, "fine")); });
    start();
    // The dead servers are still listed, come first in the order and have no open requests.
    m_backends.erase(m_backends.begin(), m_backends.begin() + dead_count);
    constexpr unsigned requests = 200;
    for (unsigned number = 0; number < requests; ++number)
        ASSERT_EQ(answer_of(request("POST", "/plain/", "", "pay")).status, 200) << number;
    EXPECT_EQ(arrival_count(), requests);
    // Each dead server is tried once, and again after the time for which it is avoided.
    EXPECT_GE(counter("granitefield_gateway_unreachable_total"), dead_count);
    EXPECT_LE(counter("granitefield_gateway_unreachable_total"), dead_count * 3);
}

TEST_F(AttemptRules, MovesARequestFromAServerThatPeersReportDead)
{
    using Udp = boost::asio::ip::udp;
    boost::asio::io_context loop;
    Udp::socket relay(loop, Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    m_membership.set_load_members({{"127.0.0.1:1", "here", 100, 1},
        {{Core::concat("127.0.0.1:", relay.local_endpoint().port()), "here", 500, 2}}});
    m_settings.load_address = *Core::Address::from_string("127.0.0.1:0");
    // Keeps the silence alone from ending the attempt.
    m_settings.runs.stall_min_target_share = 100;
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
    while (arrival_count() == 0)
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
    EXPECT_EQ(arrival_count(), 2U);
}

TEST_F(AttemptRules, ClosesTheConnectionOfAnUnsentRequestAtTheTimeLimit)
{
    // The connection could be established after the request was refused as not run; the request must not be sent then.
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

TEST_F(AttemptRules, SendsNoErrorResponseIntoAStreamThatNoServerCanResume)
{
    std::promise<void> may_reset;
    add_backend("i-1", [&](auto& connection, auto const& text, auto) {
        connection.write(stream_head_to(text) + chunk(event(1)));
        may_reset.get_future().wait();
        connection.reset();
    });
    start();
    auto const caller = call(request("POST", "/resumable/", "", "x"));
    ASSERT_TRUE(caller->read_body_bytes(event(1).size()));
    may_reset.set_value();
    EXPECT_FALSE(caller->read_answer().is_whole);
    EXPECT_EQ(counter("granitefield_gateway_retries_total"), 1U);
    EXPECT_EQ(
        counter("granitefield_gateway_requests_total", {{"tier", "2"}, {"outcome", "cut"}, {"reason", "cut"}}), 1U);
}

TEST_F(AttemptRules, SendsNothingToAServerThatLeftWhileConnecting)
{
    FullListener full;
    m_settings.runs.connect_limit = Core::Milliseconds(5'000);
    m_servers_list.servers.push_back(full.entry("i-0"));
    start();
    auto const caller = call(request("POST", "/plain/", "", "pay"));
    while (nlohmann::json::parse(m_gateway->status())["backend-servers"][0]["open"] != 1)
        continue;
    m_servers_list.servers.front().state = Table::BackendServerState::Leaving;
    add_backend(
        "i-1", [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 200, "fine")); });
    // The gateway's thread is not woken, so that the connection comes up first.
    m_servers_list.revision = m_servers_list.revision.next();
    m_servers.replace(m_servers_list);
    full.make_room();
    EXPECT_EQ(full.next_received(Core::Milliseconds(4'000)).value_or(""), "");
    EXPECT_EQ(caller->read_answer().body, "fine");
    EXPECT_EQ(counter("granitefield_gateway_withdrawn_total"), 1U);
}

// The kernel repeats the opening packet of a connection after a second.
TEST_F(AttemptRules, GivesNoServerTheTimeThatItsConnectionTook)
{
    FullListener full;
    add_route("brief", {{"path-prefix", "/brief/"}, {"time-limit", "2500ms"}});
    m_settings.runs.connect_limit = Core::Milliseconds(5'000);
    m_servers_list.servers.push_back(full.entry("i-0"));
    start();
    auto const caller = call(request("POST", "/brief/", "", "pay"));
    while (nlohmann::json::parse(m_gateway->status())["backend-servers"][0]["open"] != 1)
        continue;
    full.make_room();
    auto const received = full.next_received(Core::Milliseconds(4'000)).value_or("");
    EXPECT_LE(std::stoi(field_of(received, "Granitefield-Remaining-Ms").value_or("2500")), 2'000);
}

TEST_F(AttemptRules, ChoosesAnotherServerOnceTheChosenOneLeavesWhileConnecting)
{
    FullListener const full;
    m_settings.runs.connect_limit = Core::Milliseconds(5'000);
    m_servers_list.servers.push_back(full.entry("i-0"));
    start();
    auto const caller = call(request("POST", "/plain/", "", "pay"));
    while (nlohmann::json::parse(m_gateway->status())["backend-servers"][0]["open"] != 1)
        continue;
    m_servers_list.servers.clear();
    add_backend(
        "i-1", [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 200, "fine")); });
    publish_servers();
    EXPECT_EQ(caller->read_answer().body, "fine");
    EXPECT_EQ(counter("granitefield_gateway_unreachable_total"), 0U);
}

TEST_F(AttemptRules, RefusesQuicklyWithoutAnyServer)
{
    start();
    auto const started_at = Core::monotonic_now();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(field_of(answer.head, "Retry-After"));
    // A quarter of the target of one second, plus a tick of the event loop.
    EXPECT_LT(Core::elapsed(started_at, Core::monotonic_now()).count(), 900);
}

TEST_F(AttemptRules, HoldsEarlyRequestsUntilTheFirstTable)
{
    add_backend(
        "i-1", [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 200, "fine")); });
    start_without_table();
    auto const early = call(request("POST", "/plain/"));
    auto const gone = call(request("POST", "/plain/"));
    gone->close();
    // A caller with a short timeout is refused early enough to use another gateway.
    auto const started_at = Core::monotonic_now();
    auto const refusal = answer_of(request("POST", "/plain/", "Granitefield-Remaining-Ms: 200\r\n"));
    EXPECT_EQ(refusal.status, 503);
    EXPECT_TRUE(field_of(refusal.head, "Retry-After"));
    EXPECT_LT(Core::elapsed(started_at, Core::monotonic_now()), Gateway::DeferredRequests::s_max_wait);
    publish_table();
    publish_servers();
    EXPECT_EQ(early->read_answer().body, "fine");
    EXPECT_EQ(arrival_count(), 1U);
}

TEST_F(AttemptRules, RefusesEarlyRequestsWhenNoTableArrives)
{
    start_without_table();
    auto const refusal = answer_of(request("POST", "/plain/"));
    EXPECT_EQ(refusal.status, 503);
    EXPECT_TRUE(field_of(refusal.head, "Retry-After"));
}

TEST_F(AttemptRules, SendsAWaitingRequestToAServerThatBecomesAvailable)
{
    m_settings.runs.hold_limit = Core::Milliseconds(5'000);
    set(Table::SheetName::Classes, "plain", {{"first-token", "20s"}});
    start();
    auto const caller = call(request("POST", "/plain/", "", "pay"));
    add_backend("i-1", succeeding());
    publish_servers();
    EXPECT_EQ(caller->read_answer().body, "fine");
}

TEST_F(AttemptRules, SendsNoNewRequestsToALeavingServer)
{
    add_backend("i-1", succeeding());
    add_backend("i-2", succeeding());
    start();
    m_servers_list.servers[0].state = Table::BackendServerState::Leaving;
    publish_servers();
    for (int round = 0; round < 20; ++round)
        EXPECT_EQ(answer_of(request("GET", "/plain/")).status, 200);
    EXPECT_EQ(m_backends[0]->count(), 0U);
}

TEST_F(AttemptRules, FinishesOpenStreamsAndRefusesNewOnesDuringADrain)
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
    auto const kept_alive = call(request("GET", "/plain/"));
    EXPECT_EQ(kept_alive->read_answer().status, 200);
    m_gateway->drain();
    // The idle connection is closed after the drain notice; from then on a new stream would be cut off.
    EXPECT_TRUE(kept_alive->is_closed_by_peer());
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

TEST_F(AttemptRules, KeepsTheRetryBudget)
{
    m_settings.runs.retries = {0, 16, Core::Milliseconds(600'000)};
    add_backend("i-1", resetting());
    add_backend("i-2", resetting());
    start();
    constexpr std::size_t requests = 30;
    for (std::size_t number = 0; number < requests; ++number)
        EXPECT_EQ(answer_of(request("GET", "/safe/")).status, 502);
    // 16 retries for the fleet in ten minutes: this gateway may spend an eighth of them, of which seven tenths are
    // available, and one initial retry.
    EXPECT_LE(arrival_count(), requests + 2);
    EXPECT_GT(counter("granitefield_gateway_retries_denied_total"), 0U);
}

TEST_F(AttemptRules, RetriesWithoutAFetchAfterAFailedFetch)
{
    // The engines reset the connection for requests with a fetch, as if the engine to fetch from were gone.
    auto const script = [](FakeConnection& connection, std::string const& request, std::size_t) {
        if (field_of(request, "Granitefield-Prompt-Source"))
            return connection.reset();
        connection.write(stream_head_to(request) + chunk(event(1)) + "0\r\n\r\n");
    };
    m_settings.dialect.prompt_source = "Granitefield-Prompt-Source";
    // A distant target, so that no request is rejected because of its predicted wait.
    set(Table::SheetName::Classes, "resumable", {{"first-token", "40s"}});
    for (auto const* instance : {"i-1", "i-2", "i-3"})
        add_backend(instance, script);
    start();
    auto const prompt = [](std::string const& own) {
        return request("POST", "/resumable/x", "Granitefield-Prompt-Parts: a:4000,b:4000," + own + ":100\r\n", "body");
    };
    // The first request leaves its prompt at its home; a source chosen by the caller is ignored.
    EXPECT_EQ(answer_of(prompt("o1")).status, 200);
    // A queue at the home sends further requests to other engines, which fetch from it.
    std::vector<std::unique_ptr<RawCaller>> callers;
    constexpr unsigned caller_count = 40;
    for (unsigned number = 0; number < caller_count; ++number)
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
