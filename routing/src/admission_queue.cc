#include "routing/admission_queue.h"

#include <algorithm>

namespace peridotgate::routing {
namespace {

// Counts are halved at this number of arrivals, so that the shares served
// follow the present load.
constexpr double kMaxArrivals = 512;
// Organisations without waiting requests that are remembered for each priority.
constexpr std::size_t kMaxShares = 64;

// Unused tokens for turns that are kept: about three large requests.
constexpr double kMaxTurnTokens = 32000;

}  // namespace

void AdmissionQueue::CountArrival(Level& level) {
  level.arrived += 1;
  if (level.arrived > kMaxArrivals) {
    level.arrived /= 2;
    level.started /= 2;
  }
}

void AdmissionQueue::CountStart(ServiceQueue& queue,
                                const QueuedRequest& request) {
  const std::int64_t tokens = std::max<std::int64_t>(1, request.need_tokens);
  queue.levels[request.priority].started += 1;
  queue.started_tokens += tokens;
  queue.turn_tokens =
      std::min(kMaxTurnTokens,
               queue.turn_tokens + kTurnShare * static_cast<double>(tokens));
}

std::optional<QueueId> AdmissionQueue::Add(QueuedRequest request) {
  ServiceQueue& queue = services_[request.service];
  Level& level = queue.levels[request.priority];
  if (requests_.size() >= limits_.requests ||
      bytes_ + request.bytes > limits_.bytes) {
    return std::nullopt;
  }
  CountArrival(level);
  if (level.shares.size() > kMaxShares) {
    std::erase_if(level.shares,
                  [](const auto& it) { return it.second.waiting.empty(); });
  }
  const QueueId id = ++last_id_;
  Share& share = level.shares[request.organisation];
  if (share.waiting.empty()) {
    // An organisation saves up nothing while it has no waiting requests.
    share.served_tokens = std::max(share.served_tokens, level.virtual_time);
  }
  share.waiting.emplace(request.latest_start, id);
  ++level.waiting;
  queue.by_need.emplace(request.need_tokens, id);
  bytes_ += request.bytes;
  requests_.emplace(id, Entry{std::move(request), queue.started_tokens});
  return id;
}

void AdmissionQueue::Remove(QueueId id, Departure departure) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const QueuedRequest& request = found->second.request;
  ServiceQueue& queue = services_[request.service];
  Level& level = queue.levels[request.priority];
  Share& share = level.shares[request.organisation];
  share.waiting.erase({request.latest_start, id});
  --level.waiting;
  queue.by_need.erase({request.need_tokens, id});
  if (departure != Departure::kDropped) {
    level.virtual_time = std::max(level.virtual_time, share.served_tokens);
    share.served_tokens +=
        static_cast<double>(std::max<std::int64_t>(1, request.need_tokens));
    CountStart(queue, request);
    if (departure == Departure::kTurn) {
      queue.turn_tokens -= static_cast<double>(request.need_tokens);
    }
  }
  bytes_ -= request.bytes;
  requests_.erase(found);
}

void AdmissionQueue::OnStartedAtOnce(const QueuedRequest& request) {
  ServiceQueue& queue = services_[request.service];
  Level& level = queue.levels[request.priority];
  CountArrival(level);
  CountStart(queue, request);
}

std::optional<QueueId> AdmissionQueue::First(std::string_view service,
                                             std::int64_t need_below) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.by_need.empty() ||
      found->second.by_need.begin()->first >= need_below) {
    return std::nullopt;
  }
  for (const auto& [priority, level] : found->second.levels) {
    std::optional<QueueId> best;
    double least = 0;
    for (const auto& [name, share] : level.shares) {
      if (level.waiting == 0 || (best && share.served_tokens >= least)) {
        continue;
      }
      const auto fitting = std::find_if(
          share.waiting.begin(), share.waiting.end(), [&](const auto& it) {
            return Get(it.second).need_tokens < need_below;
          });
      if (fitting != share.waiting.end()) {
        best = fitting->second;
        least = share.served_tokens;
      }
    }
    if (best) {
      return best;
    }
  }
  return std::nullopt;
}

std::optional<QueueId> AdmissionQueue::Smallest(
    std::string_view service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.by_need.empty()) {
    return std::nullopt;
  }
  return found->second.by_need.begin()->second;
}

// Whether a smaller share of this priority is served than of every more urgent
// one.
bool AdmissionQueue::MayTakeTurn(const ServiceQueue& queue,
                                 int priority) const {
  const double own = queue.levels.at(priority).served_share();
  return std::all_of(
      queue.levels.begin(), queue.levels.lower_bound(priority),
      [own](const auto& it) { return own < it.second.served_share(); });
}

std::optional<QueueId> AdmissionQueue::Overdue(std::string_view service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.turn_tokens <= 0) {
    return std::nullopt;
  }
  const ServiceQueue& queue = found->second;
  std::optional<QueueId> oldest;
  for (const auto& [need, id] : queue.by_need) {
    const Entry& entry = requests_.at(id);
    const std::int64_t passed = queue.started_tokens - entry.started_tokens;
    if ((!oldest || id < *oldest) && passed >= kPassedFactor * need &&
        MayTakeTurn(queue, entry.request.priority)) {
      oldest = id;
    }
  }
  return oldest;
}

std::vector<QueueId> AdmissionQueue::Late(TimePoint now) const {
  std::vector<QueueId> late;
  for (const auto& [id, entry] : requests_) {
    if (entry.request.latest_start < now) {
      late.push_back(id);
    }
  }
  std::stable_sort(late.begin(), late.end(), [this](QueueId a, QueueId b) {
    return Get(a).priority > Get(b).priority;
  });
  return late;
}

std::size_t AdmissionQueue::size(std::string_view service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.by_need.size();
}

bool AdmissionQueue::empty(std::string_view service) const {
  const auto found = services_.find(service);
  return found == services_.end() || found->second.by_need.empty();
}

std::vector<std::string> AdmissionQueue::Services() const {
  std::vector<std::string> names;
  for (const auto& [name, queue] : services_) {
    if (!queue.by_need.empty()) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace peridotgate::routing
