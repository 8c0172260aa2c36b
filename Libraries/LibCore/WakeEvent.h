#pragma once

namespace GraniteField::Core {

/// A descriptor that one thread waits on and others signal (eventfd). Signals that come before the wait
/// are kept; several count as one.
class WakeEvent {
public:
    WakeEvent();
    ~WakeEvent();
    WakeEvent(WakeEvent const&) = delete;
    WakeEvent& operator=(WakeEvent const&) = delete;

    void signal();
    void drain();
    [[nodiscard]] int descriptor() const { return m_descriptor; }

private:
    int m_descriptor {-1};
};

}
