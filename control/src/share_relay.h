// Exchanges per-organisation service sums with other processes: connects the
// `ShareExchange` of `coordination` to the wire, the membership and the
// metrics.
#ifndef CONTROL_SHARE_RELAY_H_
#define CONTROL_SHARE_RELAY_H_

#include <array>
#include <functional>
#include <string>
#include <unordered_map>

#include "coordination/membership.h"
#include "coordination/share_exchange.h"
#include "runtime/metrics.h"
#include "wire/codec.h"

namespace peridotgate::control {

/**
 * Conversions between wire messages and those of the exchange, which identify
 * accounts by key.
 */
wire::ShareReport ToWire(const coordination::ShareMessage& message);
coordination::ShareMessage FromWire(const wire::ShareReport& report);

/** One process's share exchange. Use it only on the node's io_context. */
class ShareRelay {
 public:
  using SendFunction = std::function<void(const coordination::PeerAddress& to,
                                          const wire::Message& message)>;
  /**
   * Receives the service that other servers gave to the organisations of the
   * last `SetServed`.
   */
  using OnRemoteService = std::function<void(const wire::ShareReport&)>;

  ShareRelay(const coordination::MemberRecord& self,
             const coordination::Clock& clock,
             runtime::Metrics& metrics,
             SendFunction send,
             OnRemoteService on_remote_service);

  /** Sets the participants: all usable entries. */
  void FollowMembers(const coordination::Membership& members);

  /** Sets the recent service of this agent's server by organisation. */
  void SetServed(const wire::ShareReport& report);

  void OnReport(const coordination::PeerAddress& from,
                const wire::ShareReport& report);

  /** Performs periodic work. Call about ten times a second. */
  void Tick();

 private:
  struct StageCounters {
    runtime::Counter* sent;
    runtime::Counter* accepted;
  };

  void ReportRemoteService();
  void UpdateMetrics();

  coordination::MemberRecord self_;
  coordination::ShareExchange exchange_;
  SendFunction send_;
  OnRemoteService on_remote_service_;
  std::array<StageCounters, 4> stage_counters_;
  runtime::Counter& refused_messages_;
  runtime::Gauge& totals_age_;
  runtime::Gauge& totals_count_;
  runtime::Gauge& sender_count_;
  std::unordered_map<coordination::AccountKey, std::string> organisation_names_;
  std::uint64_t reported_changes_ = 0;
};

}  // namespace peridotgate::control

#endif  // CONTROL_SHARE_RELAY_H_
