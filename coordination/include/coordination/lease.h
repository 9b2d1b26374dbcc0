// A lease with a fencing token, over one row that is changed by
// compare-and-set. No I/O and no shared clock: each side measures with its own.
#ifndef COORDINATION_LEASE_H_
#define COORDINATION_LEASE_H_

#include <cstdint>
#include <optional>

#include "coordination/clock.h"
#include "coordination/ids.h"
#include "coordination/state_chart.h"

namespace peridotgate::coordination {

/** The content of the lease's row. */
struct LeaseRecord {
  Id128 holder;               // One process from start to end; zero: released.
  std::int64_t token = 0;     // Grows with each new holder.
  std::int64_t revision = 0;  // Grows with each write.
  std::int64_t attempt = 0;   // Tells the holder's writes apart.

  bool operator==(const LeaseRecord&) const = default;
};

/** What the owner of a `Lease` is to do next. */
enum class LeaseAction {
  kNone,
  kRead,   // Read the row, then call `OnRead`.
  kWrite,  // Write `to_write` if the row has the revision before it.
};

/** How a write went. */
enum class LeaseWrite { kDone, kConflict, kUnknown };

/** Times of a lease. */
struct LeaseOptions {
  Duration length = std::chrono::seconds(6);
  Duration margin = std::chrono::seconds(1);  // Clocks may differ in rate.
  Duration renewal = std::chrono::seconds(2);
  Duration read_period = std::chrono::seconds(1);
  bool stop_when_lapsed = true;  // Test switch: act only within the lease.
};

/**
 * One contender. The lease of another counts as ended when its row did not
 * change for `length` while this contender looked on. The holder acts within
 * `length` less `margin` of the moment that it *sent* the write that is known
 * to have landed, so it stops before anyone may follow, also after a pause.
 *
 *     Lease lease({}, NewId());
 *     switch (lease.Next(clock.Now())) { ... }
 *     if (auto token = lease.token(clock.Now())) { Act(*token); }
 */
class Lease {
 public:
  Lease(LeaseOptions options, Id128 self);

  /** The next step; it is outstanding until its result is given. */
  LeaseAction Next(TimePoint now);

  /** The record to write; its revision less one is the condition. */
  const LeaseRecord& to_write() const { return written_; }

  void OnRead(const std::optional<LeaseRecord>& row, TimePoint now);
  /** The row could not be read. */
  void OnReadFailed(TimePoint now);
  void OnWrite(LeaseWrite result, TimePoint now);

  /**
   * Ends this contender's part. What it held may be followed after `margin`
   * instead of the whole length: the record to write under the usual condition,
   * or nothing when it holds nothing. Not while a step is outstanding.
   */
  std::optional<LeaseRecord> Release();

  /** The fencing token while the lease is surely held, or nothing. */
  std::optional<std::int64_t> token(TimePoint now) const;

  std::string_view state() const { return cursor_.state(); }

 private:
  LeaseAction Read(TimePoint now);
  LeaseAction Write(std::int64_t token, TimePoint now);
  bool HasExpired(TimePoint now) const;
  void Observe(const std::optional<LeaseRecord>& row, TimePoint now);
  void Hold();

  LeaseOptions options_;
  Id128 self_;
  ChartCursor cursor_;
  bool outstanding_ = false;
  TimePoint next_read_{};
  std::optional<LeaseRecord> seen_;
  TimePoint seen_since_{};
  bool seen_any_ = false;
  LeaseRecord written_;
  TimePoint sent_{};
  std::int64_t token_ = 0;
  TimePoint held_until_{};
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_LEASE_H_
