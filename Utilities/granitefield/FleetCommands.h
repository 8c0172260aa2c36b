#pragma once

#include "Options.h"

namespace GraniteField::CommandLine {

/// `status`: what the daemons given with --daemon say of themselves. Gives the exit code.
int run_status_command(Options const&);

/// `explain REQUEST`: what the daemons decided about a request, in the order of time.
int run_explain_command(Options const&);

}
