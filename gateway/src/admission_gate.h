// Holds requests that no server has room for until one has, and decides when
// waiting ends. The order is that of routing::AdmissionQueue.
#ifndef GATEWAY_ADMISSION_GATE_H_
#define GATEWAY_ADMISSION_GATE_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coordination/clock.h"
#include "gateway/protocol.h"
#include "routing/admission_queue.h"
#include "runtime/metrics.h"

namespace peridotgate::gateway {

using coordination::TimePoint;

/** Why a request waits no longer. */
enum class WaitEnd {
  kRoom,     // A server has room for it.
  kOverdue,  // Others passed it for long; it is sent although it fits nowhere.
  kLate,     // Its latest start passed.
  kCancelled,  // Its caller left, or the process ends.
  kStopping,   // The process stops, as planned.
  kFull,       // The queue is full; it didn't wait.
};

std::string_view Name(WaitEnd end);

/** What is known of a request that could wait. */
struct WaitEstimate {
  TimePoint began{};
  TimePoint leaves{};  // When its caller leaves.
  Millis objective{0};
  int priority = 0;
  // Predicted time to the first byte at the best server as it is now.
  Millis predicted{0};
};

/** One per process; used on the traffic thread. */
class AdmissionGate {
 public:
  /** Whether a server has room for the request now. */
  using Fits = std::function<bool(TimePoint now)>;

  AdmissionGate(boost::asio::io_context& context,
                const coordination::Clock& clock,
                runtime::Metrics& metrics,
                bool enabled);
  AdmissionGate(const AdmissionGate&) = delete;
  AdmissionGate& operator=(const AdmissionGate&) = delete;

  /** The latest start of a request that fits nowhere, or nothing if it should
   * be sent at once. */
  std::optional<TimePoint> LatestStart(std::string_view service,
                                       const WaitEstimate& estimate,
                                       TimePoint now) const;
  /** Waits for room. `owner` identifies the request for `Cancel`. */
  boost::asio::awaitable<WaitEnd> Wait(const void* owner,
                                       routing::QueuedRequest request,
                                       Fits fits);
  void Cancel(const void* owner);
  /** Ends all waiting, as the process stops. */
  void Stop();

  /** The number of requests that wait for servers of the service. */
  std::size_t waiting(std::string_view service) const {
    return queue_.size(service);
  }

  /** Whether a request that seems to have no chance should be sent to check
   * the prediction: once a second while the service gives no first byte. */
  bool TryProbe(std::string_view service, TimePoint now);

  /** A request of this gateway was sent. */
  void OnSent(const routing::QueuedRequest& request, bool waited);
  /** A request that was sent got its first byte after `took`. */
  void OnFirstByte(std::string_view service,
                   bool fitted,
                   bool sent_late,
                   Millis took);
  /** A request that was sent ended. */
  void OnEnded(std::string_view service);
  /** A server of the service reported its load. */
  void OnLoadReport(std::string_view service);
  /** Another gateway reported its use of servers. */
  void OnPeerNotice();

 private:
  struct Waiter {
    explicit Waiter(boost::asio::io_context& context) : timer(context) {}

    const void* owner = nullptr;
    Fits fits;
    WaitEnd end = WaitEnd::kCancelled;
    boost::asio::steady_timer timer;
  };
  struct ServiceState {
    int in_flight = 0;
    bool load_reported = false;
    // Smoothed time to the first byte of requests that fitted; 0: unknown.
    double fitting_ms = 0;
    // Smoothed share of requests sent late that found room at once.
    double found_room = 0;
    TimePoint off_until{};  // No request waits until then.
    TimePoint first_byte_at{};
    TimePoint probe_at{};
  };

  ServiceState& StateOf(std::string_view service);
  const ServiceState* FindState(std::string_view service) const;
  void Settle(routing::QueueId id, WaitEnd end);
  void SettleAll(WaitEnd end, const void* owner);
  bool StartOne(const std::string& service, TimePoint now);
  void Scan();
  void ScanAt(TimePoint at);

  boost::asio::io_context& context_;
  const coordination::Clock& clock_;
  runtime::Metrics& metrics_;
  runtime::Gauge& length_;
  const bool enabled_;
  routing::AdmissionQueue queue_;
  std::map<routing::QueueId, Waiter*> waiters_;
  std::map<std::string, ServiceState, std::less<>> services_;
  boost::asio::steady_timer scan_timer_;
  TimePoint last_scan_{};
  std::optional<TimePoint> next_scan_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_ADMISSION_GATE_H_
