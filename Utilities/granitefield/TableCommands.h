#pragma once

#include "Options.h"

namespace GraniteField::CommandLine {

/// `table show|get|set|unset|remove|export|import|history|check`: the operators' table as a spreadsheet on
/// a terminal. Gives the exit code.
int run_table_command(Options const&);

/// `drain` and `undrain BACKEND-SERVER...`: marks rows as leaving or serving.
int run_drain_command(Options const&, std::string const& state);

}
