// Applies numbered changes to a local copy of the configuration.
#ifndef COORDINATION_CONFIGURATION_FOLLOWER_H_
#define COORDINATION_CONFIGURATION_FOLLOWER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/ids.h"

namespace peridotgate::coordination {

/** One named part of the configuration, with opaque content. */
struct Section {
  std::string name;
  std::string content;
  bool removed = false;
  std::int64_t version = 0;  // Of the change that last touched it.
  // With a non-zero checksum, `content` is a delta: it omits this many bytes at
  // the start and end, which equal the previous content; see section_delta.h.
  std::size_t same_prefix = 0;
  std::size_t same_suffix = 0;
  std::uint32_t checksum = 0;
};

/** An accepted change, which replaces whole sections in a new version. */
struct Change {
  std::int64_t version = 0;
  Id128 change_id;
  std::string author;
  std::int64_t at_ms = 0;
  std::string answers_digest;
  std::vector<Section> sections;
};

/** Result of applying a change or snapshot. */
enum class FollowResult {
  kApplied,
  kAlreadyKnown,  // Not newer than the current version; ignored.
  kGap,           // Earlier changes are missing and must be fetched first.
  kMismatch,      // The delta was computed against different content.
};

/**
 * The current configuration of one process. The version only increases: no
 * sequence of inputs can restore an older one.
 *
 *     ConfigurationFollower follower(256);
 *     follower.Apply(change);
 *     auto bytes = follower.Find("organisation/tailors");
 */
class ConfigurationFollower {
 public:
  /** Keeps the last `recent_changes` changes for peers. */
  explicit ConfigurationFollower(std::size_t recent_changes);
  ~ConfigurationFollower();

  /** Applies the change with the next version, as a delta or in full. */
  FollowResult Apply(const Change& change);

  /**
   * Replaces the configuration by a snapshot as of `version` if that is newer.
   * Each section has its own version; tombstones of removed ones are
   * included.
   */
  FollowResult ApplySnapshot(std::int64_t version,
                             std::span<const Section> sections);

  /** The current version; 0 before the first. */
  std::int64_t version() const;

  /** The content of a section, if it exists. */
  std::optional<std::string_view> Find(std::string_view name) const;

  /**
   * The version of the change that last wrote or removed a section; 0 if there
   * was none.
   */
  std::int64_t SectionVersion(std::string_view name) const;

  /** All existing sections, sorted by name. */
  std::vector<Section> Snapshot() const;

  /** All sections with tombstones of removed ones, to send to a peer. */
  std::vector<Section> Export() const;

  /**
   * The changes after `version` in order, each as a delta against the preceding
   * version and without author, time and answers digest. Empty optional when
   * some of them are no longer kept, so that a snapshot is needed.
   */
  std::optional<std::vector<Change>> ChangesSince(std::int64_t version) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_CONFIGURATION_FOLLOWER_H_
