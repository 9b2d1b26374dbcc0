// Guards against gossip messages that exceed a datagram. The printed sizes are
// the basis for estimates of the traffic per node.
#include <cstdio>

#include <gtest/gtest.h>

#include "convert.h"

namespace peridotgate::control {
namespace {

coordination::MemberRecord TypicalMember(int i) {
  coordination::MemberRecord it;
  it.instance = "agent-eu-west-1a-" + std::to_string(10000 + i);
  it.data_centre = "eu-west-1a";
  it.address = {"10.131.200.114", 7400};
  it.target = "model:horn-1";
  it.incarnation = 1796300000000;
  it.revision = 12;
  it.weights_version = 31;
  it.config_version = 1000000;
  return it;
}

wire::OrganisationRules TypicalRules() {
  wire::OrganisationRules rules;
  rules.name = "tapetes-norte";
  rules.key_digests = {std::string(64, 'a'), std::string(64, 'b')};
  rules.default_kind = "visit-note";
  for (int i = 0; i < 8; ++i) {
    wire::KindRules kind;
    kind.name = "kind-of-work-" + std::to_string(i);
    kind.target = "model:horn-1";
    kind.wait_limit_ms = 5000;
    kind.prompt_tokens = 16000;
    kind.output_tokens = 200;
    rules.kinds.push_back(kind);
  }
  return rules;
}

std::size_t PrintSize(const char* name, const wire::Message& message) {
  const std::size_t size = wire::EncodeDatagram(message).size();
  std::printf("message %-16s %5zu bytes\n", name, size);
  return size;
}

TEST(MessageSize, GossipFitsDatagrams) {
  using coordination::GossipMessage;
  const std::string instance = TypicalMember(0).instance;
  const GossipMessage digest = coordination::VersionDigest{1000000};
  const GossipMessage pull = coordination::ChangesPull{1000000};
  coordination::Change change;
  change.version = 1000000;
  change.author = "operator@example.org";
  change.answers_digest = std::string(64, 'c');
  change.sections = {{"organisation/tapetes-norte",
                      wire::EncodeStruct(TypicalRules()), false, 1000000}};
  const GossipMessage push = coordination::ChangesPush{{change}};
  coordination::Change short_form = change;
  short_form.author.clear();
  short_form.answers_digest.clear();
  short_form.change_id = {~0ULL, ~0ULL};
  const GossipMessage short_change = coordination::ChangesPush{{short_form}};
  short_form.sections.front().content = "new wait";
  short_form.sections.front().same_prefix = 300;
  short_form.sections.front().same_suffix = 300;
  short_form.sections.front().checksum = 0xabcdef01;
  const GossipMessage edit = coordination::ChangesPush{{short_form}};
  std::vector<coordination::MemberRecord> six_members;
  six_members.reserve(6);
  for (int i = 0; i < 6; ++i) {
    six_members.push_back(TypicalMember(i));
  }
  EXPECT_LE(PrintSize("digest", ToWire(digest, instance)), 64U);
  EXPECT_LE(PrintSize("pull", ToWire(pull, instance)), 64U);
  EXPECT_LE(PrintSize("push", ToWire(push, instance)), wire::kMaxDatagramBytes);
  EXPECT_LE(PrintSize("push short form", ToWire(short_change, instance)),
            wire::kMaxDatagramBytes);
  EXPECT_LE(PrintSize("push of an edit", ToWire(edit, instance)), 128U);
  EXPECT_LE(PrintSize("one member", ToWire({TypicalMember(0)})), 256U);
  EXPECT_LE(PrintSize("six members", ToWire(six_members)),
            wire::kMaxDatagramBytes);
}

TEST(MessageSize, PiecesAndSectionDeltasSurviveRoundTrip) {
  coordination::Change change;
  change.version = 9;
  change.sections = {{"a", "x", false, 9, 300, 40, 0xabcdef01}};
  const coordination::GossipMessage sent =
      coordination::ChangesPush{{change}, 2, 5};
  auto message = GossipFromWire(ToWire(sent, "entry-0"));
  ASSERT_TRUE(message.has_value());
  const auto& decoded = std::get<coordination::ChangesPush>(*message);
  EXPECT_EQ(decoded.piece, 2);
  EXPECT_EQ(decoded.pieces, 5);
  const coordination::Section& section = decoded.changes.at(0).sections.at(0);
  EXPECT_EQ(section.same_prefix, 300U);
  EXPECT_EQ(section.same_suffix, 40U);
  EXPECT_EQ(section.checksum, 0xabcdef01U);
}

TEST(MessageSize, SnapshotKeepsVersionOfEachSection) {
  coordination::SnapshotPush push;
  push.version = 9;
  push.sections = {{"a", "x", false, 3}, {"b", "", true, 7}};
  auto message = GossipFromWire(ToWire(push, "entry-0"));
  ASSERT_TRUE(message.has_value());
  const auto& decoded = std::get<coordination::SnapshotPush>(*message);
  EXPECT_EQ(decoded.version, 9);
  ASSERT_EQ(decoded.sections.size(), 2U);
  EXPECT_EQ(decoded.sections[0].version, 3);
  EXPECT_TRUE(decoded.sections[1].removed);
}

}  // namespace
}  // namespace peridotgate::control
