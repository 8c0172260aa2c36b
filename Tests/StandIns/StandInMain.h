#pragma once

#include <csignal>
#include <cstdint>
#include <iostream>

#include <nlohmann/json.hpp>

namespace GraniteField::StandIns {

/// Blocks the stop signals; for the start of main(), before any thread.
inline sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Says on standard output where the stand-in listens, and waits for the signal to stop.
inline void announce_and_wait(std::uint16_t port, sigset_t const& signals)
{
    std::cout << nlohmann::json {{"listening", {{"http", port}}}}.dump() << '\n' << std::flush;
    int received = 0;
    sigwait(&signals, &received);
}

}
