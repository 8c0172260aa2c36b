// Guards against 404 and 401 for routes and keys that have been added and confirmed, which callers take as final and
// don't retry.
//
// Another gateway reports, in the load datagrams, that a newer table version is in force there; this gateway kept
// refusing by its own version until the newer one arrived. The log line of such a refusal names a newest known version
// above its own.
#include "GatewayFixture.h"

#include <LibEntry/WatchElection.h>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

class OutdatedTable : public GatewayFixture {
protected:
    OutdatedTable()
    {
        add_backend("i-1",
            [](auto& connection, auto const& request, auto) { connection.write(answer_to(request, 200, "fine")); });
        start();
    }

    void report_version(unsigned version)
    {
        auto const now = Core::monotonic_now();
        m_duty.note_report({now, now, {Core::TableVersion(version), {}, {}}}, now);
    }

    void apply_table(unsigned version)
    {
        auto table = Table::Table().with(m_change);
        table.set_version(Core::TableVersion(version));
        m_table.offer(std::move(table));
        m_gateway->wake();
    }
};

}

TEST_F(OutdatedTable, WaitsForTheNewerTableBeforeRefusingARoute)
{
    report_version(2);
    auto const caller = call(request("GET", "/added/"));
    add_route("added", {{"path-prefix", "/added/"}});
    // The request has been received by the time the next one is answered.
    EXPECT_EQ(answer_of(request("GET", "/plain/")).status, 200);
    apply_table(2);
    EXPECT_EQ(caller->read_answer().status, 200);
}

TEST_F(OutdatedTable, WaitsForTheNewerTableBeforeRefusingAKey)
{
    report_version(2);
    auto const caller = call(request("GET", "/keyed/", "Authorization: Bearer added\r\n"));
    set(Table::SheetName::Workspaces, "added", {{"key-hash", Core::sha256_hex("added")}});
    EXPECT_EQ(answer_of(request("GET", "/plain/")).status, 200);
    apply_table(2);
    EXPECT_EQ(caller->read_answer().status, 200);
}

TEST_F(OutdatedTable, RefusesARouteThatTheNewerTableLacks)
{
    report_version(2);
    auto const caller = call(request("GET", "/nowhere/"));
    EXPECT_EQ(answer_of(request("GET", "/plain/")).status, 200);
    apply_table(2);
    EXPECT_EQ(caller->read_answer().status, 404);
}

TEST_F(OutdatedTable, AnswersRetryAfterIfTheNewerTableDoesNotArrive)
{
    report_version(2);
    auto const started = Core::monotonic_now();
    auto const answer = answer_of(request("GET", "/added/"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(field_of(answer.head, "Retry-After").has_value());
    // A request is abandoned and answered after half a second, like a request before the first table.
    EXPECT_LE(Core::elapsed(started, Core::monotonic_now()), 1s);
}

TEST_F(OutdatedTable, RefusesAtOnceWithoutANewerTable)
{
    EXPECT_EQ(answer_of(request("GET", "/nowhere/")).status, 404);
    report_version(1);
    EXPECT_EQ(answer_of(request("GET", "/nowhere/")).status, 404);
}

}
