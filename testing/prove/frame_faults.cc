#include "prove/frame_faults.h"

#include <algorithm>
#include <span>
#include <utility>

#include "coordination/check.h"
#include "wire/codec.h"

namespace peridotgate::prove {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxDelay{120};
constexpr milliseconds kMaxCopyDelay{400};
constexpr milliseconds kMaxReorderDelay{40};
constexpr int kFaultOneIn = 3;

// Returns the size of the frame at the start of `bytes`, or 0 if incomplete.
std::size_t WholeFrameSize(std::string_view bytes) {
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

std::size_t FrameFaults::Enqueue(std::string_view bytes,
                                 FrameFault fault,
                                 TimePoint now) {
  if (unit_ == LinkUnit::kBytes) {
    return EnqueueFrame(std::string(bytes), fault, now) ? 1 : 0;
  }
  incomplete_ += bytes;
  std::size_t faulted = 0;
  std::size_t size = 0;
  while ((size = WholeFrameSize(incomplete_)) > 0) {
    faulted += EnqueueFrame(incomplete_.substr(0, size), fault, now) ? 1 : 0;
    incomplete_.erase(0, size);
  }
  return faulted;
}

bool FrameFaults::EnqueueFrame(std::string frame,
                               FrameFault fault,
                               TimePoint now) {
  const bool faulted =
      std::uniform_int_distribution<int>(1, kFaultOneIn)(random_) == 1;
  const TimePoint in_order_due = std::max(now, in_order_until_);
  if (fault == FrameFault::kNone || !faulted) {
    held_.emplace(in_order_due, std::move(frame));
    return false;
  }
  if (fault == FrameFault::kReordered) {
    held_.emplace(in_order_due + DrawDelay(kMaxReorderDelay), std::move(frame));
    return true;
  }
  if (fault == FrameFault::kDuplicated) {
    held_.emplace(in_order_due, frame);
    held_.emplace(in_order_due + DrawDelay(kMaxCopyDelay), std::move(frame));
    return true;
  }
  in_order_until_ = in_order_due + DrawDelay(kMaxDelay);
  held_.emplace(in_order_until_, std::move(frame));
  return true;
}

void FrameFaults::PopDue(TimePoint now, std::string& out) {
  const auto due = held_.upper_bound(now);
  for (auto it = held_.begin(); it != due; ++it) {
    out += it->second;
  }
  held_.erase(held_.begin(), due);
}

milliseconds FrameFaults::DrawDelay(milliseconds max_delay) {
  return milliseconds(std::uniform_int_distribution<std::int64_t>(
      1, max_delay.count())(random_));
}

}  // namespace peridotgate::prove
