// Processes that start while something that they need is missing.
#include "GatewayFleet.h"

#include <LibCore/Text.h>

#include <filesystem>
#include <fstream>
#include <system_error>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace GraniteField::Testing {

namespace {

/// A port of 127.0.0.1 that this test holds until release().
class HeldPort {
public:
    explicit HeldPort(int type)
        : m_socket(::socket(AF_INET, type | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        bool const is_bound = ::bind(m_socket, generic, size) == 0
            && (type != SOCK_STREAM || ::listen(m_socket, 1) == 0) && ::getsockname(m_socket, generic, &size) == 0;
        if (!is_bound)
            throw std::system_error(errno, std::generic_category(), "bind");
        m_port = ntohs(address.sin_port);
    }
    ~HeldPort() { release(); }
    HeldPort(HeldPort const&) = delete;
    HeldPort& operator=(HeldPort const&) = delete;

    void release()
    {
        if (m_socket >= 0)
            ::close(std::exchange(m_socket, -1));
    }
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] std::string address() const { return Core::concat("127.0.0.1:", m_port); }

private:
    int m_socket;
    std::uint16_t m_port {0};
};

class Start : public ::testing::Test, protected GatewayFleet {
protected:
    /// Waits until the program reports the text, or has ended.
    static bool reports(Process& process, std::string const& text)
    {
        return wait_until([&] { return process.has_reported(text) || !process.is_running(); })
            && process.has_reported(text) && process.is_running();
    }

    [[nodiscard]] Json make_other_settings(Json settings) const
    {
        settings.update({{"name", "p-1"}, {"failure-domain", "here"}, {"region", "r"}});
        return settings;
    }

    [[nodiscard]] Json make_side_settings() const
    {
        return make_other_settings(
            {{"role", "side"}, {"operator-address", "127.0.0.1:0"}, {"link-address", "127.0.0.1:0"},
                {"backend-server", {{"name", "i-1"}, {"service", "svc"}, {"address", "127.0.0.1:9"}}}});
    }

    [[nodiscard]] Json make_entry_settings() const
    {
        return make_other_settings({{"role", "entry"}, {"operator-address", "127.0.0.1:0"},
            {"callers", {{"address", "127.0.0.1:0"}}}, {"peers", {{"address", "127.0.0.1:0"}}},
            {"platform", {{"address", Core::concat("127.0.0.1:", platform_port())}}}});
    }

    /// The role must start with that address once it is free.
    void expect_wait_for(Json settings, std::string const& pointer, int type = SOCK_STREAM)
    {
        SCOPED_TRACE(settings.at("role").get<std::string>() + pointer);
        HeldPort held(type);
        settings[Json::json_pointer(pointer)] = held.address();
        auto const process = launch(settings, Process::Errors::Kept);
        ASSERT_TRUE(reports(*process, Core::concat("waiting to listen on ", held.address())));
        held.release();
        EXPECT_FALSE(process->wait_for_announcement().empty());
        EXPECT_TRUE(process->has_reported(Core::concat("listening on ", held.address())));
    }

    /// The role must start although its operators' port is held, and take the port once it is free.
    void expect_start_without_operators(Json settings)
    {
        SCOPED_TRACE(settings.at("role").get<std::string>());
        HeldPort held(SOCK_STREAM);
        settings["operator-address"] = held.address();
        auto const process = launch(settings, Process::Errors::Kept);
        EXPECT_EQ(process->wait_for_announcement().at("operator"), held.port());
        held.release();
        ASSERT_TRUE(reports(*process, Core::concat("listening on ", held.address())));
        EXPECT_EQ(send_request(held.port(), "GET", "/healthz", "").status, 200);
    }
};

}

TEST_F(Start, GatewayDoesNotEndWhileOneOfItsPortsIsHeld)
{
    for (std::string const pointer : {"/callers-address", "/readiness-address", "/peers/address"})
        expect_wait_for(make_settings("g-1"), pointer);
    expect_wait_for(make_settings("g-1"), "/load-address", SOCK_DGRAM);
}

TEST_F(Start, EntryAndSideDoNotEndWhileOneOfTheirPortsIsHeld)
{
    expect_wait_for(make_entry_settings(), "/callers/address");
    expect_wait_for(make_entry_settings(), "/peers/address");
    expect_wait_for(make_side_settings(), "/link-address");
}

TEST_F(Start, ServesWhileTheOperatorsPortIsHeld)
{
    expect_start_without_operators(make_settings("g-1"));
    expect_start_without_operators(make_entry_settings());
    expect_start_without_operators(make_side_settings());
}

TEST_F(Start, LogsTheWaitForAPortOnceAndServesAfterIt)
{
    FakeBackend const backend("i-1", good());
    put_configuration(1, "/a/");
    put_server(backend);
    HeldPort held(SOCK_STREAM);
    auto settings = make_settings("g-1");
    settings["callers-address"] = held.address();
    auto process = launch(settings, Process::Errors::Kept);
    ASSERT_TRUE(reports(*process, "waiting to listen on"));
    held.release();
    auto const gateway = wait_for_announcement(std::move(process));
    EXPECT_EQ(gateway.callers, held.port());
    ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
    EXPECT_EQ(ask(gateway, "/a/"), 200);
    auto const line = Core::concat(R"("event":"listen-waiting","address":")", held.address(), "\"");
    EXPECT_TRUE(wait_until([&] { return gateway.process->has_printed(R"("event":"listen-begun")"); }));
    EXPECT_TRUE(gateway.process->has_printed(line));
}

TEST_F(Start, EndsOrderlyWhenToldToStopWhileAPortIsHeld)
{
    HeldPort const held(SOCK_STREAM);
    for (std::string const pointer : {"/callers-address", "/peers/address", "/operator-address"}) {
        auto settings = make_settings("g-1");
        settings[Json::json_pointer(pointer)] = held.address();
        auto const process = launch(settings, Process::Errors::Kept);
        ASSERT_TRUE(reports(*process, "waiting to listen on"));
        process->terminate();
        EXPECT_EQ(process->wait(), 0);
    }
}

TEST_F(Start, WaitsForAnAddressThatTheHostDoesNotHaveYet)
{
    auto settings = make_settings("g-1");
    settings["callers-address"] = "192.0.2.1:8080";
    auto const process = launch(settings, Process::Errors::Kept);
    ASSERT_TRUE(reports(*process, "waiting to listen on 192.0.2.1:8080"));
    process->terminate();
    EXPECT_EQ(process->wait(), 0);
}

TEST_F(Start, TakesChangedSettingsWhileAPortIsHeld)
{
    HeldPort const held(SOCK_STREAM);
    auto settings = make_settings("g-1");
    settings["callers-address"] = held.address();
    auto const process = launch(settings, Process::Errors::Kept);
    ASSERT_TRUE(reports(*process, "waiting to listen on"));
    write_settings(make_settings("g-1"));
    process->hang_up();
    EXPECT_FALSE(process->wait_for_announcement().empty());
}

TEST_F(Start, ShowsMemoryAndDescriptorsOfTheProcess)
{
    constexpr std::uint64_t min_resident_bytes = 1U << 20U;
    auto const gateway = start("g-1");
    EXPECT_GT(metric(gateway, "granitefield_process_resident_bytes"), min_resident_bytes);
    auto const before = metric(gateway, "granitefield_process_open_descriptors");
    constexpr std::size_t connection_count = 20;
    std::vector<std::unique_ptr<RawCaller>> callers;
    while (callers.size() < connection_count)
        callers.push_back(std::make_unique<RawCaller>(gateway.callers));
    EXPECT_TRUE(wait_until(
        [&] { return metric(gateway, "granitefield_process_open_descriptors") > before + connection_count / 2; }));
}

TEST_F(Start, DoesNotEndWhileItsSettingsAreHalfWrittenOrMissing)
{
    auto const settings = make_settings("g-1");
    auto const path = write_settings(settings);
    auto const whole = settings.dump();
    for (std::string const& text : {whole.substr(0, whole.size() / 2), std::string()}) {
        std::ofstream(path) << text;
        auto const process = launch_from(path, Process::Errors::Kept);
        ASSERT_TRUE(reports(*process, "waiting for the settings"));
        std::ofstream(path) << whole;
        EXPECT_FALSE(process->wait_for_announcement().empty());
    }
    std::filesystem::remove(path);
    auto const process = launch_from(path, Process::Errors::Kept);
    ASSERT_TRUE(reports(*process, "waiting for the settings"));
    std::ofstream(path) << whole;
    EXPECT_FALSE(process->wait_for_announcement().empty());
}

TEST_F(Start, EndsOrderlyWhenToldToStopWhileItsSettingsAreMissing)
{
    auto const path = (directory() / "missing.json").string();
    auto const process = launch_from(path, Process::Errors::Kept);
    ASSERT_TRUE(reports(*process, "waiting for the settings"));
    process->terminate();
    EXPECT_EQ(process->wait(), 0);
}

TEST_F(Start, TakesSettingsThatWereHalfWrittenAtTheReloadAndHaveTheSameTimeOfChange)
{
    auto settings = make_settings("g-1");
    auto const gateway = start_with(settings);
    auto const path = write_settings(settings);
    auto const half = settings.dump().substr(0, settings.dump().size() / 2);
    std::ofstream(path) << half;
    gateway.process->hang_up();
    ASSERT_TRUE(wait_until([&] { return gateway.process->has_printed(R"("outcome":"rejected")"); }));
    auto const changed_at = std::filesystem::last_write_time(path);
    settings["drain-notice"] = "200ms";
    write_settings(settings);
    std::filesystem::last_write_time(path, changed_at);
    EXPECT_TRUE(wait_until([&] { return gateway.process->has_printed(R"("outcome":"done")"); }));
}

TEST_F(Start, DoesNotEndByAReloadOfValuesThatAreOutOfRange)
{
    auto settings = make_settings("g-1");
    auto const gateway = start_with(settings);
    for (Json const& value : {Json("-5s"), Json(1e300), Json(nullptr), Json("99999999999999999999s")}) {
        settings["drain-limit"] = value;
        write_settings(settings);
        gateway.process->hang_up();
    }
    std::filesystem::remove(directory() / "g-1.json");
    gateway.process->hang_up();
    ASSERT_TRUE(wait_until([&] { return gateway.process->has_printed("can't read"); }));
    EXPECT_TRUE(gateway.process->is_running());
    EXPECT_FALSE(is_ready(gateway));
}

}
