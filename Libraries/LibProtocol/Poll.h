#pragma once

#include <cerrno>
#include <utility>

#include <zmq.hpp>

namespace GraniteField::Protocol {

/// zmq::poll(), except that a wait which a signal interrupts ends early rather than with an exception.
template <typename... Arguments>
void poll(Arguments&&... arguments)
{
    try {
        zmq::poll(std::forward<Arguments>(arguments)...);
    } catch (zmq::error_t const& error) {
        if (error.num() != EINTR)
            throw;
    }
}

}
