#pragma once

#include <LibCore/Identifiers.h>

#include <string_view>

namespace GraniteField::Observe {

/// From now on a process that ends by a fault or by an exception that nothing catches writes a last line, `crash`, with
/// the signal, the thread and the exception's message. The process then ends by the same signal as without it. Called
/// by the main thread, again at a start that begins over.
void install_crash_report(int descriptor, std::string_view host, Core::Incarnation);

}
