#include "routing/server_model.h"

#include <algorithm>

namespace peridotgate::routing {
namespace {

// A fast engine, as documented for those in use.
constexpr PrefillTimes kPrior{5, 1.0 / 80, 1};
// Bounds of what is learned, far beyond engines in use.
constexpr PrefillTimes kLeast{0, 1.0 / 1000, 0};
constexpr PrefillTimes kMost{500, 1.0 / 2, 20};
// Uncertainty of the prior, as variances, in units of the error of one
// observation.
constexpr double kBaseVariance = 0.05;
constexpr double kTokenVariance = 2e-7;
constexpr double kRunningVariance = 1e-3;
// Weight that remains of an observation after the next one: the last few
// hundred count.
constexpr double kForgetting = 0.998;
// Beyond these, covariances would grow without new information.
constexpr double kMaxGrowth = 4;
// An observation counts for at most this many times its prediction, plus a
// step's time: a server may hang, or answer from a queue that is unknown here.
constexpr double kMaxRatio = 3;
constexpr double kMinError = 20;  // Milliseconds.
// Weight of an observation in a server's pace.
constexpr double kPaceWeight = 0.03;
constexpr double kMinPace = 0.5;
constexpr double kMaxPace = 3;

}  // namespace

ServiceModel::ServiceModel() : times_(kPrior) {
  covariance_[0][0] = kBaseVariance;
  covariance_[1][1] = kTokenVariance;
  covariance_[2][2] = kRunningVariance;
}

void ServiceModel::Observe(const PrefillWork& work, double took_ms) {
  const Vector x{1, work.tokens, work.running};
  const double predicted = times_.Predict(work);
  const double most = kMaxRatio * predicted + kMinError;
  const double error = std::min(took_ms, most) - predicted;
  Vector gain{};
  double scale = kForgetting;
  for (std::size_t i = 0; i < kSize; ++i) {
    for (std::size_t j = 0; j < kSize; ++j) {
      gain[i] += covariance_[i][j] * x[j];
    }
    scale += gain[i] * x[i];
  }
  const Vector variances{kBaseVariance, kTokenVariance, kRunningVariance};
  for (std::size_t i = 0; i < kSize; ++i) {
    for (std::size_t j = 0; j < kSize; ++j) {
      covariance_[i][j] =
          (covariance_[i][j] - gain[i] * gain[j] / scale) / kForgetting;
    }
    covariance_[i][i] = std::min(covariance_[i][i], kMaxGrowth * variances[i]);
  }
  times_.base_ms = std::clamp(times_.base_ms + gain[0] / scale * error,
                              kLeast.base_ms, kMost.base_ms);
  times_.ms_per_token =
      std::clamp(times_.ms_per_token + gain[1] / scale * error,
                 kLeast.ms_per_token, kMost.ms_per_token);
  times_.ms_per_running =
      std::clamp(times_.ms_per_running + gain[2] / scale * error,
                 kLeast.ms_per_running, kMost.ms_per_running);
}

void ServerPace::Observe(double predicted_ms, double took_ms) {
  const double ratio =
      std::clamp(took_ms / std::max(predicted_ms, 1.0), kMinPace, kMaxPace);
  factor_ += kPaceWeight * (ratio - factor_);
}

}  // namespace peridotgate::routing
