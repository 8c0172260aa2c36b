// Servers that leave while the gateways that watch the store die.
#include "LeavingServers.h"

namespace GraniteField::Testing {

using namespace std::chrono_literals;

TEST_F(LeavingServers, GetNoRequestsAfterTheBoundWhenAllWatchersDieAsTheEntryIsRemoved)
{
    expect_left_alone([](SpreadSoak& soak) {
        soak.pass(5s);
        soak.lose_watchers(s_down);
        soak.let_server_leave("svc-a", SpreadSoak::Leaving::EntryRemoved);
        soak.pass(7s);
    });
}

TEST_F(LeavingServers, GetNoRequestsAfterTheBoundWhenTheNextWatchersDieAsWell)
{
    expect_left_alone([](SpreadSoak& soak) {
        soak.pass(5s);
        soak.lose_watchers(s_down);
        soak.let_server_leave("svc-b", SpreadSoak::Leaving::EntryRemoved);
        soak.let_server_leave("svc-a", SpreadSoak::Leaving::Stated);
        soak.pass(1'500ms);
        soak.lose_watchers(s_down);
        soak.pass(6s);
    });
}

}
