// granitefieldd: the daemon, in the role that its settings name.
#include "EntryDaemon.h"
#include "GatewayDaemon.h"
#include "SettingsFile.h"
#include "SideDaemon.h"

#include <LibHTTP/HttpClient.h>

#include <csignal>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <optional>
#include <string>

#include <glog/logging.h>
#include <tclap/CmdLine.h>

namespace {

using namespace GraniteField;

constexpr char const* s_version = "0.1.0";
constexpr int s_exit_usage = 2;
/// Bytes from which a block of memory goes back to the system as soon as it is freed.
constexpr int s_returned_block_bytes = 1 << 20;

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

void run_role(
    Settings::DaemonSettings const& settings, Daemon::SignalWait const& wait_for_signal, Daemon::SettingsFile& file)
{
    switch (settings.role) {
    case Settings::Role::Entry:
        return Daemon::run_entry(settings, wait_for_signal);
    case Settings::Role::Side:
        return Daemon::run_side(settings, wait_for_signal);
    case Settings::Role::Gateway:
        return Daemon::run_gateway(settings, wait_for_signal, file);
    }
}

/// Settings that can't be taken leave the start with those from before.
Settings::DaemonSettings read_again(Daemon::SettingsFile& file, Settings::DaemonSettings const& before)
{
    try {
        return file.read();
    } catch (std::exception const& error) {
        LOG(WARNING) << "daemon: the new settings are rejected: " << error.what();
        return before;
    }
}

void run(Daemon::SettingsFile& file, sigset_t const& signals)
{
    return_large_blocks();
    // A caller or a backend server that hangs up must not end the daemon.
    std::signal(SIGPIPE, SIG_IGN);
    Daemon::SignalWait const wait_for_signal = [&signals, &file](Core::Milliseconds limit) {
        auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(limit);
        timespec const time {seconds.count(), std::chrono::nanoseconds(limit - seconds).count()};
        auto const signal = signal_of(sigtimedwait(&signals, nullptr, &time));
        return !signal && file.take_change() ? Daemon::Signal::Reload : signal;
    };
    auto settings = file.wait_and_read(wait_for_signal);
    if (!settings)
        return;
    HTTP::initialize_http_client();
    while (true) {
        try {
            run_role(*settings, wait_for_signal, file);
            return;
        } catch (Daemon::StartInterrupted const& interruption) {
            if (interruption.signal == Daemon::Signal::Stop)
                return;
            settings = read_again(file, *settings);
        }
    }
}
}

int main(int argument_count, char** arguments)
{
    // A signal during the start must wait as well.
    auto const signals = block_signals();
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
        Daemon::SettingsFile file(settings_path.getValue());
        if (should_check.getValue())
            static_cast<void>(file.read());
        else
            run(file, signals);
        return 0;
    } catch (Core::InvalidInput const& error) {
        std::cerr << error.what() << '\n';
        return s_exit_usage;
    } catch (std::exception const& error) {
        LOG(ERROR) << "daemon: " << error.what();
        return 1;
    }
}
