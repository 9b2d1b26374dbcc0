#include "coordination/lease.h"

#include <algorithm>

#include "coordination/check.h"

namespace peridotgate::charts {
extern const std::string_view k_lease;
}  // namespace peridotgate::charts

namespace peridotgate::coordination {
namespace {

const StateChart& Chart() {
  static const StateChart chart = StateChart::Embedded(charts::k_lease);
  return chart;
}

}  // namespace

Lease::Lease(LeaseOptions options, Id128 self)
    : options_(options), self_(self), cursor_(Chart()) {
  PG_CHECK(options.margin + options.renewal < options.length);
}

LeaseAction Lease::Next(TimePoint now) {
  if (outstanding_) {
    return LeaseAction::kNone;
  }
  if (cursor_.Is("stopped")) {
    return LeaseAction::kNone;
  }
  if (cursor_.Is("holding") && now >= held_until_) {
    cursor_.Step("lapse");
  }
  if (cursor_.Is("holding")) {
    if (now < last_write_sent_ + options_.renewal) {
      return LeaseAction::kNone;
    }
    cursor_.Step("renew");
    acquiring_ = false;
    return Write(token_, now);
  }
  if (cursor_.Is("watching") && HasExpired(now)) {
    cursor_.Step("expired");
    acquiring_ = true;
    return Write(last_row_ ? last_row_->token + 1 : 1, now);
  }
  return now >= next_read_ ? Read(now) : LeaseAction::kNone;
}

LeaseAction Lease::NextRead(TimePoint now) {
  const bool waits = cursor_.Is("idle") || cursor_.Is("watching");
  return !outstanding_ && waits && now >= next_read_ ? Read(now)
                                                     : LeaseAction::kNone;
}

LeaseAction Lease::Read(TimePoint now) {
  outstanding_ = true;
  next_read_ = now + options_.read_period;
  return LeaseAction::kRead;
}

LeaseAction Lease::Write(std::int64_t token, TimePoint now) {
  outstanding_ = true;
  last_write_sent_ = now;
  last_write_.holder = self_;
  last_write_.token = token;
  last_write_.revision = (last_row_ ? last_row_->revision : 0) + 1;
  ++last_write_.attempt;
  last_write_.stored = LatestStoreTime(now);
  last_write_.era = era_;
  return LeaseAction::kWrite;
}

// The latest time that the store's clock may show at `at`; 0 if unknown.
std::chrono::milliseconds Lease::LatestStoreTime(TimePoint at) const {
  if (!store_time_) {
    return {};
  }
  // A reading leaves out the fraction of its last millisecond.
  constexpr std::chrono::milliseconds kFraction{1};
  return store_time_->time + kFraction +
         std::chrono::ceil<std::chrono::milliseconds>(at - store_time_->asked);
}

// A record that names this process as the holder is taken over immediately,
// even if it is not the last write: no other process can have acted under it.
// None of this holds for a row that a restore may have lost or brought back.
bool Lease::HasExpired(TimePoint now) const {
  const bool uncertain = last_row_ ? IsFromBackup(*last_row_) : era_ != 0;
  if (uncertain) {
    return now - last_row_since_ >= options_.length;
  }
  if (!last_row_ || last_row_->holder == self_) {
    return true;
  }
  const bool released = last_row_->holder == Id128{};
  const Duration wait = released ? options_.margin : options_.length;
  return now - last_row_since_ >= wait;
}

void Lease::Observe(const std::optional<LeaseRecord>& row,
                    TimePoint now,
                    const std::optional<StoreTime>& store_time) {
  if (!has_read_ || last_row_ != row) {
    last_row_ = row;
    last_row_since_ = now;
    has_read_ = true;
  }
  if (row && !IsFromBackup(*row) && store_time && row->stored.count() > 0) {
    const Duration age =
        std::max(Duration{}, Duration(store_time->time - row->stored));
    last_row_since_ = std::min(last_row_since_, now - age);
  }
}

void Lease::MarkHeld(const StoreVersion& version) {
  last_row_ = last_write_;
  if (acquiring_) {
    token_ = era_ == 0 ? last_write_.token : FencingToken(version);
  }
  held_until_ = last_write_sent_ + options_.length - options_.margin;
}

void Lease::OnEra(std::int64_t era) {
  if (era <= era_ || !options_.heed_eras) {
    return;
  }
  era_ = era;
  has_read_ = false;
  last_row_.reset();
  next_read_ = {};
  // The result of an outstanding write ends the other states.
  for (const std::string_view it : {"watching", "holding", "unsure"}) {
    if (cursor_.Is(it)) {
      cursor_.Step("restored");
      return;
    }
  }
}

void Lease::OnRead(const std::optional<LeaseRecord>& row,
                   TimePoint now,
                   std::optional<StoreTime> store_time,
                   StoreVersion version) {
  PG_CHECK(outstanding_);
  outstanding_ = false;
  store_time_ = store_time ? store_time : store_time_;
  const bool own = row && *row == last_write_;
  if (cursor_.Is("unsure") && own) {
    cursor_.Step("read_own");
    MarkHeld(version);
    return;
  }
  Observe(row, now, store_time);
  if (cursor_.Is("unsure")) {
    cursor_.Step("read_other");
  } else if (cursor_.Is("idle")) {
    cursor_.Step("read");
  }
}

void Lease::OnReadFailed(TimePoint now) {
  PG_CHECK(outstanding_);
  outstanding_ = false;
  next_read_ = now + options_.read_period;
}

void Lease::OnWrite(LeaseWrite result,
                    TimePoint now,
                    std::optional<StoreTime> store_time,
                    StoreVersion version) {
  PG_CHECK(outstanding_);
  outstanding_ = false;
  store_time_ = store_time ? store_time : store_time_;
  next_read_ = now;
  if (IsFromBackup(last_write_)) {
    cursor_.Step("restored");
    return;
  }
  switch (result) {
    case LeaseWrite::kDone:
      cursor_.Step("written");
      MarkHeld(version);
      return;
    case LeaseWrite::kConflict:
      cursor_.Step("conflict");
      return;
    case LeaseWrite::kUnknown:
      cursor_.Step("lost");
      return;
  }
}

std::optional<LeaseRecord> Lease::Release(TimePoint now) {
  PG_CHECK(!outstanding_);
  if (cursor_.Is("stopped")) {
    return std::nullopt;
  }
  const bool held = cursor_.Is("holding");
  cursor_.Step("stop");
  if (!held) {
    return std::nullopt;
  }
  LeaseRecord released = last_write_;
  released.holder = Id128{};
  ++released.revision;
  ++released.attempt;
  released.stored = LatestStoreTime(std::min(now, held_until_));
  return released;
}

std::optional<std::int64_t> Lease::token(TimePoint now) const {
  const bool held = (cursor_.Is("holding") || cursor_.Is("renewing")) &&
                    !IsFromBackup(last_write_);
  if (!held || (options_.enforce_expiry && now >= held_until_)) {
    return std::nullopt;
  }
  return token_;
}

}  // namespace peridotgate::coordination
