// The handle of a test's program: whom its signals reach.
#include "Process.h"

#include <LibCore/Text.h>

#include <fstream>
#include <string>
#include <thread>
#include <utility>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

Process sleeper()
{
    return Process("/bin/sleep", {"30"});
}

/// The state of a process as the kernel names it: `T` for a stopped one.
char state_of(pid_t id)
{
    std::ifstream file(Core::concat("/proc/", id, "/stat"));
    std::string const text(std::istreambuf_iterator<char>(file), {});
    return text.at(text.rfind(')') + 2);
}

void wait_until_stopped(pid_t id)
{
    while (state_of(id) != 'T')
        std::this_thread::yield();
}

}

// kill(-1) signals every process of the machine. A test that killed a program which had just crashed would have ended
// all of them; SIGCONT shows the same without harm.
TEST(Process, SendsNoSignalOnceItsProgramHasEnded)
{
    auto const stopped = sleeper();
    stopped.freeze();
    wait_until_stopped(stopped.id());
    Process ended("/bin/true", {});
    EXPECT_EQ(ended.wait(), 0);
    ended.thaw();
    EXPECT_EQ(state_of(stopped.id()), 'T');
}

// The same for a handle whose program another handle has taken over.
TEST(Process, SendsNoSignalOnceMovedFrom)
{
    auto const stopped = sleeper();
    stopped.freeze();
    wait_until_stopped(stopped.id());
    auto first = sleeper();
    auto const second = std::move(first);
    first.thaw(); // NOLINT(bugprone-use-after-move,clang-analyzer-cplusplus.Move): the test is about that.
    EXPECT_EQ(state_of(stopped.id()), 'T');
}

}
