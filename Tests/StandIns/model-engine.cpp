#include "ModelEngine.h"
#include "StandInMain.h"

#include <tclap/CmdLine.h>
#include <unistd.h>

using namespace GraniteField;

int main(int argument_count, char** arguments)
{
    auto const signals = StandIns::block_stop_signals();
    TCLAP::CmdLine command_line("A stand-in for a model engine.");
    TCLAP::ValueArg<std::string> address(
        "", "address", "Where to listen.", false, "127.0.0.1:0", "ADDRESS", command_line);
    TCLAP::ValueArg<unsigned> slots("", "slots", "Sequences generated at once.", false, 8, "COUNT", command_line);
    TCLAP::ValueArg<unsigned> step(
        "", "step-us", "Time of a step, in microseconds.", false, 2000, "MICROSECONDS", command_line);
    TCLAP::ValueArg<unsigned> per_sequence(
        "", "step-per-sequence-us", "What each sequence adds to a step.", false, 100, "MICROSECONDS", command_line);
    TCLAP::ValueArg<unsigned> prefill("", "prefill-us", "Time for each token of a prompt that is not cached.", false,
        20, "MICROSECONDS", command_line);
    command_line.parse(argument_count, arguments);
    StandIns::BatchEngine::Settings settings;
    settings.slots = slots.getValue();
    settings.step = Core::Microseconds(step.getValue());
    settings.step_per_sequence = Core::Microseconds(per_sequence.getValue());
    settings.prefill_per_token = Core::Microseconds(prefill.getValue());
    StandIns::ModelEngine const engine(*Core::Address::from_string(address.getValue()), settings);
    StandIns::announce_and_wait(engine.port(), signals);
    // Streams under way would hold up an orderly end; an engine that is stopped breaks them off.
    ::_exit(0);
}
