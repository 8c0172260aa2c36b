#include <LibCore/Thread.h>

#include <csignal>

#include <pthread.h>

namespace GraniteField::Core {

namespace {

/// Room for a handler that writes one line, and for the frame that the kernel saves.
constexpr std::size_t s_signal_stack_bytes = 64U << 10U;
constexpr std::size_t s_longest_name = 15;

}

SignalStack::SignalStack()
    : m_memory(std::make_unique_for_overwrite<std::byte[]>(s_signal_stack_bytes))
{
    stack_t stack {};
    stack.ss_sp = m_memory.get();
    stack.ss_size = s_signal_stack_bytes;
    sigaltstack(&stack, nullptr);
}

SignalStack::~SignalStack()
{
    stack_t stack {};
    stack.ss_flags = SS_DISABLE;
    sigaltstack(&stack, nullptr);
}

void set_thread_name(std::string const& name)
{
    pthread_setname_np(pthread_self(), name.substr(0, s_longest_name).c_str());
}

}
