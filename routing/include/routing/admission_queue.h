// Orders requests that wait at a gateway until a server has room for them.
// Answers the load at which demand exceeds the memory of the engines: requests
// sent regardless would wait in the engines' queues, where they can't be
// reordered or refused in time. No I/O.
#ifndef ROUTING_ADMISSION_QUEUE_H_
#define ROUTING_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/clock.h"

namespace peridotgate::routing {

using coordination::TimePoint;

/** A request that waits for room. */
struct QueuedRequest {
  std::string service;
  int priority = 0;          // 0 is the most urgent.
  TimePoint latest_start{};  // A later start misses the objective.
  std::string organisation;
  std::size_t bytes = 0;         // Held while it waits.
  std::int64_t need_tokens = 0;  // Memory that it needs at a server.
};

/** Bounds of a queue. */
struct QueueLimits {
  std::size_t requests = 256;
  std::size_t bytes = 8 << 20;
};

/** Names a request in the queue. Later requests have larger ids. */
using QueueId = std::uint64_t;

/** Why a request left the queue. */
enum class Departure {
  kStarted,  // A server had room for it.
  kTurn,     // Sent although it fitted nowhere, as it was overdue.
  kDropped,  // Its caller left, or it was refused.
};

/**
 * The waiting requests of all services. Within a service, the order is by
 * priority, then by the tokens that the organisations were served, then by
 * latest start. An eighth of the tokens started goes to the oldest requests
 * that were passed by several times their need, even if no server has room for
 * them: with only small gaps in the servers' memory, large requests would
 * starve otherwise. Less urgent requests have such a turn only while a smaller
 * share of them is served than of any more urgent priority.
 *
 *     auto id = queue.Add(request);
 *     ...
 *     if (auto next = queue.First(service)) { ... }
 *     queue.Remove(*id, Departure::kStarted);
 */
class AdmissionQueue {
 public:
  // Tokens that start before a request, as a multiple of its need, until it may
  // have a turn.
  static constexpr std::int64_t kPassedFactor = 4;
  // Part of the tokens started that may go to turns.
  static constexpr double kTurnShare = 0.125;
  static constexpr std::int64_t kAnyNeed =
      std::numeric_limits<std::int64_t>::max();

  explicit AdmissionQueue(QueueLimits limits = {}) : limits_(limits) {}

  /** Nothing if the queue is full. */
  std::optional<QueueId> Add(QueuedRequest request);
  void Remove(QueueId id, Departure departure);
  /** A request started without waiting. Counts for the shares served. */
  void OnStartedAtOnce(const QueuedRequest& request);

  /** The first request in order that needs less than `need_below` tokens. If
   * one does not fit, those that need as much do not either. */
  std::optional<QueueId> First(std::string_view service,
                               std::int64_t need_below = kAnyNeed) const;
  /** The request that needs the least memory. */
  std::optional<QueueId> Smallest(std::string_view service) const;
  /** The request to be sent even if it fits nowhere, if a turn is due. */
  std::optional<QueueId> Overdue(std::string_view service) const;
  /** Requests that can't start in time any more, the least urgent first. */
  std::vector<QueueId> Late(TimePoint now) const;

  /** Must be in the queue. */
  const QueuedRequest& Get(QueueId id) const {
    return requests_.at(id).request;
  }
  std::size_t size() const { return requests_.size(); }
  std::size_t bytes() const { return bytes_; }
  std::size_t size(std::string_view service) const;
  bool empty(std::string_view service) const;
  /** Services with waiting requests. */
  std::vector<std::string> Services() const;

 private:
  // The requests of one organisation at one priority.
  struct Share {
    double served_tokens = 0;  // Virtual time.
    std::set<std::pair<TimePoint, QueueId>> waiting;
  };
  struct Level {
    std::map<std::string, Share, std::less<>> shares;
    double virtual_time = 0;  // Of the last request that started.
    // Smoothed numbers of requests that came and that started.
    double arrived = 0;
    double started = 0;
    std::size_t waiting = 0;
    double served_share() const { return arrived > 0 ? started / arrived : 1; }
  };
  struct ServiceQueue {
    std::map<int, Level> levels;
    std::set<std::pair<std::int64_t, QueueId>> by_need;
    std::int64_t started_tokens = 0;
    double turn_tokens = 0;  // Left for turns.
  };

  struct Entry {
    QueuedRequest request;
    std::int64_t started_tokens = 0;  // Of its service when it came.
  };

  static void CountArrival(Level& level);
  static void CountStart(ServiceQueue& queue, const QueuedRequest& request);
  bool MayTakeTurn(const ServiceQueue& queue, int priority) const;

  QueueLimits limits_;
  QueueId last_id_ = 0;
  std::size_t bytes_ = 0;
  std::map<QueueId, Entry> requests_;
  std::map<std::string, ServiceQueue, std::less<>> services_;
};

}  // namespace peridotgate::routing

#endif  // ROUTING_ADMISSION_QUEUE_H_
