#include "gateway/weights_rollout.h"

#include <algorithm>
#include <utility>

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;

// Fraction of the servers that may have an order at once. An order first waits
// for the running requests to end, which takes most of its time, so about half
// of these servers load at any moment. The weights store serves a fifth of the
// fleet without slowing down.
constexpr double kMaxConcurrentShare = 0.2;
constexpr std::size_t kMinConcurrent = 2;
// Poll interval for the report of a loading server.
constexpr milliseconds kPollPeriod{200};
// Delay after a server did not report or refused an order.
constexpr milliseconds kRetryPause{400};
// An order without visible effect after this time is considered lost. If it
// arrives late after all, its expected order count keeps it from being executed
// after the next one.
constexpr milliseconds kOrderTimeout{2500};

// Period of reports of all servers. Gateways take a leader that is silent for
// twice this time for gone.
constexpr milliseconds kFullReportPeriod{1000};

}  // namespace

void WeightsRollout::OnView(const FleetView& view, TimePoint now) {
  if (!view.servers || !view.weights) {
    return;
  }
  standing_.OnListed(
      [&](std::string_view id) {
        return view.servers->contains(std::string(id));
      },
      now);
  const auto leaving = [&](const BackendServer& it) {
    return it.leaving || standing_.Of(it.id, it.born_ms).leaving;
  };
  std::erase_if(servers_, [&](const auto& it) {
    auto found = view.servers->find(it.first);
    return found == view.servers->end() || leaving(found->second);
  });
  for (const auto& [id, server] : *view.servers) {
    if (leaving(server)) {
      continue;
    }
    for (const auto& [model, version] : server.weights) {
      auto target = view.weights->find(model);
      if (target == view.weights->end()) {
        continue;
      }
      Server& it = servers_[id];
      if (it.task.born_ms != server.born_ms ||
          it.task.address != server.address) {
        it = {};
      }
      it.task.server_id = id;
      it.task.born_ms = server.born_ms;
      it.task.address = server.address;
      Model& known = it.models[model];
      OnRow(known, version);
      known.target = target->second;
    }
  }
  // A server may have given up a model.
  for (auto& [id, it] : servers_) {
    const auto& held = view.servers->at(id).weights;
    std::erase_if(it.models, [&](const auto& model) {
      return !held.contains(model.first);
    });
  }
  std::erase_if(servers_,
                [](const auto& it) { return it.second.models.empty(); });
  for (auto& [id, it] : servers_) {
    if (!it.models.contains(it.task.model)) {
      it.task.model = it.models.begin()->first;
      it.phase = Phase::kWaiting;
    }
    const Model& present = it.models[it.task.model];
    it.task.version = present.target;
    if (!NeedsWork(present)) {
      it.phase = Phase::kDone;
    }
    Advance(it);
  }
}

void WeightsRollout::OnRow(Model& model, std::int64_t version) {
  if (version == model.row) {
    return;
  }
  model.row = version;
  model.doubtful = version < model.loaded;
  model.loaded = std::max(model.loaded, version);
}

WeightsRollout::Server* WeightsRollout::Find(const RolloutTask& task) {
  const auto found = servers_.find(task.server_id);
  const bool same = found != servers_.end() &&
                    found->second.task.born_ms == task.born_ms &&
                    found->second.task.address == task.address;
  return same ? &found->second : nullptr;
}

void WeightsRollout::Advance(Server& server) {
  if (server.phase != Phase::kDone) {
    return;
  }
  for (const auto& [model, it] : server.models) {
    if (NeedsWork(it)) {
      server.task.model = model;
      server.task.version = it.target;
      server.phase = Phase::kWaiting;
      return;
    }
  }
}

bool WeightsRollout::OnNotice(const routing::ServerNotice& notice,
                              TimePoint now) {
  const bool changed = standing_.OnNotice(notice, now);
  std::erase_if(servers_, [&](const auto& it) {
    return standing_.Of(it.first, it.second.task.born_ms).leaving;
  });
  return changed;
}

bool WeightsRollout::Paused(const RolloutTask& task, TimePoint now) const {
  return now < standing_.Of(task.server_id, task.born_ms).paused_until;
}

bool WeightsRollout::pending() const {
  return std::any_of(servers_.begin(), servers_.end(), [](const auto& it) {
    const Server& server = it.second;
    return server.phase != Phase::kDone ||
           std::any_of(
               server.models.begin(), server.models.end(),
               [](const auto& model) { return NeedsWork(model.second); });
  });
}

std::size_t WeightsRollout::MaxConcurrent() const {
  return std::max(kMinConcurrent, static_cast<std::size_t>(
                                      kMaxConcurrentShare *
                                      static_cast<double>(servers_.size())));
}

std::optional<RolloutTask> WeightsRollout::Next(TimePoint now) {
  std::size_t loading = 0;
  for (const auto& [id, it] : servers_) {
    const bool starting = it.phase == Phase::kWaiting && it.report_pending;
    loading += it.phase == Phase::kLoading || starting ? 1 : 0;
  }
  for (auto& [id, it] : servers_) {
    if (it.report_pending || now < it.next_poll || Paused(it.task, now)) {
      continue;
    }
    const bool may_start =
        it.phase == Phase::kWaiting && loading < MaxConcurrent();
    if (it.phase == Phase::kLoading || may_start) {
      it.report_pending = true;
      return it.task;
    }
  }
  return std::nullopt;
}

std::optional<WeightsOrder> WeightsRollout::OnReport(const RolloutTask& task,
                                                     const ServerReport& report,
                                                     TimePoint now) {
  Server* const server = Find(task);
  if (server == nullptr) {
    return std::nullopt;
  }
  Server& it = *server;
  it.report_pending = false;
  it.next_poll = now + kPollPeriod;
  for (auto& [model, known] : it.models) {
    known.doubtful = false;
    const auto loaded = report.weights.find(model);
    if (loaded != report.weights.end()) {
      known.loaded = loaded->second;
    }
  }
  if (it.models[it.task.model].loaded >= it.task.version) {
    it.phase = Phase::kDone;
    return std::nullopt;
  }
  if (Paused(task, now)) {
    return std::nullopt;
  }
  if (report.busy) {
    it.phase = Phase::kLoading;
    return std::nullopt;
  }
  // Reports lag by a few hundred milliseconds, so this one may precede the
  // order.
  if (it.phase == Phase::kLoading && now - it.ordered_at < kOrderTimeout) {
    return std::nullopt;
  }
  it.phase = Phase::kLoading;
  it.ordered_at = now;
  it.report_pending = true;  // Until the order is answered.
  WeightsOrder order;
  order.model = it.task.model;
  order.version = it.task.version;
  order.expected_orders = report.orders_taken;
  return order;
}

void WeightsRollout::OnReportFailed(const RolloutTask& task, TimePoint now) {
  if (Server* const server = Find(task)) {
    server->report_pending = false;
    server->next_poll = now + kRetryPause;
  }
}

void WeightsRollout::OnOrderAnswer(const RolloutTask& task,
                                   std::optional<OrderAnswer> answer,
                                   TimePoint now) {
  Server* const server = Find(task);
  if (server == nullptr) {
    return;
  }
  Server& it = *server;
  it.report_pending = false;
  it.next_poll = now + kPollPeriod;
  if (!answer) {
    // The order may be executed late, or never. The repeated order has the same
    // expected order count, so at most one of the two is executed.
    it.phase = Phase::kWaiting;
    return;
  }
  if (*answer == OrderAnswer::kAccepted) {
    return;
  }
  if (*answer == OrderAnswer::kAlreadyHeld) {
    std::int64_t& loaded = it.models[task.model].loaded;
    loaded = std::max(loaded, task.version);
    it.phase = it.models[it.task.model].loaded >= it.task.version
                   ? Phase::kDone
                   : Phase::kWaiting;
    return;
  }
  it.phase = Phase::kWaiting;
  it.next_poll = now + kRetryPause;
}

void WeightsRollout::AbandonOrders() {
  for (auto& [id, it] : servers_) {
    if (it.phase == Phase::kLoading) {
      it.phase = Phase::kWaiting;
    }
    it.report_pending = false;
  }
}

RolloutMap WeightsRollout::TakeProgress(TimePoint now) {
  RolloutMap present = Progress();
  RolloutMap changed;
  const bool all = now - all_reported_at_ >= kFullReportPeriod;
  for (const auto& [id, state] : present) {
    const auto previous = reported_.find(id);
    if (all || previous == reported_.end() || !(previous->second == state)) {
      changed[id] = state;
    }
  }
  all_reported_at_ = all ? now : all_reported_at_;
  reported_ = std::move(present);
  // Only now, so that the gateways learn that the last model is done.
  for (auto& [id, it] : servers_) {
    Advance(it);
  }
  return changed;
}

RolloutMap WeightsRollout::Progress() const {
  RolloutMap map;
  for (const auto& [id, it] : servers_) {
    map[id] = {it.task.model, it.models.at(it.task.model).loaded,
               it.phase == Phase::kLoading};
  }
  return map;
}

}  // namespace peridotgate::gateway
