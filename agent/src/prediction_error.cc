#include "prediction_error.h"

#include <algorithm>

namespace peridotgate::agent {
namespace {

using coordination::Duration;

// One sample above the bound offsets this many below it.
constexpr double kSamplesBelowPerAbove = 1000;
constexpr double kRaiseStep = 0.1;
constexpr double kMinFactor = 1.3;
constexpr double kMaxFactor = 4;
// Delays that don't scale with the prediction: batch steps, the network.
constexpr Duration kFixedMargin{40000};

}  // namespace

void PredictionError::Observe(Duration predicted, Duration actual) {
  const bool above = actual > Bound(predicted);
  factor_ += above ? kRaiseStep : -kRaiseStep / kSamplesBelowPerAbove;
  factor_ = std::clamp(factor_, kMinFactor, kMaxFactor);
}

Duration PredictionError::Bound(Duration predicted) const {
  const double scaled = static_cast<double>(predicted.count()) * factor_;
  return Duration(static_cast<std::int64_t>(scaled)) + kFixedMargin;
}

}  // namespace peridotgate::agent
