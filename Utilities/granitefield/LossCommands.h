#pragma once

#include "Options.h"

namespace GraniteField::CommandLine {

/// `losses [FILE...]`: where requests were not answered in time, by class, backend server and second, from the logs of
/// several gateways. Reads standard input where no file is named.
int run_losses_command(Options const&);

}
