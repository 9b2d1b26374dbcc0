#include "server_speed.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace peridotgate::agent {
namespace {

using coordination::Duration;
using coordination::TimePoint;

constexpr double kRecentSmoothing = 0.3;
constexpr double kNormalSmoothing = 0.01;
// A gap above this multiple of the normal one is an outlier.
constexpr double kOutlierRatio = 2.5;
// Weight of an outlier in the normal gap, per second since the last sample. It
// doesn't depend on the number of samples, so that a lasting change eventually
// becomes the normal gap.
constexpr double kOutlierWeightPerSecond = 0.005;
// Gaps up to this multiple of the normal one are usual variation of a batch.
constexpr double kNormalVariation = 2.0;
// Relative step by which a prompt changes the prefill time of a piece: large
// for the first prompts, falling to the minimum.
constexpr double kFirstStep = 0.5;
constexpr double kMinStep = 0.02;
// Quantile that is tracked: above the median, since prompts that turn out to be
// cached make some samples too fast, whereas hardly any are too slow.
constexpr double kQuantile = 0.75;
// Half-life of slowness while no call is decoding.
constexpr std::chrono::milliseconds kHalfLife{1000};

using Micros = std::chrono::duration<double, std::micro>;

void Smooth(Micros& average, Duration observed, double weight) {
  average += weight * (observed - average);
}

void Smooth(Duration& average, Duration observed, double weight) {
  const double next = (1 - weight) * static_cast<double>(average.count()) +
                      weight * static_cast<double>(observed.count());
  average = Duration(static_cast<std::int64_t>(next));
}

double Ratio(Micros a, Micros b) {
  return a / b;
}

}  // namespace

void ServerSpeed::OnTokenGap(Duration gap, TimePoint now) {
  const double idle =
      std::chrono::duration<double>(now - last_progress_).count();
  last_progress_ = now;
  if (normal_gap_ == Duration(0)) {
    recent_gap_ = std::max(gap, Duration(1));
    normal_gap_ = recent_gap_;
    return;
  }
  Smooth(recent_gap_, gap, kRecentSmoothing);
  const bool outlier = Ratio(gap, normal_gap_) > kOutlierRatio;
  const double outlier_weight =
      std::min(kNormalSmoothing, idle * kOutlierWeightPerSecond);
  Smooth(normal_gap_, gap, outlier ? outlier_weight : kNormalSmoothing);
  normal_gap_ = std::max(normal_gap_, Micros(1));
}

void ServerSpeed::OnFirstToken(Duration taken, double tokens) {
  constexpr double kPieceTokens = 2000;
  if (tokens < kPieceTokens) {
    return;
  }
  const double per_piece =
      static_cast<double>(taken.count()) * kPieceTokens / tokens;
  const Duration observed(static_cast<std::int64_t>(per_piece));
  ++prompts_observed_;
  if (prompts_observed_ == 1) {
    per_piece_ = observed;
    return;
  }
  // Tracks a quantile, so only the sign of the deviation matters.
  const double step = std::max(kMinStep, kFirstStep / prompts_observed_);
  const double factor =
      observed > per_piece_ ? 1 + step * kQuantile : 1 - step * (1 - kQuantile);
  per_piece_ = Duration(static_cast<std::int64_t>(
      static_cast<double>(per_piece_.count()) * factor));
}

double ServerSpeed::Slowness(TimePoint now, bool busy) const {
  if (normal_gap_ == Duration(0)) {
    return 1;
  }
  const Duration idle =
      std::chrono::duration_cast<Duration>(now - last_progress_);
  double ratio = Ratio(recent_gap_, normal_gap_) / kNormalVariation;
  if (busy) {
    return std::max({1.0, ratio, Ratio(idle, normal_gap_) / kNormalVariation});
  }
  const double age = std::chrono::duration<double>(idle) / kHalfLife;
  return std::max(1.0, 1 + (ratio - 1) * std::exp2(-age));
}

}  // namespace peridotgate::agent
