#pragma once

#include "Options.h"

namespace GraniteField::CommandLine {

/// `status`: what the daemons given with --daemon say of themselves. Gives the exit code.
int run_status_command(Options const&);

/// `quarantine`: the requests that are held back for crashing backend servers, as the daemons given with --daemon know
/// them. `release DIGEST`: lets one go; any one gateway tells the others. Both give the exit code.
int run_quarantine_command(Options const&);
/// `shares`: the services with a shortage, and what workspaces request and are admitted, as the gateways given with
/// --daemon know it.
int run_shares_command(Options const&);
int run_release_command(Options const&);

/// `explain REQUEST`: what the daemons decided about a request, in the order of time.
int run_explain_command(Options const&);

}
