#include <LibTable/Csv.h>
#include <LibTable/Table.h>
#include <LibTable/TablePages.h>

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Table {

namespace {

std::string const s_hash(64, 'a');

Change valid_change()
{
    return {
        {{SheetName::Services, "llm", "kind"}, "model"},
        {{SheetName::Services, "llm", "model"}, "granite"},
        {{SheetName::Classes, "clerk", "tier"}, "1"},
        {{SheetName::Classes, "fraud-note", "floor"}, "10"},
        {{SheetName::Workspaces, "hrubec", "key-hash"}, s_hash},
        {{SheetName::BackendServers, "llm-1", "service"}, "llm"},
        {{SheetName::BackendServers, "llm-1", "side"}, "127.0.0.1:7100"},
    };
}

Core::Findings findings_of(Change const& change)
{
    try {
        static_cast<void>(Table().with(valid_change()).with(change));
    } catch (Core::InvalidInput const& error) {
        return error.findings();
    }
    return {};
}

}

TEST(Table, TakesAChangeWholeAndRaisesItsVersion)
{
    auto const table = Table().with(valid_change());
    EXPECT_EQ(table.version(), Core::TableVersion(1));
    EXPECT_EQ(table.find_class("clerk")->tier, 1U);
    EXPECT_EQ(table.find_model("granite")->name, "llm");
    EXPECT_EQ(table.find_workspace_by_key_hash(s_hash)->name, "hrubec");
}

TEST(Table, NamesEveryFindingWithItsCell)
{
    auto const findings = findings_of({
        {{SheetName::Classes, "clerk", "tier"}, "7"},
        {{SheetName::Classes, "clerk", "first-token"}, "fast"},
        {{SheetName::Classes, "clerk", "colour"}, "red"},
        {{SheetName::BackendServers, "llm-1", "service"}, "nowhere"},
        {{SheetName::BackendServers, "llm-1", "side"}, "localhost:1"},
    });
    ASSERT_EQ(findings.all().size(), 5U) << findings.to_string();
    EXPECT_EQ(findings.all()[0].place, "classes/clerk/tier");
    EXPECT_EQ(findings.all()[1].place, "classes/clerk/first-token");
    EXPECT_EQ(findings.all()[2].place, "classes/clerk/colour");
    EXPECT_EQ(findings.all()[3].place, "backend-servers/llm-1/side");
    EXPECT_EQ(findings.all()[4].place, "backend-servers/llm-1/service");
}

TEST(Table, RejectsWhatWouldNotHoldTogether)
{
    EXPECT_FALSE(findings_of({{{SheetName::Services, "llm", ""}, std::nullopt}}).is_empty());
    EXPECT_FALSE(findings_of({{{SheetName::Classes, "clerk", "floor"}, "45"}}).is_empty());
    EXPECT_FALSE(findings_of({{{SheetName::Workspaces, "pwani", "key-hash"}, s_hash}}).is_empty());
    EXPECT_FALSE(findings_of({{{SheetName::Classes, "no such name!", "tier"}, "1"}}).is_empty());
    EXPECT_FALSE(findings_of({{{SheetName::Classes, "gone", ""}, std::nullopt}}).is_empty());
}

TEST(Table, ReadsBackItsPagesAndItsCsv)
{
    auto const table = Table().with(valid_change());
    EXPECT_EQ(decode_table(encode_table(table)), table);
    for (auto const sheet : s_all_sheets)
        EXPECT_TRUE(difference(table, table.with(read_csv(write_csv(table, sheet), table, sheet))).empty());
}

TEST(Csv, RemovesRowsThatItLacksAndQuotesFields)
{
    auto const table = Table().with(valid_change());
    auto const change = read_csv("name,tier\r\nclerk,2\r\n", table, SheetName::Classes);
    auto const changed = table.with(change);
    EXPECT_EQ(changed.find_class("clerk")->tier, 2U);
    EXPECT_EQ(changed.find_class("fraud-note"), nullptr);
    auto const quoted = table.with({{{SheetName::BackendServers, "llm-1", "failure-domain"}, "hall \"a\", north"}});
    auto const text = write_csv(quoted, SheetName::BackendServers);
    EXPECT_NE(text.find("\"hall \"\"a\"\", north\""), std::string::npos);
    EXPECT_TRUE(difference(quoted, quoted.with(read_csv(text, quoted, SheetName::BackendServers))).empty());
}

RC_GTEST_PROP(Csv, AnyTextIsReadOrRejected, (std::string const& text))
{
    auto const table = Table().with(valid_change());
    try {
        static_cast<void>(table.with(read_csv(text, table, SheetName::Classes)));
    } catch (Core::InvalidInput const& error) {
        RC_ASSERT(!error.findings().is_empty());
    }
}

RC_GTEST_PROP(TablePages, AnyTextIsReadOrRejected, (std::string const& text))
{
    for (auto const& input :
        {text, "{\"version\":1,\"pages\":[" + text + "]}", "{\"sheet\":\"classes\",\"rows\":{\"a\":" + text + "}}"}) {
        try {
            static_cast<void>(decode_table(input));
        } catch (Core::InvalidInput const&) {
        }
        try {
            static_cast<void>(decode_head(input));
        } catch (Core::InvalidInput const&) {
        }
        Change change;
        Core::Findings findings;
        decode_page(input, "page", change, findings);
    }
}

RC_GTEST_PROP(Table, DifferenceLeadsFromOneTableToTheOther, ())
{
    auto const random_change = [] {
        auto change = valid_change();
        auto const count = *rc::gen::inRange(0, 10);
        for (int index = 0; index < count; ++index) {
            auto const row = "row-" + std::to_string(*rc::gen::inRange(0, 5));
            change.push_back({{SheetName::Classes, row, "tier"}, std::to_string(*rc::gen::inRange(1, 7))});
        }
        return change;
    };
    auto const from = Table().with(random_change());
    auto const to = Table().with(random_change());
    RC_ASSERT(difference(from.with(difference(from, to)), to).empty());
}

}
