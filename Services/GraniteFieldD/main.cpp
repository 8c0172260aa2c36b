// granitefieldd: the daemon, in the role that its settings name.
#include "EntryDaemon.h"
#include "SideDaemon.h"

#include <LibHTTP/HttpClient.h>
#include <LibSettings/DaemonSettings.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <glog/logging.h>
#include <tclap/CmdLine.h>

namespace {

constexpr char const* s_version = "0.1.0";
constexpr int s_exit_usage = 2;

std::string read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw std::runtime_error("can't read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Blocks the signals that end the daemon in all threads, so that one can wait for them.
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int run(GraniteField::Settings::DaemonSettings const& settings)
{
    auto const signals = block_stop_signals();
    // A caller or a backend server that hangs up must not end the daemon.
    std::signal(SIGPIPE, SIG_IGN);
    GraniteField::HTTP::initialize_http_client();
    auto const wait_for_stop = [&signals] {
        int received = 0;
        sigwait(&signals, &received);
    };
    if (settings.role == GraniteField::Settings::Role::Entry)
        GraniteField::Daemon::run_entry(settings, wait_for_stop);
    else
        GraniteField::Daemon::run_side(settings, wait_for_stop);
    return 0;
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
        auto const settings = GraniteField::Settings::parse_settings(read_file(settings_path.getValue()));
        if (should_check.getValue())
            return 0;
        return run(settings);
    } catch (GraniteField::Core::InvalidInput const& error) {
        std::cerr << error.what() << '\n';
        return s_exit_usage;
    } catch (std::exception const& error) {
        LOG(ERROR) << "daemon: " << error.what();
        return 1;
    }
}
