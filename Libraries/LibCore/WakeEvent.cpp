#include <LibCore/WakeEvent.h>

#include <cerrno>
#include <cstdint>
#include <system_error>

#include <sys/eventfd.h>
#include <unistd.h>

namespace GraniteField::Core {

WakeEvent::WakeEvent()
    : m_descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
}

WakeEvent::~WakeEvent()
{
    ::close(m_descriptor);
}

void WakeEvent::signal()
{
    std::uint64_t const one = 1;
    // NOTE: The write fails only when the counter is full, and then the reader is already due to wake.
    [[maybe_unused]] auto const written = ::write(m_descriptor, &one, sizeof one);
}

void WakeEvent::drain()
{
    std::uint64_t count = 0;
    [[maybe_unused]] auto const got = ::read(m_descriptor, &count, sizeof count);
}

}
