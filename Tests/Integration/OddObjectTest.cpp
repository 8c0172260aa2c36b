// Guards against an object of another writer that ends gateways, or hides the objects beside it.
#include "Fleet.h"
#include "Process.h"

#include "FakeBackend.h"
#include "GatewayFleet.h"
#include "OddObjects.h"
#include "ProcessMemory.h"

#include <LibCore/Text.h>

#include <string>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

class OddObjects : public ::testing::Test, protected GatewayFleet {
protected:
    static constexpr char const* s_unreadable = R"(granitefield_store_objects_unreadable_total{kind="servers"})";

    static std::size_t count_servers(Gateway const& gateway)
    {
        return send_request(gateway.operators, "GET", "/status", "").json()["backend-servers"].size();
    }

    /// The gateway runs, and knows the next server within the time in which a change holds.
    void expect_followed(Gateway const& gateway, FakeBackend const& next, std::string const& odd)
    {
        put_server(next);
        EXPECT_TRUE(wait_until([&] { return !gateway.process->is_running() || count_servers(gateway) == 2; })) << odd;
        ASSERT_TRUE(gateway.process->is_running()) << odd;
        EXPECT_EQ(ask(gateway, "/a/"), 200) << odd;
        remove_server("i-2");
        EXPECT_TRUE(wait_until([&] { return count_servers(gateway) == 1; })) << odd;
    }
};

}

TEST_F(OddObjects, EndNoGatewayAndHideNoOtherServer)
{
    FakeBackend const backend("i-1", good());
    FakeBackend const next("i-2", good());
    put_configuration(1, "/a/");
    put_server(backend);
    for (auto const& odd : odd_entries()) {
        auto const watching = start("g-1");
        ASSERT_TRUE(wait_until([&] { return is_ready(watching); }));
        put_text("servers", odd.name, odd.spec);
        EXPECT_TRUE(wait_until([&] { return !watching.process->is_running() || metric(watching, s_unreadable) > 0; }))
            << odd.name;
        ASSERT_TRUE(watching.process->is_running()) << odd.name << " by a watch";
        expect_followed(watching, next, odd.name);
        auto const listing = start("g-2");
        EXPECT_TRUE(wait_until([&] { return !listing.process->is_running() || is_ready(listing); })) << odd.name;
        ASSERT_TRUE(listing.process->is_running()) << odd.name << " by a list";
        expect_followed(listing, next, odd.name);
        EXPECT_TRUE(wait_until([&] {
            return listing.process->has_printed(Core::concat(R"("kind":"servers","name":")", odd.name, "\""));
        })) << odd.name;
        remove_server(odd.name);
    }
}

TEST_F(OddObjects, OfTheLargestSizeFitASmallHost)
{
    constexpr int count = 120;
    FakeBackend const backend("i-1", good());
    FakeBackend const next("i-2", good());
    set_domain_drains(Core::Milliseconds(5'000));
    put_configuration(1, "/a/");
    put_server(backend);
    // The store's pages hold about a megabyte.
    control({{"page-size", 1}});
    auto const text = "[" + nested(1, "[", "]") + ",\"" + std::string(1'000'000, 'x') + "\"]";
    for (int number = 0; number < count; ++number) {
        for (auto const* kind : {"servers", "config", "evacuations", "granitefield-quarantine", "granitefield-streams"})
            put_text(kind, Core::concat("odd-", number), text);
    }
    auto const gateway = start("g-1");
    EXPECT_TRUE(wait_until([&] { return !gateway.process->is_running() || is_ready(gateway); }));
    ASSERT_TRUE(gateway.process->is_running());
    expect_followed(gateway, next, "megabytes");
    EXPECT_LT(peak_memory(gateway.process->id()), s_host_memory_bytes);
}

TEST_F(OddObjects, OfAnyKindEndNoGateway)
{
    FakeBackend const backend("i-1", good());
    put_configuration(1, "/a/");
    put_server(backend);
    set_domain_drains(Core::Milliseconds(5'000));
    set_duties({{"address", "127.0.0.1:9"}, {"usage-window", "1s"}, {"usage-late", "2s"}, {"lease", "800ms"},
        {"lease-margin", "100ms"}, {"call-timeout", "300ms"}, {"call-pause", "20ms"}, {"patience", "300ms"}});
    for (auto const& odd : odd_entries()) {
        put_text("config", odd.name, odd.spec);
        put_text("evacuations", odd.name, odd.spec);
        put_text("granitefield-quarantine", odd.name, odd.spec);
        put_text("granitefield-streams", odd.name, odd.spec);
        put_text("granitefield-duties", "usage", odd.spec);
        auto const gateway = start("g-1");
        EXPECT_TRUE(wait_until([&] { return !gateway.process->is_running() || is_ready(gateway); })) << odd.name;
        // The keepers of the other kinds read the store once the gateway follows it.
        EXPECT_TRUE(wait_until([&] {
            return !gateway.process->is_running() || gateway.process->has_printed("duty-unreadable");
        })) << odd.name;
        ASSERT_TRUE(gateway.process->is_running()) << odd.name;
        EXPECT_EQ(ask(gateway, "/a/"), 200) << odd.name;
    }
}

TEST_F(OddObjects, WithinAConfigurationCostOneRoute)
{
    FakeBackend const backend("i-1", good());
    put_server(backend);
    for (auto const& odd : odd_entries()) {
        put_text("config", "main",
            Core::concat(R"({"version":1,"routes":[)", route("sound", "/a/", "safe").dump(),
                R"(,{"name":"odd","host":"host.test","path_prefix":)", odd.spec, "}]}"));
        auto const gateway = start("g-1");
        EXPECT_TRUE(wait_until([&] { return !gateway.process->is_running() || is_ready(gateway); })) << odd.name;
        ASSERT_TRUE(gateway.process->is_running()) << odd.name;
        EXPECT_EQ(ask(gateway, "/a/"), 200) << odd.name;
        remove("config", "main");
    }
}

}
