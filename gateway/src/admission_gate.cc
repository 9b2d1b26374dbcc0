#include "admission_gate.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgate::gateway {
namespace {

using coordination::Duration;

// Placing a request costs time of a small share of a core, so scans are this
// far apart, and try a few requests of each service.
constexpr Millis kOwnScanPause{4};
constexpr Millis kPeerScanPause{5};
constexpr Millis kScanPeriod{20};
constexpr int kMaxTries = 2;
// Requests in flight from which a service that never reported its load may be
// full.
constexpr int kMinInFlight = 5;
// The most urgent requests wait for at most this part of their objective, as
// the engines order by priority too.
constexpr int kUrgentDivisor = 4;
constexpr double kTimeWeight = 0.05;
constexpr double kRoomWeight = 0.1;
// First bytes within this many times the usual time count as room at once.
constexpr double kRoomFactor = 1.5;
constexpr double kMaxFoundRoom = 0.5;
// How long requests don't wait after most waited in vain.
constexpr Millis kOffTime{3000};
constexpr Millis kProbePeriod{1000};

Duration FromMs(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

double ToMs(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

std::string_view Name(WaitEnd end) {
  switch (end) {
    case WaitEnd::kRoom:
      return "room";
    case WaitEnd::kOverdue:
      return "overdue";
    case WaitEnd::kLate:
      return "late";
    case WaitEnd::kCancelled:
      return "cancelled";
    case WaitEnd::kStopping:
      return "stopping";
    case WaitEnd::kFull:
      return "full";
  }
  return "";
}

AdmissionGate::AdmissionGate(asio::io_context& context,
                             const coordination::Clock& clock,
                             runtime::Metrics& metrics,
                             bool enabled)
    : context_(context),
      clock_(clock),
      metrics_(metrics),
      length_(metrics.GetGauge("peridotgate_gateway_queue_length")),
      enabled_(enabled),
      scan_timer_(context) {}

AdmissionGate::ServiceState& AdmissionGate::StateOf(std::string_view service) {
  const auto found = services_.find(service);
  return found != services_.end() ? found->second
                                  : services_[std::string(service)];
}

const AdmissionGate::ServiceState* AdmissionGate::FindState(
    std::string_view service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

std::optional<TimePoint> AdmissionGate::LatestStart(
    std::string_view service,
    const WaitEstimate& estimate,
    TimePoint now) const {
  const ServiceState* state = FindState(service);
  if (!enabled_ || estimate.objective.count() == 0 || state == nullptr ||
      now < state->off_until) {
    return std::nullopt;
  }
  if (!state->load_reported && queue_.empty(service) &&
      state->in_flight < kMinInFlight) {
    return std::nullopt;
  }
  const Duration expected = state->fitting_ms > 0
                                ? FromMs(state->fitting_ms)
                                : Duration(estimate.predicted);
  TimePoint latest =
      std::min(estimate.began + estimate.objective, estimate.leaves) - expected;
  if (estimate.priority == 0) {
    latest =
        std::min(latest, estimate.began + estimate.objective / kUrgentDivisor);
  }
  return latest > now ? std::optional(latest) : std::nullopt;
}

asio::awaitable<WaitEnd> AdmissionGate::Wait(const void* owner,
                                             routing::QueuedRequest request,
                                             Fits fits) {
  const TimePoint began = clock_.Now();
  const std::string priority = std::to_string(request.priority);
  const auto id = queue_.Add(std::move(request));
  if (!id) {
    co_return WaitEnd::kFull;
  }
  Waiter waiter(context_);
  waiter.owner = owner;
  waiter.fits = std::move(fits);
  waiter.timer.expires_at(std::chrono::steady_clock::time_point::max());
  waiters_.emplace(*id, &waiter);
  length_.Set(static_cast<std::int64_t>(queue_.size()));
  ScanAt(began + kScanPeriod);
  co_await waiter.timer.async_wait(asio::as_tuple(asio::use_awaitable));
  metrics_
      .GetDistribution("peridotgate_gateway_queue_wait_ms",
                       {{"priority", priority}})
      .Observe(ToMs(clock_.Now() - began));
  co_return waiter.end;
}

// Lets the request's coroutine go on once the present handler has ended.
void AdmissionGate::Settle(routing::QueueId id, WaitEnd end) {
  const auto found = waiters_.find(id);
  if (found == waiters_.end()) {
    return;
  }
  Waiter* waiter = found->second;
  waiters_.erase(found);
  const auto departure = end == WaitEnd::kRoom ? routing::Departure::kStarted
                         : end == WaitEnd::kOverdue
                             ? routing::Departure::kTurn
                             : routing::Departure::kDropped;
  queue_.Remove(id, departure);
  length_.Set(static_cast<std::int64_t>(queue_.size()));
  waiter->end = end;
  waiter->timer.cancel();
}

// Ends the waiting of one owner's request, or of all if `owner` is null.
void AdmissionGate::SettleAll(WaitEnd end, const void* owner) {
  std::vector<routing::QueueId> ids;
  for (const auto& [id, waiter] : waiters_) {
    if (owner == nullptr || waiter->owner == owner) {
      ids.push_back(id);
    }
  }
  for (const routing::QueueId id : ids) {
    Settle(id, end);
  }
}

void AdmissionGate::Cancel(const void* owner) {
  SettleAll(WaitEnd::kCancelled, owner);
}

void AdmissionGate::Stop() {
  SettleAll(WaitEnd::kStopping, nullptr);
}

bool AdmissionGate::TryProbe(std::string_view service, TimePoint now) {
  ServiceState& state = StateOf(service);
  if (!enabled_ || now - state.first_byte_at < kProbePeriod ||
      now - state.probe_at < kProbePeriod) {
    return false;
  }
  state.probe_at = now;
  return true;
}

void AdmissionGate::OnSent(const routing::QueuedRequest& request, bool waited) {
  ++StateOf(request.service).in_flight;
  if (!waited) {
    queue_.OnStartedAtOnce(request);
  }
}

void AdmissionGate::OnFirstByte(std::string_view service,
                                bool fitted,
                                bool sent_late,
                                Millis took) {
  const TimePoint now = clock_.Now();
  ServiceState& state = StateOf(service);
  state.first_byte_at = now;
  const auto took_ms = static_cast<double>(std::max(took, Millis(1)).count());
  if (fitted) {
    state.fitting_ms += state.fitting_ms == 0
                            ? took_ms
                            : kTimeWeight * (took_ms - state.fitting_ms);
  } else if (sent_late && state.fitting_ms > 0) {
    const bool room = took_ms <= kRoomFactor * state.fitting_ms;
    state.found_room += kRoomWeight * ((room ? 1.0 : 0.0) - state.found_room);
    if (state.found_room > kMaxFoundRoom) {
      state.found_room = 0;
      state.off_until = now + kOffTime;
      metrics_.GetCounter("peridotgate_gateway_queue_off_total").Add();
    }
  }
  ScanAt(last_scan_ + kOwnScanPause);
}

void AdmissionGate::OnEnded(std::string_view service) {
  --StateOf(service).in_flight;
  ScanAt(last_scan_ + kOwnScanPause);
}

void AdmissionGate::OnLoadReport(std::string_view service) {
  StateOf(service).load_reported = true;
}

void AdmissionGate::OnPeerNotice() {
  ScanAt(last_scan_ + kPeerScanPause);
}

// Lets the first waiting request of the service go on that fits, or one that is
// overdue.
bool AdmissionGate::StartOne(const std::string& service, TimePoint now) {
  std::int64_t below = routing::AdmissionQueue::kAnyNeed;
  for (int tries = 0; tries <= kMaxTries; ++tries) {
    const auto id = tries < kMaxTries ? queue_.First(service, below)
                                      : queue_.Smallest(service);
    if (!id || queue_.Get(*id).need_tokens >= below) {
      break;
    }
    below = queue_.Get(*id).need_tokens;
    if (waiters_.at(*id)->fits(now)) {
      Settle(*id, WaitEnd::kRoom);
      return true;
    }
  }
  if (const auto id = queue_.Overdue(service)) {
    Settle(*id, WaitEnd::kOverdue);
    return true;
  }
  return false;
}

void AdmissionGate::Scan() {
  const TimePoint now = clock_.Now();
  last_scan_ = now;
  for (const routing::QueueId id : queue_.Late(now)) {
    Settle(id, WaitEnd::kLate);
  }
  bool started = false;
  for (const std::string& service : queue_.Services()) {
    started = StartOne(service, now) || started;
  }
  if (started) {
    // What started takes its room before the next request is tried: its
    // coroutine was queued before this call.
    asio::post(context_, [this] { Scan(); });
    return;
  }
  ScanAt(now + kScanPeriod);
}

// Scans at `at` at the latest, while any request waits.
void AdmissionGate::ScanAt(TimePoint at) {
  if (queue_.size() == 0 || (next_scan_ && *next_scan_ <= at)) {
    return;
  }
  next_scan_ = at;
  scan_timer_.expires_at(std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          at.time_since_epoch())));
  scan_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      next_scan_.reset();
      Scan();
    }
  });
}

}  // namespace peridotgate::gateway
