// What a gateway answers that knows that it does not have the newest table.
//
// What users saw: 404 and 401 for routes and keys that had been added and confirmed. Callers take these as final and do
// not come back. Order of events: another gateway tells, with the datagrams about load, that a newer version is in
// force there; this one goes on refusing by its own for as long as the newer one takes to come. Evidence: the log's
// line of such a refusal names a newest known version above its own.
#include "GatewayFixture.h"

#include <LibEntry/WatchElection.h>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

class Behind : public GatewayFixture {
protected:
    Behind()
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

TEST_F(Behind, ARouteThatANewerTableMayHaveIsNotRefusedByTheOldOne)
{
    report_version(2);
    auto const caller = call(request("GET", "/added/"));
    add_route("added", {{"path-prefix", "/added/"}});
    // The request has come by the time the next one is answered.
    EXPECT_EQ(answer_of(request("GET", "/plain/")).status, 200);
    apply_table(2);
    EXPECT_EQ(caller->read_answer().status, 200);
}

TEST_F(Behind, AKeyThatANewerTableMayHaveIsNotRefusedByTheOldOne)
{
    report_version(2);
    auto const caller = call(request("GET", "/keyed/", "Authorization: Bearer added\r\n"));
    set(Table::SheetName::Workspaces, "added", {{"key-hash", Core::sha256_hex("added")}});
    EXPECT_EQ(answer_of(request("GET", "/plain/")).status, 200);
    apply_table(2);
    EXPECT_EQ(caller->read_answer().status, 200);
}

TEST_F(Behind, WhatTheNewerTableDoesNotHaveEitherIsRefusedByIt)
{
    report_version(2);
    auto const caller = call(request("GET", "/nowhere/"));
    EXPECT_EQ(answer_of(request("GET", "/plain/")).status, 200);
    apply_table(2);
    EXPECT_EQ(caller->read_answer().status, 404);
}

TEST_F(Behind, WhereTheNewerTableDoesNotComeTheCallerIsToldWhenToComeBack)
{
    report_version(2);
    auto const begun = Core::monotonic_now();
    auto const answer = answer_of(request("GET", "/added/"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(field_of(answer.head, "Retry-After").has_value());
    // Given up, the request is answered: half a second is what a request before the first table waits.
    EXPECT_LE(Core::elapsed(begun, Core::monotonic_now()), 1s);
}

TEST_F(Behind, WhoKnowsOfNothingNewerRefusesAtOnce)
{
    EXPECT_EQ(answer_of(request("GET", "/nowhere/")).status, 404);
    report_version(1);
    EXPECT_EQ(answer_of(request("GET", "/nowhere/")).status, 404);
}

}
