// A lease with a fencing token, stored in one row that is updated by
// compare-and-set. Does no I/O and needs no shared clock: each contender
// measures time with its own clock. If the store that keeps the row tells its
// time, a contender also knows how old a row is that it reads for the first
// time. If the store tells its eras, the lease is safe across restores.
#ifndef COORDINATION_LEASE_H_
#define COORDINATION_LEASE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "coordination/clock.h"
#include "coordination/ids.h"
#include "coordination/state_chart.h"
#include "coordination/store_version.h"

namespace peridotgate::coordination {

/** Content of the row that stores the lease. */
struct LeaseRecord {
  Id128 holder;               // Unique per process start; zero: released.
  std::int64_t token = 0;     // Increases with each new holder.
  std::int64_t revision = 0;  // Increases with each write.
  std::int64_t attempt = 0;   // Distinguishes the holder's writes.
  // The store's time when the holder sent the write, or when it last acted if
  // it released the lease, and never earlier; 0: unknown.
  std::chrono::milliseconds stored{0};
  // The era of the store in which the holder sent the write; a row of an
  // earlier era comes from a backup.
  std::int64_t era = 0;

  bool operator==(const LeaseRecord&) const = default;
};

/** The I/O that the owner of a `Lease` must do next. */
enum class LeaseAction {
  kNone,
  kRead,   // Read the row, then call `OnRead` or `OnReadFailed`.
  kWrite,  // Write `to_write` if the row still has the preceding revision.
};

/** Outcome of a write. */
enum class LeaseWrite { kDone, kConflict, kUnknown };

/** A reading of the steady clock of the store that keeps the row. */
struct StoreTime {
  std::chrono::milliseconds time{0};
  TimePoint asked{};  // When the call that returned it was sent.
};

/** Durations of a lease. */
struct LeaseOptions {
  Duration length = std::chrono::seconds(6);
  Duration margin = std::chrono::seconds(1);  // Allows for clock drift.
  Duration renewal = std::chrono::seconds(2);
  Duration read_period = std::chrono::seconds(1);
  bool enforce_expiry = true;  // For tests: false keeps an expired token.
  bool heed_eras = true;       // For tests: false ignores the store's eras.
};

/**
 * One contender for the lease. It considers another holder's lease expired when
 * it has observed the row unchanged for `length`. A holder's token is valid for
 * `length` minus `margin`, counted from when it *sent* its last confirmed
 * write. It therefore stops before a successor can start, even if the process
 * was paused.
 *
 * A restore of the store may lose the row or bring back an earlier one. A
 * holder stops when it learns of the new era. Until then it may act on a write
 * that was confirmed before the restore, so a contender takes over only when it
 * has known the new era and the row unchanged for `length`, unless the row was
 * written in that era. Tokens then follow from the version of the write that
 * acquired the lease, not from the row.
 *
 *     Lease lease({}, NewId());
 *     switch (lease.Next(clock.Now())) { ... }
 *     if (auto token = lease.token(clock.Now())) { Act(*token); }
 */
class Lease {
 public:
  Lease(LeaseOptions options, Id128 self);

  /**
   * Returns the next action. The action is outstanding until its result is
   * passed to `OnRead`, `OnReadFailed` or `OnWrite`.
   */
  LeaseAction Next(TimePoint now);

  /** The next action of a contender that doesn't want the lease yet: it only
   * reads, so that it knows later how long the row has been unchanged. */
  LeaseAction NextRead(TimePoint now);

  /**
   * The record to write, on condition that the row's revision is one less than
   * the record's.
   */
  const LeaseRecord& to_write() const { return last_write_; }

  /** The store is known to be in this era; earlier ones are ignored. May be
   * called at any time. */
  void OnEra(std::int64_t era);

  /** Reports the row in the present era, its version, and the store's time when
   * it was read, if known. */
  void OnRead(const std::optional<LeaseRecord>& row,
              TimePoint now,
              std::optional<StoreTime> store_time = std::nullopt,
              StoreVersion version = {});
  /** Reports that reading the row failed. */
  void OnReadFailed(TimePoint now);
  /** Reports the result of a write, and the version that it created. */
  void OnWrite(LeaseWrite result,
               TimePoint now,
               std::optional<StoreTime> store_time = std::nullopt,
               StoreVersion version = {});

  /**
   * Stops contending. If this contender holds the lease, returns a record to
   * write under the usual condition, which lets a successor take over after
   * `margin` instead of `length`. Must not be called while an action is
   * outstanding.
   */
  std::optional<LeaseRecord> Release(TimePoint now);

  /** The fencing token while the lease is guaranteed to be held. */
  std::optional<std::int64_t> token(TimePoint now) const;

  std::string_view state() const { return cursor_.state(); }

 private:
  LeaseAction Read(TimePoint now);
  LeaseAction Write(std::int64_t token, TimePoint now);
  bool HasExpired(TimePoint now) const;
  void Observe(const std::optional<LeaseRecord>& row,
               TimePoint now,
               const std::optional<StoreTime>& store_time);
  void MarkHeld(const StoreVersion& version);
  bool IsFromBackup(const LeaseRecord& row) const { return row.era != era_; }
  std::chrono::milliseconds LatestStoreTime(TimePoint at) const;

  LeaseOptions options_;
  Id128 self_;
  ChartCursor cursor_;
  bool outstanding_ = false;
  TimePoint next_read_{};
  std::optional<LeaseRecord> last_row_;
  TimePoint last_row_since_{};
  bool has_read_ = false;
  std::int64_t era_ = 0;  // The newest that is known.
  LeaseRecord last_write_;
  bool acquiring_ = false;  // `last_write_` acquires the lease.
  TimePoint last_write_sent_{};
  std::int64_t token_ = 0;
  TimePoint held_until_{};
  std::optional<StoreTime> store_time_;  // The last one that was reported.
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_LEASE_H_
