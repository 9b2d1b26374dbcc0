#include "recent_replies.h"

namespace peridotgate::agent {
namespace {

constexpr std::size_t kBytesPerRecord = 256;
// A record may take at most the memory limit divided by this.
constexpr std::size_t kMaxRecordDivisor = 4;

std::size_t SizeOf(const wire::ClaimRecord& record) {
  return record.body.size() + kBytesPerRecord;
}

}  // namespace

void RecentReplies::Add(const ClaimKey& key, wire::ClaimRecord record) {
  const std::size_t size = SizeOf(record);
  if (size > max_bytes_ / kMaxRecordDivisor) {
    return;
  }
  if (!records_.emplace(key, std::move(record)).second) {
    return;
  }
  by_age_.push_back(key);
  bytes_ += size;
  while (bytes_ > max_bytes_) {
    auto oldest = records_.find(by_age_.front());
    bytes_ -= SizeOf(oldest->second);
    records_.erase(oldest);
    by_age_.pop_front();
  }
}

const wire::ClaimRecord* RecentReplies::Find(const ClaimKey& key) const {
  auto it = records_.find(key);
  return it == records_.end() ? nullptr : &it->second;
}

}  // namespace peridotgate::agent
