// Tests in simulated time that a resumed stream is resolved to the version that began it, or to none, whatever gateways
// are killed and whichever lists of servers they act on.
#include <LibCore/Text.h>
#include <LibGateway/StreamOriginSharing.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Gateway {

namespace {

using namespace std::chrono_literals;
using Status = StreamOriginSharing::Status;

Core::MonotonicTime const s_start {1h};
constexpr Core::Milliseconds s_step {25};
constexpr Core::Milliseconds s_tick {50};
/// Period in which a resumed stream may have begun.
constexpr Core::Milliseconds s_period {20'000};
/// Time within which most callers resume a stream.
constexpr Core::Milliseconds s_usual_delay {5'000};
/// Time for which gateways are cut off or stand still.
constexpr Core::Milliseconds s_cut_time {5'000};

using Versions = std::vector<std::string>;

Entry::ServerList list_of(Versions const& versions, std::uint64_t revision)
{
    Entry::ServerList list;
    list.revision = Entry::ListRevision(revision);
    for (auto const& version : versions) {
        Entry::ServerEntry entry;
        entry.instance = Core::concat("i-", version);
        entry.service = "svc";
        entry.software_version = version;
        list.servers.push_back(entry);
    }
    return list;
}

class StreamFleet : public ::testing::Test {
protected:
    struct Node {
        std::string address;
        std::unique_ptr<ListConfirmation> confirmation {std::make_unique<ListConfirmation>()};
        StreamOriginSharing streams {nullptr, confirmation.get()};
        Versions versions;
        std::uint64_t revision {0};
        bool is_alive {true};
        /// Whether changes of the list of servers do not reach the gateway, or later than answers of the store.
        bool is_stale {false};
        /// Whether the process stands still. What it receives meanwhile waits for it.
        bool is_frozen {false};
        /// Gateways of different parts do not reach each other.
        int part {0};
        bool has_store {true};
    };

    void create(std::size_t count, Versions const& versions)
    {
        for (std::size_t number = 0; number < count; ++number) {
            m_nodes.push_back(std::make_unique<Node>());
            m_nodes.back()->address = Core::concat("10.0.0.", number, ":1");
        }
        for (std::size_t number = 0; number < count; ++number)
            connect(number);
        publish(versions);
    }

    void connect(std::size_t number)
    {
        Entry::LoadMembers members;
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other != number)
                members.peers.push_back({m_nodes[other]->address, "here", 100, other});
        }
        m_nodes[number]->streams.set_members(members);
    }

    void publish(Versions const& versions)
    {
        m_versions = versions;
        ++m_revision;
        for (auto& node : m_nodes) {
            if (node->is_alive && !node->is_stale && !node->is_frozen)
                apply_list(*node);
        }
    }

    /// Cuts gateways off from the store and from all others.
    void part(std::vector<std::size_t> const& numbers)
    {
        for (auto const number : numbers) {
            m_nodes[number]->part = 1;
            m_nodes[number]->is_stale = true;
            m_nodes[number]->has_store = false;
        }
    }

    void freeze(std::vector<std::size_t> const& numbers)
    {
        for (auto const number : numbers)
            m_nodes[number]->is_frozen = true;
    }

    /// A second version joins while gateways stand still, and a stream begins there at a gateway that ends.
    void release_during_stall(std::vector<std::size_t> const& numbers)
    {
        create(3, {"v1"});
        advance(s_period);
        freeze(numbers);
        publish({"v1", "v2"});
        ASSERT_EQ(begin(2, StreamKey(1), 1), "v2");
        m_nodes[2]->is_alive = false;
        advance(s_cut_time);
    }

    /// The gateways go on, and receive the list of servers later than the datagrams that waited.
    void thaw(std::vector<std::size_t> const& numbers)
    {
        for (auto const number : numbers) {
            m_nodes[number]->is_frozen = false;
            m_nodes[number]->is_stale = true;
        }
    }

    void apply_list(Node& node)
    {
        node.versions = m_versions;
        node.revision = m_revision;
        node.streams.apply(list_of(m_versions, m_revision), m_now);
    }

    void restart(std::size_t number)
    {
        auto const address = m_nodes[number]->address;
        m_nodes[number] = std::make_unique<Node>();
        m_nodes[number]->address = address;
        connect(number);
        apply_list(*m_nodes[number]);
    }

    /// Starts a gateway that finds no peers.
    void restart_alone(std::size_t number)
    {
        auto& node = *m_nodes[number];
        node.streams = StreamOriginSharing(nullptr, node.confirmation.get());
        node.streams.set_members({});
        apply_list(node);
    }

    /// Begins a stream at that gateway, at one of the versions that it knows.
    std::string begin(std::size_t number, StreamKey stream, std::size_t choice = 0)
    {
        auto& node = *m_nodes[number];
        auto version = node.versions.at(choice % node.versions.size());
        node.streams.note_begun(stream, {"svc", version}, m_now);
        send(node);
        return version;
    }

    StreamOriginSharing::Resolution resume(std::size_t number, StreamKey stream)
    {
        auto& node = *m_nodes[number];
        while (true) {
            auto resolution = node.streams.resolve(stream, "svc", s_period, m_now);
            send(node);
            if (resolution.status != Status::Pending)
                return resolution;
            advance(s_step);
        }
    }

    void send(Node& from)
    {
        for (auto const& [address, message] : from.streams.take_messages()) {
            EXPECT_TRUE(StreamOriginSharing::is_within_bounds(message));
            ++m_datagrams;
            if (find(address).part != from.part)
                continue;
            if (std::uniform_real_distribution<double>(0, 1)(m_random) >= m_loss)
                m_in_flight.push_back({from.address, address, message});
        }
    }

    Node& find(std::string const& address)
    {
        return **std::ranges::find(m_nodes, address, [](auto const& node) { return node->address; });
    }

    void deliver()
    {
        for (auto& item : std::exchange(m_in_flight, {})) {
            auto& target = find(item.to);
            if (!target.is_alive)
                continue;
            if (target.is_frozen) {
                m_in_flight.push_back(std::move(item));
                continue;
            }
            target.streams.receive(item.message, item.from, m_now);
            send(target);
        }
    }

    /// The store answers gateways that reach it.
    void confirm_lists()
    {
        for (auto& node : m_nodes) {
            bool const reaches_store = node->is_alive && !node->is_frozen && node->has_store;
            if (!reaches_store || !node->confirmation->take_request())
                continue;
            ListConfirmation::Result result {m_now, Entry::ListRevision(node->revision), {}};
            for (auto const& version : m_versions)
                result.served.push_back({"svc", version});
            node->confirmation->confirm(result);
        }
    }

    void advance(Core::Milliseconds duration)
    {
        for (auto const end = m_now + duration; m_now < end; m_now += s_step) {
            deliver();
            confirm_lists();
            if (Core::elapsed(s_start, m_now).count() % s_tick.count() != 0)
                continue;
            for (auto& node : m_nodes) {
                if (!node->is_alive || node->is_frozen)
                    continue;
                node->streams.tick(m_now);
                send(*node);
            }
        }
    }

    struct InFlight {
        std::string from;
        std::string to;
        StreamOriginSharing::Message message;
    };

    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<InFlight> m_in_flight;
    Core::MonotonicTime m_now {s_start};
    Versions m_versions;
    std::uint64_t m_revision {0};
    std::mt19937 m_random {20261204};
    double m_loss {0};
    std::size_t m_datagrams {0};
    /// Streams that may be resumed, and the number of the next one.
    std::vector<std::size_t> m_resumable;
    std::size_t m_resumable_end {0};
};

}

TEST_F(StreamFleet, KnowsAStreamAfterTheGatewayThatBeganItWasKilled)
{
    create(12, {"v1", "v2"});
    auto const version = begin(3, StreamKey(1), 1);
    m_nodes[3]->is_alive = false;
    advance(s_tick);
    for (std::size_t number : {0U, 5U, 11U})
        EXPECT_EQ(resume(number, StreamKey(1)).software_version, version);
}

TEST_F(StreamFleet, KnowsStreamsThatBeganBeforeTheSecondVersionAppeared)
{
    create(12, {"v1"});
    // More than the ration of a service with a single version.
    constexpr std::size_t count = 400;
    for (std::size_t number = 0; number < count; ++number)
        begin(3, StreamKey(number));
    publish({"v1", "v2"});
    advance(1s);
    m_nodes[3]->is_alive = false;
    for (std::size_t number = 0; number < count; ++number)
        EXPECT_EQ(resume(7, StreamKey(number)).software_version, "v1");
}

TEST_F(StreamFleet, RationsAnnouncementsWhileOneVersionServes)
{
    create(12, {"v1"});
    advance(1s);
    m_datagrams = 0;
    constexpr int seconds = 20;
    for (std::size_t number = 0; number < 100 * seconds; ++number) {
        begin(3, StreamKey(number));
        if (number % 2 == 1)
            advance(s_step);
    }
    auto const streams = StreamOriginSharing::s_spare_burst + StreamOriginSharing::s_spare_rate * (seconds + 6);
    EXPECT_LE(static_cast<double>(m_datagrams), streams * StreamOriginSharing::s_holders * 3);
}

TEST_F(StreamFleet, ResolvesAnUnannouncedStreamToTheOnlyVersion)
{
    create(12, {"v1"});
    advance(s_period);
    auto const resolution = resume(5, StreamKey(1));
    EXPECT_EQ(resolution.status, Status::OnlyVersion);
    EXPECT_EQ(resolution.software_version, "v1");
    // Its holders have been there long enough.
    restart(5);
    EXPECT_EQ(resume(5, StreamKey(2)).status, Status::OnlyVersion);
}

TEST_F(StreamFleet, DoesNotGuessWhileNobodyHasBeenThereForLong)
{
    create(12, {"v1"});
    advance(s_period / 2);
    EXPECT_EQ(resume(5, StreamKey(1)).status, Status::Unknown);
}

TEST_F(StreamFleet, DoesNotGuessAfterARollback)
{
    create(12, {"v1"});
    advance(s_period);
    publish({"v1", "v2"});
    advance(1s);
    publish({"v1"});
    advance(s_period / 2);
    EXPECT_EQ(resume(5, StreamKey(1)).status, Status::Unknown);
    advance(s_period);
    EXPECT_EQ(resume(5, StreamKey(1)).status, Status::OnlyVersion);
}

TEST_F(StreamFleet, DoesNotGuessByAnOldListOfServers)
{
    create(12, {"v1"});
    advance(s_period);
    m_nodes[5]->is_stale = true;
    publish({"v2"});
    advance(1s);
    auto const version = begin(2, StreamKey(1));
    EXPECT_EQ(version, "v2");
    EXPECT_EQ(resume(5, StreamKey(1)).software_version, "v2");
    EXPECT_EQ(resume(5, StreamKey(2)).status, Status::Unknown);
}

TEST_F(StreamFleet, DoesNotGuessWithoutAnswersOfTheHolders)
{
    create(12, {"v1"});
    advance(s_period);
    for (std::size_t number = 0; number < 12; ++number)
        m_nodes[number]->is_alive = number == 5;
    EXPECT_EQ(resume(5, StreamKey(1)).status, Status::Unknown);
}

// Guards against a stream joined from two versions at a gateway that was parted from the store and from its peers until
// these timed out: it took itself for the only gateway, and its old list for complete.
TEST_F(StreamFleet, DoesNotGuessOnceItsPeersHaveTimedOut)
{
    create(12, {"v1"});
    advance(s_period);
    m_nodes[5]->is_stale = true;
    m_nodes[5]->streams.set_members({});
    publish({"v2"});
    EXPECT_EQ(begin(2, StreamKey(1)), "v2");
    EXPECT_EQ(resume(5, StreamKey(1)).status, Status::Unknown);
    advance(2 * s_period);
    EXPECT_EQ(begin(2, StreamKey(2)), "v2");
    EXPECT_EQ(resume(5, StreamKey(2)).status, Status::Unknown);
}

// All gateways start anew. One of them reads the archive; the others learn of its streams from that one.
TEST_F(StreamFleet, KnowsArchivedStreamsAfterAllGatewaysWereKilled)
{
    create(12, {"v1", "v2"});
    StreamArchive archive;
    m_nodes[7]->streams = StreamOriginSharing(&archive, m_nodes[7]->confirmation.get());
    connect(7);
    archive.add_loaded({{StreamKey(1), {"svc", "v1"}}, {StreamKey(2), {"svc", "v2"}}});
    advance(1s);
    for (std::size_t number : {0U, 7U, 11U}) {
        EXPECT_EQ(resume(number, StreamKey(1)).software_version, "v1");
        EXPECT_EQ(resume(number, StreamKey(2)).software_version, "v2");
        EXPECT_EQ(resume(number, StreamKey(3)).status, Status::Unknown);
    }
}

// Guards against a version that has left before the new life, and that the archive alone remembers.
TEST_F(StreamFleet, DoesNotGuessBesideAnArchivedVersion)
{
    create(1, {"v2"});
    StreamArchive archive;
    m_nodes[0]->streams = StreamOriginSharing(&archive, m_nodes[0]->confirmation.get());
    connect(0);
    apply_list(*m_nodes[0]);
    advance(s_period / 2);
    archive.add_loaded({{StreamKey(1), {"svc", "v1"}}});
    advance(s_period / 2);
    EXPECT_EQ(resume(0, StreamKey(1)).software_version, "v1");
    EXPECT_EQ(resume(0, StreamKey(2)).status, Status::Unknown);
}

TEST_F(StreamFleet, ArchivesStreamsWhileSeveralVersionsServe)
{
    create(2, {"v1"});
    StreamArchive archive;
    m_nodes[0]->streams = StreamOriginSharing(&archive, m_nodes[0]->confirmation.get());
    connect(0);
    apply_list(*m_nodes[0]);
    for (std::uint64_t key = 0; key < 100; ++key)
        begin(0, StreamKey(key));
    EXPECT_TRUE(archive.take_begun().empty());
    publish({"v1", "v2"});
    begin(0, StreamKey(100));
    EXPECT_EQ(archive.take_begun().size(), 101U);
}

TEST_F(StreamFleet, ResolvesToTheOnlyVersionWhereThereWasNeverAnotherGateway)
{
    create(1, {"v1"});
    advance(s_period);
    EXPECT_EQ(resume(0, StreamKey(1)).status, Status::OnlyVersion);
}

// One holder restarts with an old list, and the other one is gone.
TEST_F(StreamFleet, DoesNotGuessAtARestartedHolderWithoutTheOtherOne)
{
    constexpr std::size_t beginner = 2;
    for (std::uint64_t key = 1; key <= 8; ++key) {
        m_nodes.clear();
        create(12, {"v1"});
        advance(s_period);
        for (std::size_t number = 0; number < m_nodes.size(); ++number)
            m_nodes[number]->is_stale = number != beginner;
        publish({"v2"});
        begin(beginner, StreamKey(key));
        advance(1s);
        std::vector<std::size_t> holders;
        for (std::size_t number = 0; number < m_nodes.size(); ++number) {
            if (number != beginner && m_nodes[number]->streams.known_count() > 0)
                holders.push_back(number);
        }
        ASSERT_EQ(holders.size(), StreamOriginSharing::s_holders);
        m_versions = {"v1"};
        restart(holders[0]);
        m_nodes[holders[1]]->is_alive = false;
        EXPECT_NE(resume(holders[0], StreamKey(key)).software_version, "v1");
    }
}

TEST_F(StreamFleet, DoesNotGuessAtAGatewayThatWasCutOff)
{
    create(4, {"v1"});
    advance(s_period);
    part({0});
    publish({"v1", "v2"});
    advance(s_cut_time);
    ASSERT_EQ(begin(1, StreamKey(1), 1), "v2");
    m_nodes[1]->is_alive = false;
    EXPECT_EQ(resume(0, StreamKey(1)).status, Status::Unknown);
    // In touch with its peers again before it has the new list.
    m_nodes[0]->part = 0;
    EXPECT_EQ(resume(0, StreamKey(1)).software_version, "v2");
}

// Guards against a stream joined from two versions where the only gateway that answers was cut off as well.
TEST_F(StreamFleet, DoesNotGuessWhereAllThatAnswerWereCutOff)
{
    for (auto const delay : {s_step, s_cut_time}) {
        m_nodes.clear();
        create(3, {"v1"});
        advance(s_period);
        part({0, 1});
        publish({"v1", "v2"});
        advance(delay);
        ASSERT_EQ(begin(2, StreamKey(1), 1), "v2");
        EXPECT_EQ(resume(0, StreamKey(1)).status, Status::Unknown);
        m_nodes[2]->is_alive = false;
        EXPECT_EQ(resume(0, StreamKey(1)).status, Status::Unknown);
    }
}

TEST_F(StreamFleet, DoesNotGuessInTheHalfOfAFleetThatWasCutOff)
{
    create(12, {"v1"});
    advance(s_period);
    part({0, 1, 2, 3, 4, 5});
    publish({"v1", "v2"});
    advance(s_cut_time);
    for (std::uint64_t key = 1; key <= 200; ++key) {
        ASSERT_EQ(begin(6 + key % 6, StreamKey(key), 1), "v2");
        EXPECT_EQ(resume(key % 6, StreamKey(key)).status, Status::Unknown) << key;
    }
}

// A peer that timed out during the cut is no member any more, so that its silence does not show.
TEST_F(StreamFleet, DoesNotGuessWhereAPeerTimedOutDuringACut)
{
    create(3, {"v1"});
    advance(s_period);
    part({0, 1});
    Entry::LoadMembers members;
    members.peers.push_back({m_nodes[1]->address, "here", 100, 1});
    m_nodes[0]->streams.set_members(members);
    publish({"v1", "v2"});
    advance(s_cut_time);
    ASSERT_EQ(begin(2, StreamKey(1), 1), "v2");
    EXPECT_EQ(resume(0, StreamKey(1)).status, Status::Unknown);
}

TEST_F(StreamFleet, DoesNotGuessAtAGatewayThatStoodStill)
{
    release_during_stall({0});
    thaw({0});
    EXPECT_EQ(resume(0, StreamKey(1)).software_version, "v2");
}

TEST_F(StreamFleet, DoesNotGuessWhereAllThatAnswerStoodStill)
{
    release_during_stall({0, 1});
    thaw({0, 1});
    EXPECT_EQ(resume(0, StreamKey(1)).software_version, "v2");
}

// Guards against a stream joined from two versions where the buffers of gateways that stood still overflowed.
TEST_F(StreamFleet, DoesNotGuessWhereAllThatAnswerStoodStillAndLostDatagrams)
{
    release_during_stall({0, 1});
    m_in_flight.clear();
    thaw({0, 1});
    EXPECT_EQ(resume(0, StreamKey(1)).status, Status::Unknown);
}

// Guards against a gateway that started while it was cut off from all peers and took itself for the only one.
TEST_F(StreamFleet, DoesNotGuessAtAGatewayThatStartedWhileItWasCutOff)
{
    create(2, {"v1"});
    part({0});
    restart_alone(0);
    advance(2 * s_period);
    publish({"v1", "v2"});
    ASSERT_EQ(begin(1, StreamKey(1), 1), "v2");
    EXPECT_EQ(resume(0, StreamKey(1)).status, Status::Unknown);
}

// A list that the store has confirmed counts once it is applied here.
TEST_F(StreamFleet, DoesNotGuessBeforeTheConfirmedListIsApplied)
{
    create(1, {"v1"});
    advance(s_period);
    m_nodes[0]->has_store = false;
    auto& streams = m_nodes[0]->streams;
    EXPECT_EQ(streams.resolve(StreamKey(1), "svc", s_period, m_now).status, Status::Pending);
    m_nodes[0]->confirmation->confirm({m_now, Entry::ListRevision(m_revision + 1), {}});
    EXPECT_EQ(streams.resolve(StreamKey(1), "svc", s_period, m_now).status, Status::Pending);
    publish({"v1", "v2"});
    EXPECT_EQ(streams.resolve(StreamKey(1), "svc", s_period, m_now).status, Status::Unknown);
}

// A rolled back version joins again, which only the store's answer says.
TEST_F(StreamFleet, DoesNotGuessOnceARolledBackVersionIsBack)
{
    create(1, {"v1", "v2"});
    publish({"v1"});
    advance(2 * s_period);
    ASSERT_EQ(resume(0, StreamKey(1)).status, Status::OnlyVersion);
    m_nodes[0]->is_stale = true;
    publish({"v1", "v2"});
    EXPECT_EQ(resume(0, StreamKey(2)).status, Status::Unknown);
}

TEST_F(StreamFleet, DoesNotGuessByAnEarlierConfirmation)
{
    create(3, {"v1"});
    advance(s_period);
    EXPECT_EQ(resume(0, StreamKey(1)).status, Status::OnlyVersion);
    part({0, 1});
    publish({"v1", "v2"});
    advance(s_step);
    ASSERT_EQ(begin(2, StreamKey(2), 1), "v2");
    EXPECT_EQ(resume(0, StreamKey(2)).status, Status::Unknown);
}

TEST_F(StreamFleet, DoesNotGuessWithTheStoreAndWithoutPeers)
{
    create(3, {"v1"});
    advance(s_period);
    m_nodes[0]->part = 1;
    publish({"v1", "v2"});
    ASSERT_EQ(begin(2, StreamKey(1), 1), "v2");
    EXPECT_EQ(resume(0, StreamKey(1)).status, Status::Unknown);
}

TEST_F(StreamFleet, DoesNotGuessWithPeersAndWithoutTheStore)
{
    create(3, {"v1"});
    advance(s_period);
    m_nodes[0]->is_stale = true;
    m_nodes[0]->has_store = false;
    publish({"v1", "v2"});
    m_loss = 1;
    ASSERT_EQ(begin(2, StreamKey(1), 1), "v2");
    advance(1s);
    m_nodes[2]->is_alive = false;
    m_loss = 0;
    EXPECT_EQ(resume(0, StreamKey(1)).status, Status::Unknown);
}

// Releases and rollbacks, lists that arrive late, gateways killed and restarted, datagrams lost.
RC_GTEST_FIXTURE_PROP(StreamFleet, NeverResolvesToAnotherVersion, (unsigned seed))
{
    m_random.seed(seed);
    auto const draw = [this](std::size_t max) { return std::uniform_int_distribution<std::size_t>(0, max)(m_random); };
    m_loss = static_cast<double>(draw(10)) / 100;
    auto const count = 3 + draw(9);
    std::vector<Versions> const releases {{"v1"}, {"v1", "v2"}, {"v2"}, {"v1", "v2", "v3"}, {"v3"}};
    create(count, {"v1"});
    advance(s_period + 1s);
    struct Stream {
        std::string version;
        Core::MonotonicTime begun;
    };
    std::vector<Stream> streams;
    std::size_t resumed_soon = 0;
    std::size_t resolved_soon = 0;
    for (std::size_t step = 0; step < 60; ++step) {
        switch (draw(5)) {
        case 0:
            publish(releases[draw(releases.size() - 1)]);
            break;
        case 1:
            m_nodes[draw(count - 1)]->is_stale = draw(1) == 1;
            for (auto& node : m_nodes) {
                if (!node->is_stale)
                    apply_list(*node);
            }
            break;
        case 2:
            restart(draw(count - 1));
            break;
        default:
            streams.push_back({begin(draw(count - 1), StreamKey(streams.size()), draw(3)), m_now});
        }
        advance(s_step * static_cast<int>(1 + draw(40)));
        std::erase_if(m_resumable, [&](auto number) { return streams[number].begun + s_period < m_now; });
        if (streams.size() > m_resumable_end)
            m_resumable.push_back(m_resumable_end++);
        if (m_resumable.empty())
            continue;
        auto const number = m_resumable[draw(m_resumable.size() - 1)];
        bool const is_soon = m_now - streams[number].begun <= s_usual_delay;
        auto const resolution = resume(draw(count - 1), StreamKey(number));
        resumed_soon += is_soon ? 1 : 0;
        if (resolution.status == Status::Unknown)
            continue;
        resolved_soon += is_soon ? 1 : 0;
        RC_ASSERT(resolution.software_version == streams[number].version);
    }
    RC_ASSERT(2 * resolved_soon >= resumed_soon);
}

}
