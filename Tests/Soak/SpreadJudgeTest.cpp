// The judge of the soak that changes configurations: who is in touch, which versions a request may be handled by, and
// the settings that gateways are deployed with.
#include "ConfigurationTrail.h"
#include "ContactBook.h"
#include "SettingsTemplate.h"

#include <stdexcept>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_start {1h};
constexpr Core::Milliseconds s_bound {3'000};

void fill(ConfigurationTrail& trail)
{
    trail.note_sent({1, {"/a/"}, {"k-1"}, "svc-a"}, s_start);
    trail.note_acknowledged(1, s_start);
    trail.note_sent({4, {"/a/", "/b/"}, {"k-1", "k-2"}, "svc-b"}, s_start + 1s);
    trail.note_acknowledged(4, s_start + 2s);
    trail.note_sent({5, {"/b/"}, {"k-2"}, "svc-b"}, s_start + 3s);
}

Sighting path(std::string const& name, bool is_known, Core::Milliseconds at)
{
    return {Sighting::Kind::Path, name, is_known, s_start + at, s_start + at + 5ms};
}

}

TEST(ContactBook, IsInTouchAfterTheContactTimeWithoutDisturbance)
{
    ContactBook book({4s, 6s}, 2);
    auto const number = book.begin_gateway(0, "freeze", s_start);
    EXPECT_FALSE(book.stretch(0, s_start + 10s, s_start + 10s));
    EXPECT_EQ(book.stretch(1, s_start + 10s, s_start + 10s), 0ms);
    book.end_gateway(0, number, s_start + 10s);
    EXPECT_FALSE(book.stretch(0, s_start + 14s, s_start + 14s));
    EXPECT_EQ(book.stretch(0, s_start + 14s + 1ms, s_start + 14s + 1ms), 0ms);
    // What begins before the answer has come counts as well.
    book.begin_gateway(1, "cut", s_start + 20s);
    EXPECT_FALSE(book.stretch(1, s_start + 19s, s_start + 20s));
    EXPECT_EQ(book.stretch(1, s_start + 18s, s_start + 19s), 0ms);
}

TEST(ContactBook, AnUnstableStoreStretchesAndOneThatIsAwaySuspends)
{
    ContactBook book({4s, 6s}, 1);
    auto const unstable = book.begin_store(ContactBook::StoreTrouble::Unstable, "held", s_start);
    book.end_store(unstable, s_start + 1s);
    EXPECT_EQ(book.stretch(0, s_start + 5s, s_start + 5s), 6s);
    EXPECT_EQ(book.stretch(0, s_start + 6s, s_start + 6s), 0s);
    auto const away = book.begin_store(ContactBook::StoreTrouble::Away, "down", s_start + 10s);
    book.end_store(away, s_start + 11s);
    EXPECT_FALSE(book.stretch(0, s_start + 12s, s_start + 12s));
    EXPECT_TRUE(book.is_undisturbed(0, s_start + 12s, s_start + 12s));
}

TEST(ConfigurationTrail, AVersionHoldsTheBoundAfterItsAcknowledgement)
{
    ConfigurationTrail trail;
    fill(trail);
    EXPECT_EQ(trail.oldest_in_force(s_start + 1s, s_bound), 0U);
    EXPECT_EQ(trail.oldest_in_force(s_start + 3s + 1ms, s_bound), 1U);
    EXPECT_EQ(trail.oldest_in_force(s_start + 5s, s_bound), 1U);
    EXPECT_EQ(trail.oldest_in_force(s_start + 5s + 1ms, s_bound), 4U);
    // One that the store has not answered binds nobody.
    EXPECT_EQ(trail.oldest_in_force(s_start + 1h, s_bound), 4U);
}

TEST(ConfigurationTrail, ASightingAgreesWithVersionsThatSaySo)
{
    ConfigurationTrail trail;
    fill(trail);
    EXPECT_FALSE(trail.versions_of(path("/b/", false, 10s), 4));
    EXPECT_EQ(trail.versions_of(path("/b/", true, 10s), 0), std::pair(4U, 5U));
    // The newest was sent at 3 s: before that nobody can have gone by it.
    EXPECT_FALSE(trail.versions_of(path("/a/", false, 2s), 1));
    EXPECT_EQ(trail.versions_of(path("/a/", false, 4s), 1), std::pair(5U, 5U));
    Sighting const moved {Sighting::Kind::Service, "svc-a", true, s_start + 9s, s_start + 9s};
    EXPECT_FALSE(trail.versions_of(moved, 4));
    Sighting const taken {Sighting::Kind::Key, "k-1", false, s_start + 9s, s_start + 9s};
    EXPECT_EQ(trail.versions_of(taken, 4), std::pair(5U, 5U));
}

TEST(SettingsTemplate, FillsGapsAndSections)
{
    nlohmann::json const fields {{"name", "g"}, {"ports", {7, 8}}, {"inner", {{"x", 1.5}}}, {"none", nullptr}};
    EXPECT_EQ(fill_template("{{name}}:{{ports.1}} {{name|json}} {{inner.x}}", fields), "g:8 \"g\" 1.5");
    EXPECT_EQ(fill_template("[{{#ports}}\"{{.}}\"{{,}}{{/ports}}]", fields), "[\"7\",\"8\"]");
    EXPECT_EQ(fill_template("{{#inner.x}}given{{/inner.x}}{{#none}}not{{/none}}", fields), "given");
    EXPECT_THROW(static_cast<void>(fill_template("{{#ports}}", fields)), std::runtime_error);
}

}
