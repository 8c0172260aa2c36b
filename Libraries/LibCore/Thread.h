#pragma once

#include <concepts>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace GraniteField::Core {

/// A stack of its own for the signal handlers of the thread that creates it: a handler that runs after the thread has
/// used up its own stack needs one. Destroyed by the same thread.
class SignalStack {
public:
    SignalStack();
    ~SignalStack();
    SignalStack(SignalStack const&) = delete;
    SignalStack& operator=(SignalStack const&) = delete;

private:
    std::unique_ptr<std::byte[]> m_memory;
};

/// Names the calling thread for the operating system, which keeps the first 15 bytes.
void set_thread_name(std::string const& name);

/// Starts a thread with a name and a stack for signal handlers.
[[nodiscard]] std::thread start_thread(std::string name, std::invocable auto body)
{
    return std::thread([name = std::move(name), body = std::move(body)]() mutable {
        set_thread_name(name);
        SignalStack const stack;
        body();
    });
}

}
