// Decides when each backend server loads new weights: a few servers at a time,
// always the newest version, and no new order until the last one is known to
// have ended. Limits the load of version changes; no I/O.
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
#include "routing/server_standing.h"

namespace peridotgate::gateway {

using coordination::TimePoint;

/** A server whose weights are older than the target version. */
struct RolloutTask {
  std::string server_id;
  std::int64_t born_ms = 0;
  runtime::Endpoint address;
  std::string model;
  std::int64_t version = 0;  // The target version.
};

/**
 * The state of a rollout. What is known of a server belongs to one incarnation
 * of it at one address. Its report counts, whatever was known before: an order
 * that was carried out late may have taken it back to older weights. Its row
 * lags behind the report, so a change of the row to an older version only shows
 * that the report must be fetched again.
 *
 * The owner calls `Next` for a server, fetches its report, and sends an order
 * if `OnReport` returns one.
 *
 *     while (auto task = rollout.Next(now)) {
 *       auto report = FetchReport(*task);
 *       if (auto order = rollout.OnReport(*task, report, now)) {
 *         Send(*order);
 *       }
 *     }
 */
class WeightsRollout {
 public:
  void OnView(const FleetView& view, TimePoint now);
  /** Applies what a server said in an answer; returns whether that is new. */
  bool OnNotice(const routing::ServerNotice& notice, TimePoint now);

  /** Whether any server has older weights than the target. */
  bool pending() const;

  /** A server whose report should be fetched now, or nothing. The server is
   * not returned again until `OnReport` or `OnReportFailed`. */
  std::optional<RolloutTask> Next(TimePoint now);

  /** The order to send; nothing if the server is done or must wait. */
  std::optional<WeightsOrder> OnReport(const RolloutTask& task,
                                       const ServerReport& report,
                                       TimePoint now);
  /** The server's report could not be fetched. */
  void OnReportFailed(const RolloutTask& task, TimePoint now);
  /** The server's response to the order; nothing if there was none. */
  void OnOrderAnswer(const RolloutTask& task,
                     std::optional<OrderAnswer> answer,
                     TimePoint now);
  /** Called when this process is no longer the rollout leader. */
  void AbandonOrders();

  /** Loaded versions and ongoing switches that the other gateways should be
   * sent: those that changed since the last call, and regularly all of them,
   * since a gateway may miss one. Bounds the cost of a rollout to the changes,
   * however often servers are polled. */
  RolloutMap TakeProgress(TimePoint now);

 private:
  enum class Phase {
    kWaiting,  // No order sent yet.
    kLoading,  // Order sent, whether or not it was answered.
    kDone,
  };

  struct Model {
    std::int64_t loaded = 0;
    std::int64_t target = 0;
    std::int64_t row = 0;   // The version in the server's row.
    bool doubtful = false;  // The server may have older weights than `loaded`.
  };
  static bool NeedsWork(const Model& model) {
    return model.loaded < model.target || model.doubtful;
  }

  // A server loads one model at a time.
  struct Server {
    RolloutTask task;  // For the model that is loaded now, or was last.
    std::map<std::string, Model> models;
    Phase phase = Phase::kWaiting;
    bool report_pending = false;  // A report or an order is in progress.
    TimePoint ordered_at{};
    TimePoint next_poll{};
  };

  // Applies the version in the server's row.
  static void OnRow(Model& model, std::int64_t version);
  // The server as of the task; null if another incarnation took its place.
  Server* Find(const RolloutTask& task);
  // Turns to the next model with older weights, if the last one is done.
  static void Advance(Server& server);
  std::size_t MaxConcurrent() const;
  // Whether the server wants nothing new now.
  bool Paused(const RolloutTask& task, TimePoint now) const;

  RolloutMap Progress() const;

  std::map<std::string, Server> servers_;
  routing::ServerStanding standing_;
  RolloutMap reported_;  // As last returned by `TakeProgress`.
  TimePoint all_reported_at_{};
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_WEIGHTS_ROLLOUT_H_
