// Bad input wherever a byte enters a daemon: a clear error, nothing lost, no crash. The daemons are real
// processes; what comes in is random from a fixed seed.
#include "FakeBackend.h"
#include "Fleet.h"

#include <LibCore/Compression.h>
#include <Messages.pb.h>
#include <Peers.pb.h>

#include <random>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.hpp>

namespace GraniteField::Testing {

namespace {

namespace Message = granitefield::protocol;

class BadInput : public ::testing::Test {
protected:
    void SetUp() override
    {
        m_fleet.add_class("clerk", {{"tier", "1"}});
        m_fleet.add_model_backend("llm-1");
        m_fleet.start();
    }

    /// The fleet still serves.
    void expect_served()
    {
        auto const answer = m_fleet.complete("clerk", "after", 5);
        EXPECT_EQ(answer.outcome(), "done") << answer.body;
        EXPECT_TRUE(m_fleet.entry().process->is_running());
        EXPECT_TRUE(m_fleet.backend("llm-1").side->is_running());
    }

    std::string random_bytes(std::size_t most)
    {
        std::string bytes(m_random() % most, '\0');
        for (auto& byte : bytes)
            byte = static_cast<char>(m_random());
        return bytes;
    }

    /// A message that parses, with random numbers and names.
    std::string random_envelope()
    {
        Message::Envelope envelope;
        envelope.set_protocol_version(m_random() % 8 == 0 ? 99 : 1);
        auto const fill = [this](auto& body) {
            body.mutable_request()->set_entry(m_random());
            body.mutable_request()->set_sequence(m_random() % 4);
            body.set_attempt(m_random() % 3);
        };
        switch (m_random() % 7) {
        case 0:
            envelope.mutable_hello()->set_entry_name(random_bytes(50));
            break;
        case 1:
            fill(*envelope.mutable_dispatch());
            envelope.mutable_dispatch()->set_side_incarnation(m_random());
            envelope.mutable_dispatch()->set_body(random_bytes(100));
            envelope.mutable_dispatch()->mutable_policy()->set_tier(m_random());
            break;
        case 2:
            fill(*envelope.mutable_revoke());
            break;
        case 3:
            fill(*envelope.mutable_resume());
            break;
        case 4:
            fill(*envelope.mutable_acknowledge());
            break;
        case 5:
            envelope.mutable_ping()->set_challenge(m_random());
            break;
        default:
            fill(*envelope.mutable_finished());
        }
        return envelope.SerializeAsString();
    }

    /// Calls while the backend server is one that answers a single request with these bytes.
    CallerAnswer complete_with(std::string const& answer, bool is_stream)
    {
        FakeBackend const server("once", [&](auto& connection, auto const&, std::size_t) { connection.write(answer); });
        auto& proxy = *m_fleet.backend("llm-1").engine_proxy;
        proxy.set_target(server.entry().address);
        proxy.reset_connections();
        return m_fleet.complete("clerk", "x", 5, is_stream, 0, {{"Granitefield-Repeatable", "no"}});
    }

    void send_to(std::uint16_t port, std::function<std::string()> const& make, int count)
    {
        zmq::context_t context;
        zmq::socket_t socket(context, zmq::socket_type::dealer);
        socket.set(zmq::sockopt::linger, 1000);
        socket.connect("tcp://127.0.0.1:" + std::to_string(port));
        for (int index = 0; index < count; ++index)
            socket.send(zmq::buffer(make()), index % 50 == 0 ? zmq::send_flags::sndmore : zmq::send_flags::none);
        socket.send(zmq::buffer(std::string("end")), zmq::send_flags::none);
    }

    Fleet m_fleet;
    std::mt19937 m_random {20261202};
};

void send_raw(std::uint16_t port, std::string const& bytes)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    ASSERT_EQ(::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    [[maybe_unused]] auto const sent = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    ::close(descriptor);
}

}

TEST_F(BadInput, FramesAtTheSideProcess)
{
    auto const port = m_fleet.backend("llm-1").side_port;
    send_to(
        port, [this] { return random_bytes(200); }, 2000);
    send_to(
        port, [this] { return random_envelope(); }, 2000);
    expect_served();
    EXPECT_GT(
        m_fleet.metric(m_fleet.backend("llm-1").side_operator_port, "granitefield_side_malformed_messages_total"), 0);
    EXPECT_GT(
        m_fleet.metric(m_fleet.backend("llm-1").side_operator_port, "granitefield_side_version_refusals_total"), 0);
}

TEST_F(BadInput, FramesFromAPeer)
{
    send_to(
        m_fleet.entry().peer_port, [this] { return random_bytes(200); }, 1000);
    send_to(
        m_fleet.entry().peer_port,
        [this] {
            Message::PeerEnvelope envelope;
            envelope.set_protocol_version(1);
            if (m_random() % 2 == 0) {
                envelope.mutable_table()->set_to_version(1000 + m_random());
                envelope.mutable_table()->set_compressed_edits(random_bytes(100));
            } else {
                envelope.mutable_table()->set_from_version(1);
                envelope.mutable_table()->set_to_version(1000 + m_random());
                Message::TableEdits edits;
                auto& edit = *edits.add_edits();
                edit.set_sheet(m_random() % 6);
                edit.set_row("row");
                edit.set_column("tier");
                edit.set_value(random_bytes(10));
                envelope.mutable_table()->set_compressed_edits(Core::compress(edits.SerializeAsString()));
            }
            return envelope.SerializeAsString();
        },
        1000);
    expect_served();
    EXPECT_EQ(m_fleet.status(m_fleet.entry().operator_port)["table-version"], 1);
    EXPECT_GT(m_fleet.metric(m_fleet.entry().operator_port, "granitefield_peer_messages_rejected_total"), 0);
}

TEST_F(BadInput, RawBytesAtEveryPort)
{
    auto const& backend = m_fleet.backend("llm-1");
    for (auto const port : {m_fleet.entry().caller_port, m_fleet.entry().operator_port, m_fleet.entry().peer_port,
             backend.side_port, backend.side_operator_port}) {
        for (int round = 0; round < 50; ++round)
            send_raw(port, random_bytes(500));
    }
    expect_served();
}

TEST_F(BadInput, CallersRequests)
{
    auto const port = m_fleet.entry().caller_port;
    std::vector<std::string> const headers {
        "Authorization: Bearer " + std::string(Fleet::s_key), "Granitefield-Class: clerk"};
    auto const malformed = send_request(port, "POST", "/v1/chat/completions", "{\"model\": ", headers);
    EXPECT_EQ(malformed.status, 400);
    EXPECT_NE(malformed.json()["error"]["message"].get<std::string>().find("at byte"), std::string::npos);
    EXPECT_EQ(malformed.outcome(), "not-run");
    auto const unknown_model
        = send_request(port, "POST", "/v1/chat/completions", R"({"model": "nobody", "messages": [{}]})", headers);
    EXPECT_EQ(unknown_model.status, 404);
    EXPECT_EQ(send_request(port, "POST", "/v1/chat/completions", "{}", {}).status, 401);
    EXPECT_EQ(send_request(port, "POST", "/v1/chat/completions", std::string(5U << 20U, ' '), headers).status, 413);
    auto too_long = headers;
    too_long.push_back("X-Long: " + std::string(100'000, 'x'));
    EXPECT_GE(send_request(port, "POST", "/v1/chat/completions", "{}", too_long).status, 400);
    for (int round = 0; round < 200; ++round)
        EXPECT_EQ(send_request(port, "POST", "/v1/chat/completions", random_bytes(300), headers).status, 400);
    expect_served();
}

TEST_F(BadInput, AnswersOfTheBackendServer)
{
    // Something that is no HTTP server, and an HTTP server whose answer does not say where it ends.
    auto& backend = m_fleet.backend("llm-1");
    auto const engine_port = backend.engine_port;
    for (std::string const& answer : {std::string("no HTTP at all\r\n\r\n"),
             std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: {}\n\n"),
             std::string("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")}) {
        auto const result = complete_with(answer, true);
        EXPECT_NE(result.outcome(), "done") << result.body;
        EXPECT_NE(result.outcome(), "not-run") << result.body;
    }
    backend.engine_proxy->set_target(*Core::Address::from_string("127.0.0.1:" + std::to_string(engine_port)));
    backend.engine_proxy->reset_connections();
    expect_served();
}

TEST_F(BadInput, AContentTypeOfTheBackendServerThatIsNotUtf8)
{
    auto const result
        = complete_with("HTTP/1.1 200 OK\r\nContent-Type: text/\xff\r\nContent-Length: 4\r\n\r\nbody", false);
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.body, "body");
    EXPECT_EQ(result.outcome(), "done");
}

TEST_F(BadInput, CallersBytesThatAreNotUtf8)
{
    std::vector<std::string> const key {
        "Authorization: Bearer " + std::string(Fleet::s_key), "Granitefield-Class: clerk"};
    auto const body = R"({"model": "test-model", "messages": [{"role": "user", "content": "tag=a tokens=2"}]})";
    auto with_type = key;
    with_type.emplace_back("Content-Type: text/\xff");
    auto const answer = send_request(m_fleet.entry().caller_port, "POST", "/v1/chat/completions", body, with_type);
    EXPECT_EQ(answer.status, 400) << answer.body;
    EXPECT_EQ(answer.outcome(), "not-run");
    expect_served();
}

TEST_F(BadInput, ATableThatIsNoTable)
{
    auto const platform = m_fleet.platform_address();
    Json const object {{"metadata", {{"name", "head"}}}, {"spec", "no table"}};
    EXPECT_EQ(send_request(platform.port(), "PUT", "/objects/granitefield-table/head", object.dump(),
                  {"Content-Type: application/json"})
                  .status,
        200);
    ASSERT_TRUE(wait_until(
        [&] { return m_fleet.metric(m_fleet.entry().operator_port, "granitefield_platform_failures_total") > 0; }));
    expect_served();
    EXPECT_EQ(m_fleet.status(m_fleet.entry().operator_port)["table-version"], 1);
    EXPECT_EQ(m_fleet.tool({"table", "show"}).exit_code, 2);
}

TEST_F(BadInput, CallersWhoVanish)
{
    auto& backend = m_fleet.backend("llm-1");
    auto const port = m_fleet.entry().caller_port;
    Json const body {{"model", "test-model"}, {"stream", true},
        {"messages", Json::array({{{"role", "user"}, {"content", "tag=gone tokens=100000"}}})}};
    for (int round = 0; round < 8; ++round) {
        auto const answer = send_request(port, "POST", "/v1/chat/completions", body.dump(),
            {"Authorization: Bearer " + std::string(Fleet::s_key), "Granitefield-Class: clerk"},
            Core::Milliseconds(150));
        EXPECT_FALSE(answer.is_whole);
    }
    EXPECT_TRUE(wait_until([&] {
        return m_fleet.status(backend.side_operator_port)["running"] == 0
            && m_fleet.status(backend.side_operator_port)["waiting"] == 0;
    }));
    EXPECT_EQ(m_fleet.metric(m_fleet.entry().operator_port, "granitefield_entry_callers_gone_total"), 8);
    EXPECT_GT(m_fleet.metric(backend.side_operator_port, "granitefield_side_wasted_tokens_total"), 0);
    expect_served();
}

}
