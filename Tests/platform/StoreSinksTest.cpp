// Guards against a change that is applied behind a later one of the same object because it can't be read.
#include <LibEntry/SharedDrains.h>
#include <LibEntry/SharedServers.h>
#include <LibObserve/EventLog.h>

#include <NullDescriptor.h>

#include <string>

#include <gtest/gtest.h>
#include <platform/StoreSinks.h>

namespace GraniteField::Platform {

namespace {

class StoreSinks : public ::testing::Test {
protected:
    static Object sound(std::string name)
    {
        return {std::move(name), ObjectVersion(5),
            {{"service", "svc"}, {"addr", "127.0.0.1:9"}, {"zone", "here"}, {"slots", 8}, {"state", "ready"}}};
    }
    static Object odd(std::string name) { return {std::move(name), ObjectVersion(4), {}, "it nests too deeply"}; }

    Testing::NullDescriptor m_log_descriptor;
    Observe::MetricRegistry m_metrics;
    Observe::EventLog m_log {m_log_descriptor.number(), "gateway-1", Core::Incarnation(1), m_metrics};
};

}

TEST_F(StoreSinks, KnowAServerThatWasRepairedInTheSameAnswer)
{
    Entry::SharedServers servers;
    ServersSink sink(
        servers, [] {}, m_log, m_metrics);
    sink.take_listing({StoreRevision(1), {sound("i-1")}, {}, {}});
    sink.take_events({StoreRevision(5),
        {{EventKind::Changed, odd("i-2")}, {EventKind::Removed, odd("i-2")}, {EventKind::Changed, sound("i-2")}}});
    EXPECT_EQ(servers.current()->servers.size(), 2U);
    sink.take_events({StoreRevision(6), {{EventKind::Changed, odd("i-2")}}});
    EXPECT_EQ(servers.current()->servers.size(), 1U);
}

TEST_F(StoreSinks, DrainADomainAgainThatWasTakenBackInTheSameAnswer)
{
    Entry::SharedDrains drains;
    DrainsSink sink(
        drains, [] {}, m_log, m_metrics);
    sink.take_events({StoreRevision(5), {{EventKind::Removed, odd("here")}, {EventKind::Changed, sound("here")}}});
    EXPECT_EQ(drains.current().failure_domains, std::set<std::string> {"here"});
}

}
