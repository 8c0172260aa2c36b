#pragma once

#include <fcntl.h>
#include <unistd.h>

namespace GraniteField::Testing {

/// A descriptor that discards what is written to it, for logs. Must be declared before the log in a fixture, so that it
/// is closed after the log's thread has ended.
class NullDescriptor {
public:
    NullDescriptor() = default;
    ~NullDescriptor() { ::close(m_descriptor); }
    NullDescriptor(NullDescriptor const&) = delete;
    NullDescriptor& operator=(NullDescriptor const&) = delete;

    [[nodiscard]] int number() const { return m_descriptor; }

private:
    int m_descriptor {::open("/dev/null", O_WRONLY | O_CLOEXEC)};
};

}
