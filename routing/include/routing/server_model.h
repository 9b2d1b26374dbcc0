// Learns how fast the engines of a service are, from the times that their
// answers took. Answers the load at which a wrong constant makes a busy engine
// look idle, or a fast one busy. No I/O.
#ifndef ROUTING_SERVER_MODEL_H_
#define ROUTING_SERVER_MODEL_H_

#include <array>
#include <cstddef>

namespace peridotgate::routing {

/** The work that stood before a request's first byte when it was sent. */
struct PrefillWork {
  double tokens = 0;   // Prompt tokens to be processed, its own included.
  double running = 0;  // Requests that were running.
};

/** How engines of a service spend time until a first byte. */
struct PrefillTimes {
  double base_ms = 0;
  double ms_per_token = 0;
  double ms_per_running = 0;

  double Predict(const PrefillWork& work) const {
    return base_ms + ms_per_token * work.tokens + ms_per_running * work.running;
  }
};

/**
 * Fits `PrefillTimes` to observations by recursive least squares with
 * forgetting. Starts from a prior; values are bounded, and an observation
 * counts for at most a few times its prediction, so that faulty servers do not
 * spoil the fit.
 *
 *     model.Observe(work, took_ms);
 *     model.times().Predict(work);
 */
class ServiceModel {
 public:
  ServiceModel();

  void Observe(const PrefillWork& work, double took_ms);
  const PrefillTimes& times() const { return times_; }

 private:
  static constexpr std::size_t kSize = 3;
  using Vector = std::array<double, kSize>;

  PrefillTimes times_;
  std::array<Vector, kSize> covariance_{};
};

/**
 * How slow one server is compared with its service. Follows the ratio of
 * observed and predicted times, slowly, within bounds.
 */
class ServerPace {
 public:
  void Observe(double predicted_ms, double took_ms);
  /** 1 as the service, 2 twice as slow. */
  double factor() const { return factor_; }

 private:
  double factor_ = 1;
};

}  // namespace peridotgate::routing

#endif  // ROUTING_SERVER_MODEL_H_
