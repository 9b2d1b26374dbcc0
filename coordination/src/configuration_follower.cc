#include "coordination/configuration_follower.h"

#include <algorithm>
#include <deque>
#include <map>

#include "coordination/check.h"
#include "coordination/section_delta.h"

namespace peridotgate::coordination {

struct ConfigurationFollower::Impl {
  std::size_t recent_limit;
  std::int64_t version = 0;
  std::map<std::string, Section, std::less<>> sections;
  std::deque<Change> recent;

  // A removed section stays as a tombstone: empty content, and its version.
  void Replace(const Section& section, std::int64_t at_version) {
    Section& it = sections[section.name];
    it = section;
    it.version = at_version;
    if (it.removed) {
      it.content.clear();
    }
  }

  std::string_view ContentOf(std::string_view name) const {
    auto it = sections.find(name);
    return it == sections.end() ? std::string_view() : it->second.content;
  }

  // Returns `change` with full contents, or nothing if a delta does not apply.
  std::optional<Change> DecodeChange(const Change& change) const {
    Change decoded = change;
    for (Section& it : decoded.sections) {
      auto content = DecodeDelta(it, ContentOf(it.name));
      if (!content) {
        return std::nullopt;
      }
      it.content = std::move(*content);
      it.same_prefix = 0;
      it.same_suffix = 0;
      it.checksum = 0;
    }
    return decoded;
  }

  // Encodes `change`, which has full contents, as deltas against the previous
  // version, for peers at that version. Omits author and time: only operators
  // need them, and the platform's table has them.
  Change EncodeChange(const Change& change) const {
    Change out;
    out.version = change.version;
    out.change_id = change.change_id;
    for (const Section& it : change.sections) {
      out.sections.push_back(EncodeDelta(it, ContentOf(it.name)));
    }
    return out;
  }

  void KeepRecent(Change change) {
    recent.push_back(std::move(change));
    if (recent.size() > recent_limit) {
      recent.pop_front();
    }
  }

  void Advance(std::int64_t to) {
    PG_CHECK(to > version);
    version = to;
  }
};

ConfigurationFollower::ConfigurationFollower(std::size_t recent_changes)
    : impl_(std::make_unique<Impl>()) {
  impl_->recent_limit = recent_changes;
}

ConfigurationFollower::~ConfigurationFollower() = default;

FollowResult ConfigurationFollower::Apply(const Change& change) {
  if (change.version <= impl_->version) {
    return FollowResult::kAlreadyKnown;
  }
  if (change.version != impl_->version + 1) {
    return FollowResult::kGap;
  }
  const std::optional<Change> decoded = impl_->DecodeChange(change);
  if (!decoded) {
    return FollowResult::kMismatch;
  }
  Change encoded = impl_->EncodeChange(*decoded);
  for (const Section& it : decoded->sections) {
    impl_->Replace(it, change.version);
  }
  impl_->Advance(change.version);
  impl_->KeepRecent(std::move(encoded));
  return FollowResult::kApplied;
}

FollowResult ConfigurationFollower::ApplySnapshot(
    std::int64_t version,
    std::span<const Section> sections) {
  if (version <= impl_->version) {
    return FollowResult::kAlreadyKnown;
  }
  impl_->sections.clear();
  impl_->recent.clear();
  for (const Section& it : sections) {
    impl_->Replace(it, std::min(it.version, version));
  }
  impl_->Advance(version);
  return FollowResult::kApplied;
}

std::int64_t ConfigurationFollower::version() const {
  return impl_->version;
}

std::optional<std::string_view> ConfigurationFollower::Find(
    std::string_view name) const {
  auto it = impl_->sections.find(name);
  if (it == impl_->sections.end() || it->second.removed) {
    return std::nullopt;
  }
  return it->second.content;
}

std::int64_t ConfigurationFollower::SectionVersion(
    std::string_view name) const {
  auto it = impl_->sections.find(name);
  return it == impl_->sections.end() ? 0 : it->second.version;
}

std::vector<Section> ConfigurationFollower::Snapshot() const {
  std::vector<Section> live;
  for (const auto& [name, section] : impl_->sections) {
    if (!section.removed) {
      live.push_back(section);
    }
  }
  return live;
}

std::vector<Section> ConfigurationFollower::Export() const {
  std::vector<Section> all;
  for (const auto& [name, section] : impl_->sections) {
    all.push_back(section);
  }
  return all;
}

std::optional<std::vector<Change>> ConfigurationFollower::ChangesSince(
    std::int64_t version) const {
  if (version >= impl_->version) {
    return std::vector<Change>{};
  }
  const auto& recent = impl_->recent;
  if (recent.empty() || recent.front().version > version + 1) {
    return std::nullopt;
  }
  std::vector<Change> newer;
  for (const Change& it : recent) {
    if (it.version > version) {
      newer.push_back(it);
    }
  }
  return newer;
}

}  // namespace peridotgate::coordination
