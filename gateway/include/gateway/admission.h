// Decides whether to send a request to a server or to refuse it at once.
// Answers the load at which servers are offered more work than they can finish:
// requests that wait longer than their callers do would take the place of
// others that could still be served. No I/O.
#ifndef GATEWAY_ADMISSION_H_
#define GATEWAY_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgate::gateway {

/** A request about to be sent to the server where it is expected to start
 * first. */
struct AdmissionRequest {
  std::string_view service;
  double cost_ms = 0;  // The load balancer's prediction for that server.
  // How much longer the caller waits for a first byte.
  std::chrono::milliseconds caller_waits{0};
  std::uint64_t id_hash = 0;  // Spreads the callers' return.
};

/**
 * Corrects the load balancer's predictions by the times that were observed, as
 * engines differ in speed and slow down differently under load.
 *
 *     if (auto after = admission.RetryAfter(request)) { Refuse(*after); }
 *     ...
 *     admission.OnFirstByte(service, placement.cost_ms, took);
 */
class Admission {
 public:
  /** Expected time to the first byte. */
  std::chrono::milliseconds Predict(std::string_view service,
                                    double cost_ms) const;

  /** Nothing if the request should be sent; else when the caller should come
   * back. */
  std::optional<std::chrono::milliseconds> RetryAfter(
      const AdmissionRequest& request) const;

  /** A request with this predicted cost got its first byte after `took`. */
  void OnFirstByte(std::string_view service,
                   double cost_ms,
                   std::chrono::milliseconds took);

 private:
  // Smoothed predictions and observations of one service.
  struct Observed {
    double predicted_ms = 0;
    double actual_ms = 0;
  };

  double Correction(std::string_view service) const;

  std::map<std::string, Observed, std::less<>> services_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_ADMISSION_H_
