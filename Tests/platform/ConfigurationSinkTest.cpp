// Guards against a gateway that takes an older configuration for the newest one because it cannot read that.
#include <LibEntry/SharedTable.h>
#include <LibObserve/EventLog.h>

#include <NullDescriptor.h>

#include <string>

#include <gtest/gtest.h>
#include <platform/StoreSinks.h>

namespace GraniteField::Platform {

namespace {

class ConfigurationSinks : public ::testing::Test {
protected:
    static Object configuration(unsigned version)
    {
        return {std::string(configuration_name()), ObjectVersion(version),
            {{"version", version}, {"routes", Json::array()}}};
    }
    static Object unreadable(unsigned version)
    {
        return {std::string(configuration_name()), ObjectVersion(version), {{"version", version}, {"routes", "none"}}};
    }

    void list(Object object) { m_sink.take_listing({StoreRevision(1), {std::move(object)}, {}, {}}); }

    [[nodiscard]] std::uint64_t version() const { return m_table.current() ? m_table.current()->version().value() : 0; }

    Testing::NullDescriptor m_log_descriptor;
    Observe::MetricRegistry m_metrics;
    Observe::EventLog m_log {m_log_descriptor.number(), "gateway-1", Core::Incarnation(1), m_metrics};
    Entry::SharedTable m_table;
    unsigned m_news {0};
    ConfigurationSink m_sink {m_table, [this] { ++m_news; }, m_log, m_metrics};
};

}

TEST_F(ConfigurationSinks, AreOutdatedUntilTheVersionOrANewerOneIsRead)
{
    list(configuration(3));
    EXPECT_FALSE(m_table.is_outdated());
    list(unreadable(7));
    EXPECT_TRUE(m_table.is_outdated());
    EXPECT_EQ(version(), 3U);
    // One between both, as a peer may have it.
    list(configuration(5));
    EXPECT_TRUE(m_table.is_outdated());
    list(configuration(7));
    EXPECT_FALSE(m_table.is_outdated());
    EXPECT_EQ(m_news, 4U);
}

TEST_F(ConfigurationSinks, AreOutdatedByAnObjectThatIsNone)
{
    list(configuration(3));
    m_sink.take_listing({StoreRevision(2), {}, {{std::string(configuration_name()), "no revision"}}, {}});
    EXPECT_TRUE(m_table.is_outdated());
    WatchAnswer answer;
    answer.events = {{EventKind::Changed, {"another", {}, {}, "no revision"}}, {EventKind::Changed, configuration(4)}};
    m_sink.take_events(answer);
    EXPECT_FALSE(m_table.is_outdated());
    answer.events = {{EventKind::Changed, {std::string(configuration_name()), {}, {}, "no revision"}}};
    m_sink.take_events(answer);
    EXPECT_TRUE(m_table.is_outdated());
}

TEST_F(ConfigurationSinks, UseTheNewestVersionThatCanBeRead)
{
    WatchAnswer answer;
    answer.events = {{EventKind::Changed, configuration(3)}, {EventKind::Changed, configuration(4)},
        {EventKind::Changed, unreadable(6)}};
    m_sink.take_events(answer);
    EXPECT_EQ(version(), 4U);
    EXPECT_TRUE(m_table.is_outdated());
}

}
