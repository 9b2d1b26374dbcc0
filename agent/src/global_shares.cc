#include "global_shares.h"

#include <algorithm>
#include <cmath>

namespace peridotgate::agent {
namespace {

// Decay factor of service per period.
constexpr double kPeriodDecay = 0.9;
// An organisation without waiting calls is reported only if its service is at
// least `kMinReported` and `kMinReportedFraction` of the total. With less, it
// is far below its share on this server, and its calls go first anyway.
constexpr double kMinReported = 1;
constexpr double kMinReportedFraction = 0.05;
constexpr double kMaxBoost = 8;
// The boost is a proportional-integral control of the logarithmic share error.
// The proportional gain has its maximum for totals that arrive once a period,
// and falls with the time between totals, since a strong reaction to old totals
// causes oscillation.
constexpr double kMaxProportionalGain = 2.5;
constexpr double kMinProportionalGain = 0.7;
// With fewer waiting calls, no share is at risk, and the minimum gain is used.
constexpr std::int64_t kMinWaitingCalls = 8;
constexpr double kCorrectionStep = 0.1;
// Weight of a new interval between totals in its moving average.
constexpr double kIntervalSmoothing = 0.3;
constexpr double kMinReceived = 1;
// Decay factor of a correction per step without a waiting call.
constexpr double kCorrectionDecay = 0.8;

double Clamped(double logarithm) {
  const double max_log = std::log(kMaxBoost);
  return std::clamp(logarithm, -max_log, max_log);
}

}  // namespace

void GlobalShares::OnQueued(const std::string& organisation, double weight) {
  Account& it = accounts_[organisation];
  it.weight = weight;
  ++it.waiting;
  ++waiting_;
}

void GlobalShares::OnDequeued(const std::string& organisation) {
  --accounts_.at(organisation).waiting;
  --waiting_;
}

void GlobalShares::OnServed(const std::string& organisation, double cost) {
  Account& it = accounts_[organisation];
  it.period_service += cost;
  it.local += cost;
}

void GlobalShares::OnReport(const wire::ShareReport& report) {
  if (report.stage == wire::ShareStage::kTotal) {
    ApplyTotals(report);
    return;
  }
  for (const wire::ServiceUse& it : report.uses) {
    accounts_[it.organisation].remote += static_cast<double>(it.cost_tokens);
  }
  UpdateMeanError();
}

void GlobalShares::ApplyTotals(const wire::ShareReport& report) {
  const double between = std::max(1.0, periods_since_totals_);
  mean_periods_between_totals_ +=
      kIntervalSmoothing * (between - mean_periods_between_totals_);
  periods_since_totals_ = 0;
  has_totals_ = !report.uses.empty();
  for (auto& [name, it] : accounts_) {
    it.remote = 0;
  }
  for (const wire::ServiceUse& it : report.uses) {
    accounts_[it.organisation].remote = static_cast<double>(it.cost_tokens);
  }
  UpdateMeanError();
  UpdateCorrections();
}

wire::ShareReport GlobalShares::EndPeriod() {
  wire::ShareReport report;
  report.period = next_period_++;
  ++periods_since_totals_;
  report.stage = wire::ShareStage::kFromServer;
  for (auto& [name, it] : accounts_) {
    if (it.period_service >= kMinReported) {
      wire::ServiceUse use;
      use.organisation = name;
      use.cost_tokens = static_cast<std::int64_t>(it.period_service);
      report.uses.push_back(std::move(use));
    }
    it.period_service = 0;
    it.local *= kPeriodDecay;
    it.remote *= has_totals_ ? 1 : kPeriodDecay;
  }
  UpdateMeanError();
  if (!has_totals_) {
    UpdateCorrections();
  }
  return report;
}

wire::ShareReport GlobalShares::RecentService() const {
  wire::ShareReport report;
  report.stage = wire::ShareStage::kFromServer;
  double all = 0;
  for (const auto& [name, it] : accounts_) {
    all += it.local;
  }
  const double min_reported =
      std::max(kMinReported, kMinReportedFraction * all);
  for (const auto& [name, it] : accounts_) {
    if (it.waiting > 0 || it.local >= min_reported) {
      wire::ServiceUse use;
      use.organisation = name;
      use.cost_tokens = static_cast<std::int64_t>(it.local);
      use.backlogged = it.waiting > 0;
      report.uses.push_back(std::move(use));
    }
  }
  return report;
}

// The mean is weighted by service received, so that the errors of the heavily
// served organisations are centred on 0, regardless of which other
// organisations have accounts.
void GlobalShares::UpdateMeanError() {
  double errors = 0;
  double received = 0;
  mean_error_ = 0;
  for (const auto& [name, it] : accounts_) {
    if (it.weight > 0) {
      const double own = it.local + it.remote;
      errors += own * ShareError(it);
      received += own;
    }
  }
  mean_error_ = received > 0 ? errors / received : 0;
}

// Positive if the account received less than its fair share.
double GlobalShares::ShareError(const Account& account) const {
  const double received =
      std::max(kMinReceived, account.local + account.remote);
  return std::log(account.weight / received) - mean_error_;
}

// Adds the share error to corrections of organisations with waiting calls only.
// The corrections of others decay: they get all the service that they request,
// and must not accumulate credit while idle.
void GlobalShares::UpdateCorrections() {
  for (auto& [name, it] : accounts_) {
    if (it.waiting > 0) {
      it.correction = Clamped(it.correction + kCorrectionStep * ShareError(it));
    } else {
      it.correction *= kCorrectionDecay;
    }
  }
}

double GlobalShares::ProportionalGain() const {
  if (waiting_ < kMinWaitingCalls) {
    return kMinProportionalGain;
  }
  return std::max(kMinProportionalGain,
                  kMaxProportionalGain / mean_periods_between_totals_);
}

double GlobalShares::WeightBoost(const std::string& organisation) const {
  auto found = accounts_.find(organisation);
  if (found == accounts_.end() || found->second.weight <= 0) {
    return 1;
  }
  const Account& it = found->second;
  return std::exp(Clamped(ProportionalGain() * ShareError(it) + it.correction));
}

}  // namespace peridotgate::agent
