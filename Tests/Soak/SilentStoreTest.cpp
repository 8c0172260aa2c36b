// Servers that leave while the store is silent to the gateways that watch it.
#include "LeavingServers.h"

namespace GraniteField::Testing {

using namespace std::chrono_literals;

TEST_F(LeavingServers, GetNoRequestsAfterTheBoundWhenTheStoreIsSilentToAllWatchers)
{
    expect_left_alone([](SpreadSoak& soak) {
        soak.pass(5s);
        // The waits of all watches start together after a change.
        soak.change_configuration();
        soak.let_server_leave("svc-b", SpreadSoak::Leaving::Stated);
        soak.pass(700ms);
        soak.silence_store_for_watchers(s_down);
        soak.let_server_leave("svc-b", SpreadSoak::Leaving::EntryRemoved);
        soak.let_server_leave("svc-a", SpreadSoak::Leaving::Stated);
        soak.pass(7s);
    });
}

}
