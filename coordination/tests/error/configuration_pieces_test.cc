// Tests the transfer of snapshots and large changes in pieces that are lost,
// duplicated, or mixed with those of another version.
#include <gtest/gtest.h>

#include "../gossip_network.h"

namespace peridotgate::coordination {
namespace {

using std::chrono::seconds;

constexpr std::size_t kOrganisations = 650;
constexpr std::size_t kSectionBytes = 800;

Change LargeChange(std::int64_t version, const std::string& content) {
  Change change;
  change.version = version;
  for (std::size_t i = 0; i < kOrganisations; ++i) {
    std::string it = content + std::to_string(i);
    it.resize(kSectionBytes, '.');
    change.sections.push_back({"organisation/" + std::to_string(i), it});
  }
  return change;
}

std::size_t SizeOf(const std::vector<Section>& sections) {
  std::size_t size = 0;
  for (const Section& it : sections) {
    size += it.name.size() + it.content.size();
  }
  return size;
}

struct NoPeers : PeerSource {
  std::vector<PeerAddress> Draw(std::size_t /*n*/,
                                RandomEngine& /*random*/) const override {
    return {};
  }
};

// One process; the test delivers its messages.
struct Process {
  explicit Process(const ManualClock& clock, std::size_t kept = 4)
      : follower(kept), gossip({}, follower, peers, clock, 7) {}

  ConfigurationFollower follower;
  NoPeers peers;
  ConfigurationGossip gossip;
};

const PeerAddress kRequesterAddress{"10.0.0.1", 1};
const PeerAddress kSenderAddress{"10.0.0.2", 2};

// Returns all messages that `sender` sends in reply to a pull of the changes
// after `version`.
std::vector<GossipMessage> CollectReplies(std::int64_t version,
                                          Process& sender,
                                          ManualClock& clock) {
  sender.gossip.TakeOutgoing();
  sender.gossip.OnMessage(kRequesterAddress, ChangesPull{version});
  std::vector<GossipMessage> messages;
  for (int i = 0; i < 40; ++i) {
    clock.Advance(std::chrono::milliseconds(100));
    sender.gossip.Tick();
    for (OutgoingGossip& it : sender.gossip.TakeOutgoing()) {
      messages.push_back(std::move(it.message));
    }
  }
  return messages;
}

void Deliver(const std::vector<GossipMessage>& messages, Process& to) {
  for (const GossipMessage& it : messages) {
    to.gossip.OnMessage(kSenderAddress, it);
  }
}

TEST(ConfigurationPieces, AnIncompleteSnapshotIsNotApplied) {
  ManualClock clock;
  Process sender(clock);
  sender.follower.ApplySnapshot(7, LargeChange(7, "seven").sections);
  auto pieces = CollectReplies(0, sender, clock);
  ASSERT_GE(pieces.size(), 10U);
  Process requester(clock);
  {
    SCOPED_TRACE("one piece is lost: nothing is applied");
    auto some = pieces;
    some.erase(some.begin() + 3);
    Deliver(some, requester);
    EXPECT_EQ(requester.follower.version(), 0);
  }
  {
    SCOPED_TRACE("some pieces are repeated: still nothing is applied");
    Deliver({pieces.back(), pieces.front(), pieces.front()}, requester);
    EXPECT_EQ(requester.follower.version(), 0);
  }
  {
    SCOPED_TRACE("the lost piece arrives last");
    Deliver({pieces[3]}, requester);
    EXPECT_EQ(requester.follower.version(), 7);
    EXPECT_EQ(requester.follower.Snapshot().size(), kOrganisations);
  }
  {
    SCOPED_TRACE("repeating the whole transfer changes nothing");
    Deliver(pieces, requester);
    EXPECT_EQ(requester.follower.version(), 7);
  }
}

TEST(ConfigurationPieces, PiecesOfTwoVersionsAreNotMixed) {
  ManualClock clock;
  Process older(clock);
  Process newer(clock);
  older.follower.ApplySnapshot(7, LargeChange(7, "seven").sections);
  newer.follower.ApplySnapshot(9, LargeChange(9, "nine").sections);
  const auto old_pieces = CollectReplies(0, older, clock);
  const auto new_pieces = CollectReplies(0, newer, clock);
  ASSERT_EQ(old_pieces.size(), new_pieces.size());
  Process requester(clock);
  for (std::size_t i = 0; i + 1 < old_pieces.size(); ++i) {
    Deliver({old_pieces[i], new_pieces[i]}, requester);
  }
  EXPECT_EQ(requester.follower.version(), 0);
  {
    SCOPED_TRACE("the newer version is complete first");
    Deliver({new_pieces.back()}, requester);
    EXPECT_EQ(requester.follower.version(), 9);
    for (const Section& it : requester.follower.Snapshot()) {
      EXPECT_TRUE(it.content.starts_with("nine"));
    }
  }
  {
    SCOPED_TRACE("the older version does not replace it");
    Deliver({old_pieces.back()}, requester);
    Deliver(old_pieces, requester);
    EXPECT_EQ(requester.follower.version(), 9);
  }
}

TEST(ConfigurationPieces, AnIncompleteLargeChangeIsNotApplied) {
  ManualClock clock;
  Process sender(clock);
  Process requester(clock);
  const std::vector<Section> before = LargeChange(1, "one").sections;
  sender.follower.ApplySnapshot(1, before);
  requester.follower.ApplySnapshot(1, before);
  sender.follower.Apply(LargeChange(2, "two"));
  const auto delta_pieces = CollectReplies(1, sender, clock);
  {
    SCOPED_TRACE("unchanged content is not sent");
    ASSERT_EQ(delta_pieces.size(), 1U);
  }
  Change change = LargeChange(3, "three");
  for (Section& it : change.sections) {
    it.content = std::string(kSectionBytes, '#') + it.content;
  }
  sender.follower.Apply(change);
  Deliver(delta_pieces, requester);
  EXPECT_EQ(requester.follower.version(), 2);
  const auto pieces = CollectReplies(2, sender, clock);
  ASSERT_GE(pieces.size(), 10U);
  Deliver({pieces.begin() + 1, pieces.end()}, requester);
  EXPECT_EQ(requester.follower.version(), 2);
  Deliver({pieces.front()}, requester);
  EXPECT_EQ(requester.follower.version(), 3);
  EXPECT_EQ(requester.follower.Find("organisation/9"),
            sender.follower.Find("organisation/9"));
}

TEST(ConfigurationPieces, InvalidPiecesAreIgnored) {
  ManualClock clock;
  Process requester(clock);
  for (const std::int32_t piece : {-1, 2, 1 << 30}) {
    requester.gossip.OnMessage(kSenderAddress, SnapshotPush{3, {}, piece, 2});
  }
  requester.gossip.OnMessage(kSenderAddress, SnapshotPush{3, {}, 0, 1 << 30});
  requester.gossip.OnMessage(kSenderAddress, ChangesPush{{}, 0, 2});
  EXPECT_EQ(requester.follower.version(), 0);
}

TEST(ConfigurationPieces, ARestartedNodeGetsTheSnapshotFromPeers) {
  GossipNetwork network(20, {}, {0.05, 0.05}, 24, 4);
  for (std::size_t i = 0; i < network.size(); ++i) {
    network.follower(i).ApplySnapshot(5, LargeChange(5, "five").sections);
  }
  network.Run(seconds(2));
  for (std::size_t i = 0; i < 3; ++i) {
    network.Restart(i);
  }
  int waited_s = 0;
  while (network.Reached(5) < network.size() && waited_s < 60) {
    network.Run(seconds(1));
    ++waited_s;
  }
  EXPECT_EQ(network.Reached(5), network.size());
  EXPECT_EQ(network.follower(0).Snapshot().size(), kOrganisations);
  EXPECT_LE(network.bytes().largest, 40U << 10);
  std::printf("full snapshot in pieces: all nodes within %d s\n", waited_s);
}

TEST(ConfigurationPieces, TheBudgetLimitsTheBytesOfTransfers) {
  ManualClock clock;
  Process sender(clock);
  sender.follower.ApplySnapshot(7, LargeChange(7, "seven").sections);
  const GossipOptions options;
  std::size_t bytes = 0;
  for (int i = 0; i < 20; ++i) {
    std::size_t pieces = 0;
    for (const GossipMessage& it : CollectReplies(0, sender, clock)) {
      const auto& push = std::get<SnapshotPush>(it);
      bytes += SizeOf(push.sections);
      ++pieces;
      EXPECT_LE(SizeOf(push.sections), options.piece_bytes);
      EXPECT_EQ(push.piece + 1, pieces) << "a transfer was interrupted";
    }
    EXPECT_TRUE(pieces == 0 || pieces >= 10);
  }
  // 80 s: the burst, and the bytes refilled since.
  EXPECT_LE(bytes,
            options.bulk_burst_bytes + 80 * options.bulk_bytes_per_second);
}

}  // namespace
}  // namespace peridotgate::coordination
