#include "PlatformServer.h"
#include "StandInMain.h"

#include <tclap/CmdLine.h>
#include <unistd.h>

using namespace GraniteField;

int main(int argument_count, char** arguments)
{
    auto const signals = StandIns::block_stop_signals();
    TCLAP::CmdLine command_line("A stand-in for a platform.");
    TCLAP::ValueArg<std::string> address(
        "", "address", "Where to listen.", false, "127.0.0.1:0", "ADDRESS", command_line);
    command_line.parse(argument_count, arguments);
    StandIns::PlatformServer const platform(*Core::Address::from_string(address.getValue()));
    StandIns::announce_and_wait(platform.port(), signals);
    ::_exit(0);
}
