#include "cost_model.h"

#include <algorithm>
#include <chrono>

namespace peridotgate::agent {
namespace {

// Engine time of an output token, in units of that of a prompt token.
constexpr double kOutputTokenCost = 25;
// A call that costs more than this many times the average is long.
constexpr double kLongRatio = 8;
// Weight of a new observation in a moving average.
constexpr double kSmoothing = 0.05;
// Decay factor of past sums per observation.
constexpr double kDecay = 0.98;
constexpr double kMaxRatio = 10;

}  // namespace

const CostModel::KindHistory* CostModel::Find(const ScheduledCall& call) const {
  auto it = kinds_.find(KindIdView{call.organisation, call.kind});
  return it == kinds_.end() ? nullptr : &it->second;
}

double CostModel::Predict(const ScheduledCall& call) const {
  const KindHistory* history = Find(call);
  const double output = std::max(0.0, call.cost - call.prefill_tokens);
  const double cost = call.prefill_tokens + output * kOutputTokenCost;
  return std::max(1.0, cost * (history != nullptr ? history->ratio : 1));
}

bool CostModel::IsLong(double cost) const {
  return cost > average_cost_ * kLongRatio;
}

double CostModel::ActualCost(double tokens, std::int64_t outputs) {
  const auto output = static_cast<double>(outputs);
  return std::max(1.0, tokens - output) + output * kOutputTokenCost;
}

void CostModel::Record(const ScheduledCall& call, double cost) {
  KindHistory& it = kinds_[{call.organisation, call.kind}];
  const double observed =
      std::clamp(cost / call.cost, 1 / kMaxRatio, kMaxRatio);
  it.ratio *= 1 + kSmoothing * (observed - 1);
  it.ratio = std::clamp(it.ratio, 1 / kMaxRatio, kMaxRatio);
  if (!call.long_work) {
    average_cost_ += kSmoothing * (cost - average_cost_);
  }
}

void DrainRate::OnFinish(double cost,
                         coordination::TimePoint now,
                         bool backlogged) {
  if (backlogged && was_backlogged_) {
    cost_ = cost_ * kDecay + cost;
    seconds_ = seconds_ * kDecay +
               std::chrono::duration<double>(now - last_finish_).count();
  }
  was_backlogged_ = backlogged;
  last_finish_ = now;
}

}  // namespace peridotgate::agent
