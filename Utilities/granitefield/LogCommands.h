#pragma once

#include "Options.h"

namespace GraniteField::CommandLine {

/// `logs REQUEST [FILE...]`: all lines about one request, from the logs of several gateways, in the order of their
/// times. Reads standard input where no file is named.
int run_logs_command(Options const&);

}
