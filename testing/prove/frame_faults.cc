#include "prove/frame_faults.h"

#include <algorithm>
#include <span>
#include <utility>

#include "coordination/check.h"
#include "wire/codec.h"

namespace peridotgate::prove {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMostDelay{120};
constexpr milliseconds kMostCopyDelay{400};
constexpr milliseconds kMostCrossing{40};
constexpr int kStruckOneIn = 3;

// The length of the frame at the start of `bytes`, or 0 when it isn't whole.
std::size_t WholeFrame(std::string_view bytes) {
  if (bytes.size() < wire::kLengthBytes) {
    return 0;
  }
  const auto head = std::as_bytes(std::span(bytes)).first<wire::kLengthBytes>();
  const auto length = wire::DecodeLength(head);
  PG_CHECK(length.has_value());
  const std::size_t size = wire::kLengthBytes + length.value();
  return bytes.size() < size ? 0 : size;
}

}  // namespace

std::size_t FrameFaults::Take(std::string_view bytes,
                              FrameFault fault,
                              TimePoint now) {
  if (unit_ == LinkUnit::kBytes) {
    return TakeFrame(std::string(bytes), fault, now) ? 1 : 0;
  }
  unread_ += bytes;
  std::size_t struck = 0;
  std::size_t size = 0;
  while ((size = WholeFrame(unread_)) > 0) {
    struck += TakeFrame(unread_.substr(0, size), fault, now) ? 1 : 0;
    unread_.erase(0, size);
  }
  return struck;
}

bool FrameFaults::TakeFrame(std::string frame,
                            FrameFault fault,
                            TimePoint now) {
  const bool struck =
      std::uniform_int_distribution<int>(1, kStruckOneIn)(random_) == 1;
  const TimePoint in_order = std::max(now, in_order_until_);
  if (fault == FrameFault::kNone || !struck) {
    held_.emplace(in_order, std::move(frame));
    return false;
  }
  if (fault == FrameFault::kCrossed) {
    held_.emplace(in_order + DrawTime(kMostCrossing), std::move(frame));
    return true;
  }
  if (fault == FrameFault::kDuplicated) {
    held_.emplace(in_order, frame);
    held_.emplace(in_order + DrawTime(kMostCopyDelay), std::move(frame));
    return true;
  }
  in_order_until_ = in_order + DrawTime(kMostDelay);
  held_.emplace(in_order_until_, std::move(frame));
  return true;
}

void FrameFaults::Release(TimePoint now, std::string& out) {
  const auto due = held_.upper_bound(now);
  for (auto it = held_.begin(); it != due; ++it) {
    out += it->second;
  }
  held_.erase(held_.begin(), due);
}

milliseconds FrameFaults::DrawTime(milliseconds most) {
  return milliseconds(
      std::uniform_int_distribution<std::int64_t>(1, most.count())(random_));
}

}  // namespace peridotgate::prove
