#include "gateway/admission.h"

#include <algorithm>

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;

// Weight of a new observation; about the last forty count.
constexpr double kSmoothing = 0.025;
// Assumed before the first observations, and their weight: this many
// milliseconds predicted and observed.
constexpr double kPriorMs = 100;
// Bounds of the correction. Times of a few faulty servers must not close a
// service.
constexpr double kMinCorrection = 0.5;
constexpr double kMaxCorrection = 6;
// Share of the caller's time that the expected time may take, since it is only
// an estimate.
constexpr double kUsableShare = 0.8;
// Callers return within this share of the estimate before and after it, so that
// those refused together do not return together.
constexpr double kSpread = 0.25;
constexpr double kMinRetryAfterMs = 100;

}  // namespace

double Admission::Correction(std::string_view service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return 1;
  }
  return std::clamp(found->second.actual_ms / found->second.predicted_ms,
                    kMinCorrection, kMaxCorrection);
}

milliseconds Admission::Predict(std::string_view service,
                                double cost_ms) const {
  return milliseconds(static_cast<std::int64_t>(Correction(service) * cost_ms));
}

std::optional<milliseconds> Admission::RetryAfter(
    const AdmissionRequest& request) const {
  const milliseconds expected = Predict(request.service, request.cost_ms);
  const double usable_ms =
      kUsableShare * static_cast<double>(request.caller_waits.count());
  if (static_cast<double>(expected.count()) <= usable_ms) {
    return std::nullopt;
  }
  // By then the work that is queued now leaves half of the caller's time.
  const double excess_ms = static_cast<double>(
      (expected - std::max(request.caller_waits, milliseconds(0)) / 2).count());
  constexpr std::uint64_t kSteps = 1024;
  const double position =
      static_cast<double>(request.id_hash % kSteps) / kSteps;
  const double spread = 1 - kSpread + 2 * kSpread * position;
  return milliseconds(static_cast<std::int64_t>(
      std::max(kMinRetryAfterMs, excess_ms * spread)));
}

void Admission::OnFirstByte(std::string_view service,
                            double cost_ms,
                            milliseconds took) {
  auto found = services_.find(service);
  if (found == services_.end()) {
    found =
        services_.emplace(std::string(service), Observed{kPriorMs, kPriorMs})
            .first;
  }
  Observed& it = found->second;
  it.predicted_ms += kSmoothing * (std::max(cost_ms, 1.0) - it.predicted_ms);
  it.actual_ms +=
      kSmoothing * (static_cast<double>(took.count()) - it.actual_ms);
}

}  // namespace peridotgate::gateway
