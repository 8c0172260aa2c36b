// Guards against streams that hold events of two software versions of a service.
#include "GatewayGroup.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <atomic>
#include <set>

namespace GraniteField::Testing {

namespace {

using namespace std::chrono_literals;

constexpr unsigned s_events = 6;
constexpr Core::Milliseconds s_announcement_limit {2'000};

[[nodiscard]] std::string event_of(std::string const& version, unsigned id)
{
    return Core::concat("id: ", id, "\ndata: ", version, "-", id, "\n\n");
}

/// Returns all events of a stream of that version.
[[nodiscard]] std::string events_of(std::string const& version)
{
    std::string text;
    for (unsigned id = 1; id <= s_events; ++id)
        text += event_of(version, id);
    return text;
}

/// Engines of several software versions, each of which ends its answers early.
class StreamVersionRules : public GatewayGroup {
protected:
    StreamVersionRules()
    {
        m_settings.runs.retries.ratio = 1'000;
        for (auto const* tries : {"1", "2", "3"})
            add_route(Core::concat("tries-", tries),
                {{"path-prefix", Core::concat("/tries-", tries, "/")}, {"tries", tries}, {"answer", "events"},
                    {"resumable", "yes"}});
        publish_table();
    }

    /// Adds an engine that closes each answer after `m_events_per_run` events.
    void add_engine(std::string const& instance, std::string const& version)
    {
        add_backend(instance, [this, version](auto& connection, auto const& text, auto) {
            auto const last_id = field_of(text, "Last-Event-ID").value_or("");
            auto const last = last_id.empty() ? 0U : static_cast<unsigned>(std::stoul(last_id));
            auto const end = std::min(s_events, last + m_events_per_run);
            connection.write(stream_head_to(text));
            for (auto id = last + 1; id <= end; ++id)
                connection.write(chunk(event_of(version, id)));
            if (end == s_events)
                connection.write("0\r\n\r\n");
        });
        m_servers_list.servers.back().software_version = version;
    }

    void add_engines(unsigned count, std::string const& version)
    {
        for (unsigned number = 0; number < count; ++number)
            add_engine(Core::concat("i-", version, "-", number), version);
    }

    /// Lists the servers of that version only.
    void list_only(std::string const& version)
    {
        m_all_servers = m_servers_list.servers;
        std::erase_if(m_servers_list.servers, [&](auto const& entry) { return entry.software_version != version; });
        publish_servers();
        wake_all();
    }

    void list_all()
    {
        m_servers_list.servers = m_all_servers;
        publish_servers();
        wake_all();
    }

    [[nodiscard]] RawCaller::Answer ask(
        std::size_t gateway, std::string const& path, std::string const& id, std::string const& fields = "")
    {
        RawCaller caller(m_nodes.at(gateway)->gateway.caller_port());
        caller.write(Core::concat("POST ", path, " HTTP/1.1\r\nHost: host.test\r\nGranitefield-Request: ", id, "\r\n",
            fields, "Content-Length: 3\r\n\r\nask"));
        return caller.read_answer();
    }

    /// Begins a stream that ends early at its caller, and returns its events.
    [[nodiscard]] std::string begin(std::size_t gateway, std::string const& id)
    {
        auto const answer = ask(gateway, "/tries-1/", id);
        EXPECT_EQ(answer.status, 200);
        EXPECT_FALSE(answer.is_whole);
        return answer.body;
    }

    /// Takes a stream up behind its last event, as often as the gateway refuses it at first.
    [[nodiscard]] std::string resume(std::size_t gateway, std::string const& id, std::string const& body)
    {
        auto const last = std::ranges::count(body, ':') / 2;
        auto const fields = Core::concat("Granitefield-Resumes: ", id, "\r\nLast-Event-ID: ", last, "\r\n");
        auto const end = Core::monotonic_now() + s_announcement_limit;
        while (Core::monotonic_now() < end) {
            auto const answer = ask(gateway, "/tries-1/", Core::concat(id, "-", ++m_resumptions), fields);
            if (answer.status == 200)
                return body + answer.body;
            EXPECT_EQ(answer.status, 503);
        }
        return body;
    }

    [[nodiscard]] std::size_t arrivals(std::string_view version) const
    {
        std::size_t sum = 0;
        for (std::size_t number = 0; number < m_backends.size(); ++number) {
            if (m_backends[number]->entry().instance.find(version) != std::string::npos)
                sum += m_backends[number]->count();
        }
        return sum;
    }

    std::atomic<unsigned> m_events_per_run {2};
    std::atomic<unsigned> m_resumptions {0};
    std::vector<Entry::ServerEntry> m_all_servers;
};

constexpr int s_streams = 12;

}

TEST_F(StreamVersionRules, ContinuesAnAnswerOnlyAtTheVersionThatBeganIt)
{
    add_engines(3, "v1");
    add_engines(3, "v2");
    publish_servers();
    start_gateways(1);
    std::set<std::string> bodies;
    for (int count = 0; count < s_streams; ++count) {
        auto const answer = ask(0, "/tries-3/", Core::concat("s-", count));
        EXPECT_TRUE(answer.is_whole);
        bodies.insert(answer.body);
    }
    EXPECT_EQ(bodies, (std::set {events_of("v1"), events_of("v2")}));
    EXPECT_EQ(counter("granitefield_gateway_mixed_streams_total"), 0U);
}

TEST_F(StreamVersionRules, AbortsAnAnswerThatOnlyAnotherVersionCouldContinue)
{
    add_engines(1, "v1");
    add_engines(3, "v2");
    list_only("v1");
    start_gateways(1);
    ASSERT_EQ(begin(0, "s-first"), event_of("v1", 1) + event_of("v1", 2));
    list_all();
    for (int count = 0; count < s_streams; ++count) {
        auto const answer = ask(0, "/tries-2/", Core::concat("s-", count));
        if (answer.body.starts_with(event_of("v1", 1))) {
            EXPECT_EQ(answer.body, event_of("v1", 1) + event_of("v1", 2));
        }
    }
    EXPECT_EQ(counter("granitefield_gateway_mixed_streams_total"), 0U);
}

TEST_F(StreamVersionRules, ResumesAtEachGatewayAtTheVersionThatBeganTheStream)
{
    add_engines(2, "v1");
    add_engines(2, "v2");
    publish_servers();
    start_gateways(3);
    std::set<std::string> bodies;
    for (std::size_t count = 0; count < s_streams; ++count) {
        auto const id = Core::concat("s-", count);
        auto body = begin(count % 3, id);
        body = resume((count + 1) % 3, id, body);
        bodies.insert(resume((count + 2) % 3, id, body));
    }
    EXPECT_EQ(bodies, (std::set {events_of("v1"), events_of("v2")}));
}

TEST_F(StreamVersionRules, ResumesAfterTheGatewayThatBeganTheStreamWasKilled)
{
    add_engines(2, "v1");
    add_engines(2, "v2");
    publish_servers();
    start_gateways(3);
    std::map<std::string, std::string> streams;
    for (int count = 0; count < s_streams; ++count) {
        auto const id = Core::concat("s-", count);
        auto const body = begin(0, id);
        streams[id] = resume(1, id, body);
    }
    kill_gateway(0);
    std::set<std::string> bodies;
    for (auto const& [id, body] : streams)
        bodies.insert(resume(2, id, body));
    EXPECT_EQ(bodies, (std::set {events_of("v1"), events_of("v2")}));
}

TEST_F(StreamVersionRules, ResumesAtAGatewayThatStartedAfterTheStream)
{
    add_engines(2, "v1");
    add_engines(2, "v2");
    publish_servers();
    start_gateways(2);
    std::map<std::string, std::string> streams;
    for (int count = 0; count < s_streams; ++count) {
        auto const id = Core::concat("s-", count);
        streams[id] = resume(1, id, begin(0, id));
    }
    start_gateways(1);
    std::set<std::string> bodies;
    for (auto const& [id, body] : streams)
        bodies.insert(resume(2, id, body));
    EXPECT_EQ(bodies, (std::set {events_of("v1"), events_of("v2")}));
}

TEST_F(StreamVersionRules, DoesNotGuessTheVersionOfAnUnknownStream)
{
    add_engines(2, "v1");
    add_engines(2, "v2");
    publish_servers();
    start_gateways(3);
    for (std::size_t gateway = 0; gateway < 3; ++gateway) {
        auto const answer = ask(
            gateway, "/tries-2/", Core::concat("s-", gateway), "Granitefield-Resumes: none\r\nLast-Event-ID: 2\r\n");
        EXPECT_EQ(answer.status, 503);
        EXPECT_TRUE(field_of(answer.head, "Retry-After"));
    }
    EXPECT_EQ(arrivals("v1") + arrivals("v2"), 0U);
}

TEST_F(StreamVersionRules, ServesANewStreamWithAnEmptyLastEventId)
{
    m_events_per_run = s_events;
    add_engines(1, "v1");
    add_engines(1, "v2");
    publish_servers();
    start_gateways(1);
    EXPECT_EQ(ask(0, "/tries-1/", "s-1", "Last-Event-ID:\r\n").status, 200);
}

// The same instance, restarted at another version behind the same address.
TEST_F(StreamVersionRules, DoesNotContinueAtAServerRebornAtAnotherVersion)
{
    add_engines(2, "v1");
    publish_servers();
    start_gateways(2);
    auto const body = begin(0, "s-1");
    m_servers_list.servers.clear();
    for (auto const& backend : m_backends) {
        auto entry = backend->entry();
        entry.software_version = "v2";
        entry.born += 1s;
        m_servers_list.servers.push_back(entry);
    }
    publish_servers();
    wake_all();
    auto const before = arrivals("v1");
    for (std::size_t gateway = 0; gateway < 2; ++gateway) {
        auto const answer = ask(
            gateway, "/tries-2/", Core::concat("s-2-", gateway), "Granitefield-Resumes: s-1\r\nLast-Event-ID: 2\r\n");
        EXPECT_EQ(answer.status, 503);
    }
    EXPECT_EQ(arrivals("v1"), before);
}

}
