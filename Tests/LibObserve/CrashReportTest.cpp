// A process that ends by itself leaves a line that says why.
#include <LibCore/Thread.h>
#include <LibObserve/CrashReport.h>

#include <cstdlib>
#include <stdexcept>
#include <unistd.h>

#include <gtest/gtest.h>

namespace GraniteField::Observe {

namespace {

/// Uses up the stack of its thread long before it returns.
[[gnu::noinline]] int recurse(int volatile* last)
{
    constexpr int never_reached = 1'000'000'000;
    int volatile local = *last + 1;
    return local == never_reached ? 0 : recurse(&local) + local;
}

void crash_in_thread(void (*body)())
{
    install_crash_report(STDERR_FILENO, "g-1", Core::Incarnation(1));
    Core::start_thread("watch servers", body).join();
}

}

TEST(CrashReportDeathTest, NamesTheThreadWhoseStackIsUsedUp)
{
    auto const overflow = [] {
        int volatile first = 0;
        recurse(&first);
    };
    EXPECT_EXIT(crash_in_thread(overflow), ::testing::KilledBySignal(SIGSEGV),
        R"("host":"g-1".*"event":"crash","signal":"SIGSEGV","thread":"watch servers")");
}

TEST(CrashReportDeathTest, TellsTheExceptionThatLeavesAThread)
{
    EXPECT_EXIT(crash_in_thread([] { throw std::runtime_error("no \"descriptor\" left"); }),
        ::testing::KilledBySignal(SIGABRT),
        R"("event":"crash","signal":"SIGABRT","thread":"watch servers","reason":"no  descriptor  left")");
}

}
