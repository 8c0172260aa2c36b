// Guards against a list of servers that counts as confirmed although the store did not answer, or answered that
// servers of another version have joined.
#include "NullDescriptor.h"

#include <LibGateway/ListConfirmer.h>

#include <stdexcept>
#include <string>
#include <thread>

#include <gtest/gtest.h>

namespace GraniteField::Gateway {

namespace {

using namespace std::chrono_literals;

Core::MonotonicTime const s_start {1h};

enum class Outage {
    None,
    Unavailable,
    HistoryGone,
};

/// Implements the call of the platform's store that the confirmer uses.
class FakeStore {
public:
    Platform::WatchAnswer watch(std::string_view kind, Platform::StoreRevision revision, Core::Milliseconds wait)
    {
        EXPECT_EQ(kind, "servers");
        EXPECT_EQ(wait, 0ms);
        asked_from = revision;
        // The process stands still before it reads the answer.
        now += 5s;
        if (outage == Outage::Unavailable)
            throw Platform::PlatformUnavailable("no answer");
        if (outage == Outage::HistoryGone)
            throw Platform::HistoryGone("gone");
        return answer;
    }

    Platform::ObjectListing list(std::string_view kind) const
    {
        EXPECT_EQ(kind, "servers");
        return listing;
    }

    Platform::WatchAnswer answer;
    Platform::ObjectListing listing;
    Platform::StoreRevision asked_from;
    Outage outage {Outage::None};
    Core::MonotonicTime now {s_start};
};

class Confirmer : public ::testing::Test {
protected:
    void offer_list(std::uint64_t revision)
    {
        Entry::ServerList list;
        list.revision = Entry::ListRevision(revision);
        m_servers.offer(list);
    }

    static Entry::ServerEntry read_server(Platform::Object const& object)
    {
        if (!object.spec.contains("version"))
            throw std::runtime_error("no version");
        Entry::ServerEntry entry;
        entry.service = "svc";
        entry.software_version = object.spec.at("version").get<std::string>();
        return entry;
    }

    Testing::NullDescriptor m_log_descriptor;
    Observe::MetricRegistry m_metrics;
    Observe::EventLog m_log {m_log_descriptor.number(), "gateway-1", Core::Incarnation(1), m_metrics};
    Entry::SharedServers m_servers;
    FakeStore m_store;
    ListConfirmation m_confirmation;
    ListConfirmer<FakeStore> m_confirmer {
        {"servers", read_server, [this] { return m_store.now; }}, m_confirmation, m_servers, m_store, m_log, m_metrics};
};

}

TEST_F(Confirmer, ConfirmsTheListAsOfTheStartOfTheCall)
{
    offer_list(7);
    m_confirmer.confirm();
    auto const results = m_confirmation.take_results();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].as_of, s_start);
    EXPECT_EQ(results[0].revision, Entry::ListRevision(7));
    EXPECT_TRUE(results[0].served.empty());
    EXPECT_EQ(m_store.asked_from, Platform::StoreRevision(7));
}

TEST_F(Confirmer, ReportsVersionsThatTheListDoesNotHaveYet)
{
    offer_list(7);
    m_store.answer.events.push_back(
        {Platform::EventKind::Changed, {"i-2", Platform::ObjectVersion(8), {{"version", "v2"}}}});
    m_store.answer.events.push_back({Platform::EventKind::Changed, {"i-3", Platform::ObjectVersion(9), {{"x", 1}}}});
    m_store.answer.events.push_back({Platform::EventKind::Removed, {"i-1", Platform::ObjectVersion(10), {}}});
    m_confirmer.confirm();
    auto const results = m_confirmation.take_results();
    ASSERT_EQ(results.size(), 1U);
    ASSERT_EQ(results[0].served.size(), 1U);
    EXPECT_EQ(results[0].served[0], (StreamOrigin {"svc", "v2"}));
}

TEST_F(Confirmer, ReportsVersionsThatTheWatchHides)
{
    offer_list(7);
    m_store.answer.revision = Platform::StoreRevision(9);
    m_store.listing.objects.push_back({"i-2", Platform::ObjectVersion(8), {{"version", "v2"}}});
    m_confirmer.confirm();
    auto const results = m_confirmation.take_results();
    ASSERT_EQ(results.size(), 1U);
    ASSERT_EQ(results[0].served.size(), 1U);
    EXPECT_EQ(results[0].served[0], (StreamOrigin {"svc", "v2"}));
}

TEST_F(Confirmer, ConfirmsNothingWithoutAListOrAnAnswer)
{
    m_confirmer.confirm();
    offer_list(7);
    m_store.outage = Outage::Unavailable;
    m_confirmer.confirm();
    m_store.outage = Outage::HistoryGone;
    m_confirmer.confirm();
    EXPECT_TRUE(m_confirmation.take_results().empty());
}

TEST_F(Confirmer, AsksOnceForRequestsThatOneCallCovers)
{
    offer_list(7);
    m_confirmation.request(s_start - 1s);
    ASSERT_TRUE(m_confirmation.take_request());
    m_confirmation.request(s_start);
    m_confirmer.confirm();
    EXPECT_FALSE(m_confirmation.take_request());
    m_confirmation.request(s_start + 1s);
    EXPECT_TRUE(m_confirmation.take_request());
    EXPECT_FALSE(m_confirmation.take_request());
}

TEST_F(Confirmer, StopsWhileItWaitsForRequests)
{
    offer_list(7);
    std::thread thread([this] { m_confirmer.run(); });
    m_confirmation.stop();
    thread.join();
}

}
