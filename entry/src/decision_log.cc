#include "decision_log.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

namespace peridotgate::entry {
namespace {

std::string Format(const ConsideredServer& it) {
  return fmt::format(
      "  {}: predicted {} us, holds {}, waits {} us, {} in flight ({} long), "
      "slowness {:.2f}{}\n",
      it.instance, it.predicted.count(), it.probed.held_pieces,
      it.probed.queue_wait.count(), it.probed.in_flight,
      it.probed.long_in_flight, it.probed.slowness,
      it.probed.leaving ? ", leaving" : "");
}

}  // namespace

std::string Format(const DecisionRecord& record) {
  std::string text = fmt::format(
      "request {} for {}: {} ({}); {} pieces, {} of {} servers answered\n",
      coordination::ToHex(record.request_id), record.target,
      record.chosen.empty() ? "no server" : record.chosen,
      routing::ReasonName(record.reason), record.pieces,
      record.considered.size(), record.probed_count);
  for (const ConsideredServer& it : record.considered) {
    text += Format(it);
  }
  return text;
}

void DecisionLog::Add(DecisionRecord record) {
  std::scoped_lock lock(mutex_);
  if (added_ % kSampleInterval == 0) {
    const std::size_t n = added_ / kSampleInterval % kMaxSamples;
    sampled_.resize(std::max(sampled_.size(), n + 1));
    sampled_[n] = record;
  }
  const std::size_t n = added_++ % kMaxRecent;
  recent_.resize(std::max(recent_.size(), n + 1));
  recent_[n] = std::move(record);
}

std::string DecisionLog::Explain(const coordination::Id128& request_id) const {
  std::scoped_lock lock(mutex_);
  std::string text;
  for (const DecisionRecord& it : recent_) {
    if (it.request_id == request_id) {
      text += Format(it);
    }
  }
  return text;
}

std::string DecisionLog::Samples() const {
  std::scoped_lock lock(mutex_);
  std::string text;
  for (const DecisionRecord& it : sampled_) {
    text += Format(it);
  }
  return text;
}

}  // namespace peridotgate::entry
