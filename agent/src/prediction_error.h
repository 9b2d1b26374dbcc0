// Tracks how far actual times exceed predictions, to add a safety margin.
#ifndef AGENT_PREDICTION_ERROR_H_
#define AGENT_PREDICTION_ERROR_H_

#include "coordination/clock.h"

namespace peridotgate::agent {

/**
 * Tracks a high quantile of actual / predicted: a sample above the bound raises
 * the factor by far more than one below lowers it.
 */
class PredictionError {
 public:
  void Observe(coordination::Duration predicted, coordination::Duration actual);

  /** An upper bound that nearly all times predicted as `predicted` meet. */
  coordination::Duration Bound(coordination::Duration predicted) const;

 private:
  double factor_ = 1.5;
};

}  // namespace peridotgate::agent

#endif  // AGENT_PREDICTION_ERROR_H_
