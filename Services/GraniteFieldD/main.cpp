// granitefieldd: the daemon, in the role that its settings name.
#include "EntryDaemon.h"
#include "GatewayDaemon.h"
#include "SideDaemon.h"

#include <LibHTTP/HttpClient.h>
#include <LibSettings/DaemonSettings.h>

#include <csignal>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <optional>
#include <sstream>
#include <string>

#include <glog/logging.h>
#include <tclap/CmdLine.h>

namespace {

using namespace GraniteField;

constexpr char const* s_version = "0.1.0";
constexpr int s_exit_usage = 2;
/// Bytes from which a block of memory goes back to the system as soon as it is freed.
constexpr int s_returned_block_bytes = 1 << 20;

std::string read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw std::runtime_error("can't read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Blocks the signals that the daemon heeds in all threads, so that one can wait for them.
sigset_t block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

std::optional<Daemon::Signal> signal_of(int number)
{
    if (number == SIGHUP)
        return Daemon::Signal::Reload;
    if (number > 0)
        return Daemon::Signal::Stop;
    return std::nullopt;
}

/// The allocator keeps freed blocks of up to 32 MB for later ones. A large configuration takes several such blocks for
/// a moment on several threads, which would pass the memory of a small host.
void return_large_blocks()
{
    if (mallopt(M_MMAP_THRESHOLD, s_returned_block_bytes) != 1)
        LOG(WARNING) << "daemon: cannot set the size of the blocks that are returned to the system";
}

void run_role(Settings::DaemonSettings const& settings, Daemon::SignalWait const& wait_for_signal,
    Daemon::SettingsSource const& source)
{
    switch (settings.role) {
    case Settings::Role::Entry:
        return Daemon::run_entry(settings, wait_for_signal);
    case Settings::Role::Side:
        return Daemon::run_side(settings, wait_for_signal);
    case Settings::Role::Gateway:
        return Daemon::run_gateway(settings, wait_for_signal, source);
    }
}

void run(Settings::DaemonSettings settings, Daemon::SettingsSource const& source)
{
    auto const signals = block_signals();
    return_large_blocks();
    // A caller or a backend server that hangs up must not end the daemon.
    std::signal(SIGPIPE, SIG_IGN);
    HTTP::initialize_http_client();
    auto const wait_for_signal = [&signals](Core::Milliseconds limit) {
        auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(limit);
        timespec const time {seconds.count(), std::chrono::nanoseconds(limit - seconds).count()};
        return signal_of(sigtimedwait(&signals, nullptr, &time));
    };
    while (true) {
        try {
            run_role(settings, wait_for_signal, source);
            return;
        } catch (Daemon::StartInterrupted const& interruption) {
            if (interruption.signal == Daemon::Signal::Stop)
                return;
            settings = source.read();
        }
    }
}

}

int main(int argument_count, char** arguments)
{
    google::InitGoogleLogging(arguments[0]);
    FLAGS_logtostderr = true;
    try {
        TCLAP::CmdLine command_line(
            "granitefieldd routes language-model traffic with service levels and priorities.", ' ', s_version);
        TCLAP::ValueArg<std::string> settings_path(
            "", "settings", "The JSON file with the daemon's settings.", true, "", "FILE", command_line);
        TCLAP::SwitchArg should_check(
            "", "check", "Only check the settings: prints what is wrong and exits with 2, or with 0.", command_line);
        command_line.parse(argument_count, arguments);
        Daemon::SettingsSource source;
        source.read = [&settings_path] { return Settings::parse_settings(read_file(settings_path.getValue())); };
        source.changed_at = [&settings_path] {
            std::error_code ignored;
            return std::filesystem::last_write_time(settings_path.getValue(), ignored);
        };
        auto const settings = source.read();
        if (should_check.getValue())
            return 0;
        run(settings, source);
        return 0;
    } catch (Core::InvalidInput const& error) {
        std::cerr << error.what() << '\n';
        return s_exit_usage;
    } catch (std::exception const& error) {
        LOG(ERROR) << "daemon: " << error.what();
        return 1;
    }
}
