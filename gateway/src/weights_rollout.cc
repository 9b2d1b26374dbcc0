#include "gateway/weights_rollout.h"

#include <algorithm>

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;

// The part of the servers that is ordered at once. Most of an order's time goes
// by until the runs under way have ended, so about half of these load at one
// moment; the store of weights serves a fifth of the fleet without slowing
// down.
constexpr double kShareAtOnce = 0.2;
constexpr std::size_t kLeastAtOnce = 2;
// Between two questions for the report of a loading server.
constexpr milliseconds kAskPeriod{200};
// After a server did not report or refused an order.
constexpr milliseconds kRetryPause{400};
// An order that shows no effect by now was lost; the count of orders that it
// expected keeps a late one from being carried out after the next.
constexpr milliseconds kOrderTimeout{2500};

}  // namespace

void WeightsRollout::OnView(const FleetView& view) {
  if (!view.servers || !view.weights) {
    return;
  }
  std::erase_if(servers_, [&](const auto& it) {
    auto found = view.servers->find(it.first);
    return found == view.servers->end() || found->second.leaving;
  });
  for (const auto& [id, server] : *view.servers) {
    if (server.leaving) {
      continue;
    }
    for (const auto& [model, version] : server.weights) {
      auto target = view.weights->find(model);
      if (target == view.weights->end()) {
        continue;
      }
      Server& it = servers_[id];
      it.present = std::max(it.present, version);
      const bool newer = target->second > it.task.version;
      it.task = {id, server.address, model, target->second};
      if (it.present >= target->second) {
        it.phase = Phase::kDone;
      } else if (newer && it.phase == Phase::kDone) {
        it.phase = Phase::kWaiting;
      }
    }
  }
}

bool WeightsRollout::pending() const {
  return std::any_of(servers_.begin(), servers_.end(), [](const auto& it) {
    return it.second.phase != Phase::kDone;
  });
}

std::size_t WeightsRollout::AtOnce() const {
  return std::max(kLeastAtOnce,
                  static_cast<std::size_t>(
                      kShareAtOnce * static_cast<double>(servers_.size())));
}

std::optional<RolloutTask> WeightsRollout::Next(TimePoint now) {
  std::size_t loading = 0;
  for (const auto& [id, it] : servers_) {
    const bool begun = it.phase == Phase::kWaiting && it.asked;
    loading += it.phase == Phase::kLoading || begun ? 1 : 0;
  }
  for (auto& [id, it] : servers_) {
    if (it.asked || now < it.next_ask) {
      continue;
    }
    const bool starts = it.phase == Phase::kWaiting && loading < AtOnce();
    if (it.phase == Phase::kLoading || starts) {
      it.asked = true;
      return it.task;
    }
  }
  return std::nullopt;
}

std::optional<WeightsOrder> WeightsRollout::OnReport(const RolloutTask& task,
                                                     const ServerReport& report,
                                                     TimePoint now) {
  auto found = servers_.find(task.server_id);
  if (found == servers_.end()) {
    return std::nullopt;
  }
  Server& it = found->second;
  it.asked = false;
  it.next_ask = now + kAskPeriod;
  auto present = report.weights.find(task.model);
  if (present != report.weights.end()) {
    it.present = present->second;
  }
  if (it.present >= it.task.version) {
    it.phase = Phase::kDone;
    return std::nullopt;
  }
  if (report.busy) {
    it.phase = Phase::kLoading;
    return std::nullopt;
  }
  // Reports lag by some hundred milliseconds.
  if (it.phase == Phase::kLoading && now - it.ordered_at < kOrderTimeout) {
    return std::nullopt;
  }
  it.phase = Phase::kLoading;
  it.ordered_at = now;
  it.asked = true;  // Until the order is answered.
  WeightsOrder order;
  order.model = it.task.model;
  order.version = it.task.version;
  order.expected_orders = report.orders_taken;
  return order;
}

void WeightsRollout::OnNoReport(const RolloutTask& task, TimePoint now) {
  auto found = servers_.find(task.server_id);
  if (found != servers_.end()) {
    found->second.asked = false;
    found->second.next_ask = now + kRetryPause;
  }
}

void WeightsRollout::OnOrderAnswer(const RolloutTask& task,
                                   std::optional<OrderAnswer> answer,
                                   TimePoint now) {
  auto found = servers_.find(task.server_id);
  if (found == servers_.end()) {
    return;
  }
  Server& it = found->second;
  it.asked = false;
  it.next_ask = now + kAskPeriod;
  if (!answer) {
    // It may be carried out late, or never. Given again with the same count of
    // orders, at most one of the two is carried out.
    it.phase = Phase::kWaiting;
    return;
  }
  if (*answer == OrderAnswer::kAccepted) {
    return;
  }
  if (*answer == OrderAnswer::kAlreadyHeld) {
    it.present = std::max(it.present, task.version);
    it.phase = it.present >= it.task.version ? Phase::kDone : Phase::kWaiting;
    return;
  }
  it.phase = Phase::kWaiting;
  it.next_ask = now + kRetryPause;
}

void WeightsRollout::Forget() {
  for (auto& [id, it] : servers_) {
    if (it.phase == Phase::kLoading) {
      it.phase = Phase::kWaiting;
    }
    it.asked = false;
  }
}

RolloutMap WeightsRollout::Progress() const {
  RolloutMap map;
  for (const auto& [id, it] : servers_) {
    map[id] = {it.task.model, it.present, it.phase == Phase::kLoading};
  }
  return map;
}

}  // namespace peridotgate::gateway
