// Which backend server is told to load which weights, and when: a few at a
// time, always the newest version, each order once it is known that the last
// one is over. Answers the load of version changes; does no I/O.
#ifndef GATEWAY_WEIGHTS_ROLLOUT_H_
#define GATEWAY_WEIGHTS_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/clock.h"
#include "gateway/fleet_view.h"
#include "gateway/protocol.h"

namespace peridotgate::gateway {

using coordination::TimePoint;

/** One server that has older weights than were named. */
struct RolloutTask {
  std::string server_id;
  runtime::Endpoint address;
  std::string model;
  std::int64_t version = 0;  // To be loaded.
};

/**
 * The state of a roll-out. The owner asks `Next` for a server to deal with,
 * reads its report, and orders if `OnReport` says so.
 *
 *     while (auto task = rollout.Next(now)) {
 *       auto report = Ask(*task);
 *       if (auto order = rollout.OnReport(*task, report, now)) { Send(*order);
 * }
 *     }
 */
class WeightsRollout {
 public:
  void OnView(const FleetView& view);

  /** Whether some server still has older weights than were named. */
  bool pending() const;

  /** A server whose report is to be read now, or nothing. It is not handed out
   * again until `OnReport` or `OnNoReport`. */
  std::optional<RolloutTask> Next(TimePoint now);

  /** What the server is to be ordered; nothing when it is done or must wait. */
  std::optional<WeightsOrder> OnReport(const RolloutTask& task,
                                       const ServerReport& report,
                                       TimePoint now);
  /** The server did not report. */
  void OnNoReport(const RolloutTask& task, TimePoint now);
  /** How the order was answered; nothing without an answer. */
  void OnOrderAnswer(const RolloutTask& task,
                     std::optional<OrderAnswer> answer,
                     TimePoint now);
  /** This process no longer gives orders. */
  void Forget();

  /** The versions and switches that others should know of. */
  RolloutMap Progress() const;

 private:
  enum class Phase {
    kWaiting,  // Not ordered yet.
    kLoading,  // Ordered, or an order without an answer.
    kDone,
  };

  struct Server {
    RolloutTask task;
    std::int64_t present = 0;
    Phase phase = Phase::kWaiting;
    bool asked = false;  // A report is being read.
    TimePoint ordered_at{};
    TimePoint next_ask{};
  };

  std::size_t AtOnce() const;

  std::map<std::string, Server> servers_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_WEIGHTS_ROLLOUT_H_
