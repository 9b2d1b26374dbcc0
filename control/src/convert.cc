#include "convert.h"

#include <map>

#include "control/configuration_rows.h"

namespace peridotgate::control {
namespace {

using coordination::ChangesPull;
using coordination::ChangesPush;
using coordination::MemberRecord;
using coordination::MemberRole;
using coordination::MemberState;
using coordination::Section;
using coordination::SnapshotPush;
using coordination::VersionDigest;

// Groups the sections into one change per version, so that each section keeps
// its version.
wire::ConfigPush SnapshotToWire(const SnapshotPush& push) {
  std::map<std::int64_t, coordination::Change> by_version;
  by_version[push.version].version = push.version;
  for (const Section& it : push.sections) {
    coordination::Change& change = by_version[it.version];
    change.version = it.version;
    change.sections.push_back(it);
  }
  wire::ConfigPush out;
  out.snapshot = true;
  out.piece = push.piece;
  out.pieces = push.pieces;
  for (const auto& [version, change] : by_version) {
    out.changes.push_back(ToWire(change));
  }
  return out;
}

SnapshotPush SnapshotFromWire(const wire::ConfigPush& push) {
  SnapshotPush out;
  out.piece = push.piece;
  out.pieces = push.pieces;
  for (const wire::ConfigChange& it : push.changes) {
    out.version = std::max(out.version, it.version);
    coordination::Change change = FromWire(it);
    for (Section& section : change.sections) {
      out.sections.push_back(std::move(section));
    }
  }
  return out;
}

struct ToWireVisitor {
  const std::string& instance;

  wire::Message operator()(const VersionDigest& it) const {
    wire::ConfigDigest out;
    out.version = it.version;
    out.instance = instance;
    return out;
  }
  wire::Message operator()(const ChangesPull& it) const {
    wire::ConfigPull out;
    out.version = it.version;
    return out;
  }
  wire::Message operator()(const ChangesPush& it) const {
    wire::ConfigPush out;
    out.piece = it.piece;
    out.pieces = it.pieces;
    for (const coordination::Change& change : it.changes) {
      out.changes.push_back(ToWire(change));
    }
    return out;
  }
  wire::Message operator()(const SnapshotPush& it) const {
    return SnapshotToWire(it);
  }
};

wire::Member ToWire(const MemberRecord& it) {
  wire::Member out;
  out.instance = it.instance;
  out.role =
      it.role == MemberRole::kEntry ? wire::Role::kEntry : wire::Role::kAgent;
  out.data_centre = it.data_centre;
  out.address = it.address.address;
  out.port = it.address.port;
  out.incarnation = it.incarnation;
  out.revision = it.revision;
  out.state =
      static_cast<wire::MemberState::type>(static_cast<int>(it.state) + 1);
  out.target = it.target;
  out.weights_version = it.weights_version;
  out.config_version = it.config_version;
  return out;
}

std::optional<MemberRecord> FromWire(const wire::Member& it) {
  if (it.state < wire::MemberState::kAlive ||
      it.state > wire::MemberState::kGone || it.port < 0 || it.port > 0xffff) {
    return std::nullopt;
  }
  MemberRecord out;
  out.instance = it.instance;
  out.role =
      it.role == wire::Role::kEntry ? MemberRole::kEntry : MemberRole::kAgent;
  out.data_centre = it.data_centre;
  out.address = {it.address, static_cast<std::uint16_t>(it.port)};
  out.incarnation = it.incarnation;
  out.revision = it.revision;
  out.state = static_cast<MemberState>(static_cast<int>(it.state) - 1);
  out.target = it.target;
  out.weights_version = it.weights_version;
  out.config_version = it.config_version;
  return out;
}

}  // namespace

wire::Message ToWire(const coordination::GossipMessage& message,
                     const std::string& instance) {
  return std::visit(ToWireVisitor{instance}, message);
}

std::optional<coordination::GossipMessage> GossipFromWire(
    const wire::Message& message) {
  if (const auto* digest = std::get_if<wire::ConfigDigest>(&message)) {
    return VersionDigest{digest->version};
  }
  if (const auto* pull = std::get_if<wire::ConfigPull>(&message)) {
    return ChangesPull{pull->version};
  }
  const auto* push = std::get_if<wire::ConfigPush>(&message);
  if (push == nullptr) {
    return std::nullopt;
  }
  if (push->snapshot) {
    return SnapshotFromWire(*push);
  }
  ChangesPush out;
  out.piece = push->piece;
  out.pieces = push->pieces;
  for (const wire::ConfigChange& it : push->changes) {
    out.changes.push_back(FromWire(it));
  }
  return out;
}

wire::MemberUpdate ToWire(const std::vector<MemberRecord>& records) {
  wire::MemberUpdate update;
  for (const MemberRecord& it : records) {
    update.members.push_back(ToWire(it));
  }
  return update;
}

std::vector<MemberRecord> FromWire(const wire::MemberUpdate& update) {
  std::vector<MemberRecord> records;
  for (const wire::Member& it : update.members) {
    auto record = FromWire(it);
    if (record) {
      records.push_back(std::move(*record));
    }
  }
  return records;
}

coordination::PeerAddress ToPeer(const runtime::Endpoint& endpoint) {
  return {endpoint.address, endpoint.port};
}

runtime::Endpoint ToEndpoint(const coordination::PeerAddress& peer) {
  return {peer.address, peer.port};
}

}  // namespace peridotgate::control
