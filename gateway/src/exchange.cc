#include "exchange.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "runtime/event_log.h"
#include "server_notices.h"
#include "silence_timer.h"

namespace peridotgate::gateway {
namespace {

using runtime::LogClass;
using runtime::LogEvent;

// Connections within the region open in a few milliseconds; a server that takes
// longer than this is down or unreachable.
constexpr Millis kConnectTimeout{300};
// A server's refusal is read for at most this time and size.
constexpr Millis kRefusalTimeout{300};
constexpr std::size_t kMaxRefusalBytes = 64 << 10;
// Requests with less time left are not sent.
constexpr Millis kMinTimeLeft{10};
// Limit on the size of a buffered response.
constexpr std::size_t kMaxHeldBytes = 1 << 20;
// Timeout of requests on routes without one.
constexpr Millis kDefaultTimeout{60000};
constexpr Millis kNoRulesRetry{300};
// New connections go to other gateways.
constexpr Millis kStoppingRetry{10};
// A server is assumed to hang when it is silent for this many times the route's
// objective and this many times the predicted time.
constexpr int kSilentObjectives = 3;
// Delay until it is checked again whether a request can leave a silent server.
constexpr Millis kSilenceRecheck{100};
// While a larger share of first bytes is late, servers are assumed to be
// overloaded rather than hanging, and moving requests would add load.
constexpr double kMaxLateShare = 0.15;
// Smoothing factor of the share of late first bytes.
constexpr double kLateWeight = 0.05;
// Shorter objectives are raised to this when deciding whether a timeout counts
// as a failure of the server.
constexpr Millis kMinJudgedObjective{150};

double ToMs(coordination::Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

bool IsRefusalStatus(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

Exchange::Exchange(TrafficParts& parts,
                   CallerStream& caller,
                   RequestHead head,
                   std::shared_ptr<const HeldBody> body,
                   TimePoint began,
                   bool keep)
    : parts_(parts),
      caller_(caller),
      head_(std::move(head)),
      body_(std::move(body)),
      began_(began),
      request_(parts.callers.Read(head_)),
      rules_(parts.view.rules),
      deadline_(began + kDefaultTimeout),
      head_request_(head_.method() == http::verb::head),
      keep_alive_(keep),
      received_late_(!parts.accepting),
      held_(parts.buffers, BufferKind::kResponse) {
  parts_.exchanges.insert(this);
}

asio::awaitable<bool> Exchange::Run() {
  Refusal refusal;
  if (!ResolveRoute(refusal) || !ChargeQuota(refusal)) {
    co_await Refuse(refusal);
    co_return keep_alive_ && !caller_.gone() && !caller_.aborted();
  }
  parts_.retries.OnRequest(service_);
  caller_.Watch([this] {
    parts_.gate.Cancel(this);
    if (connection_) {
      connection_->Cancel();
    }
  });
  co_await RunAttempts();
  caller_.StopWatching();
  co_return keep_alive_ && !caller_.gone() && !caller_.aborted();
}

void Exchange::End() {
  deadline_ = Now();
  parts_.gate.Cancel(this);
  if (connection_) {
    connection_->Cancel(ServerError::kTimeout);
  }
}

// Finds the route, the organisation and the deadline.
bool Exchange::ResolveRoute(Refusal& refusal) {
  if (!rules_) {
    refusal = {503, "no_rules", kNoRulesRetry};
    return false;
  }
  if (request_.request_id.empty()) {
    refusal = {400, "no_request_id", Millis(0)};
    return false;
  }
  route_ = rules_->FindRoute(head_[http::field::host], head_.target());
  if (route_ == nullptr) {
    refusal = {404, "no_route", Millis(0)};
    return false;
  }
  if (rules_->has_organisations() && !route_->open) {
    organisation_ = rules_->FindKey(request_.key);
    if (organisation_ == nullptr) {
      refusal = {401, "unknown_key", Millis(0)};
      return false;
    }
  }
  const std::string* service = ChooseService(*route_, request_.request_id);
  if (service == nullptr) {
    refusal = {503, "no_service", kNoRulesRetry};
    return false;
  }
  service_ = *service;
  Millis time = route_->timeout.count() > 0 ? route_->timeout : kDefaultTimeout;
  if (request_.patience) {
    time = std::min(time, *request_.patience);
  }
  deadline_ = began_ + time;
  resume_after_ = request_.resume_after;
  part_keys_ = SharedPartKeys(service_, request_.model, request_.prompt);
  return true;
}

// Whether the organisation's quota covers the request.
bool Exchange::ChargeQuota(Refusal& refusal) {
  if (organisation_ == nullptr) {
    return true;
  }
  const auto decision =
      parts_.quotas.Charge(*organisation_, request_, Now(), quota_charge_);
  if (!decision.admitted) {
    refusal = {429, "quota_refused",
               std::chrono::ceil<Millis>(decision.retry_after)};
  }
  return decision.admitted;
}

// The rules may have changed since the request came. What a request reuses or
// leaves in a cache follows those in force when it is sent.
void Exchange::UpdateCacheScope() {
  const Rules& rules = parts_.view.rules ? *parts_.view.rules : *rules_;
  cache_scope_ = rules.CacheScope(
      organisation_ == nullptr ? std::string_view() : organisation_->name);
}

PlacementRequest Exchange::MakePlacementRequest() const {
  PlacementRequest placement_request;
  placement_request.service = service_;
  placement_request.model = request_.model;
  placement_request.prompt = request_.prompt;
  placement_request.cache_scope = cache_scope_;
  placement_request.data_centre = parts_.settings.data_centre;
  placement_request.avoided = tried_;
  placement_request.output_tokens = request_.output_tokens;
  return placement_request;
}

// Chooses a server that was not tried yet, or else one that was only silent.
std::optional<Placement> Exchange::Place(TimePoint now) {
  auto placement = parts_.balancer.Place(MakePlacementRequest(), now);
  if (!placement && !silent_servers_.empty()) {
    std::erase_if(tried_, [&](const std::string& it) {
      return std::find(silent_servers_.begin(), silent_servers_.end(), it) !=
             silent_servers_.end();
    });
    silent_servers_.clear();
    placement = parts_.balancer.Place(MakePlacementRequest(), now);
  }
  return placement;
}

asio::awaitable<void> Exchange::RunAttempts() {
  while (true) {
    if (caller_.HasClosed()) {
      Finish("caller_gone", 0);
      co_return;
    }
    const auto verdict = parts_.crashes.Check(part_keys_);
    if (verdict.state == coordination::PartState::kQuarantined) {
      co_await RefusePart(verdict);
      co_return;
    }
    UpdateCacheScope();
    const TimePoint now = Now();
    auto placement = deadline_ - now < kMinTimeLeft ? std::nullopt : Place(now);
    if (!placement) {
      const bool waited = co_await WaitForLimit();
      if (waited) {
        continue;
      }
      co_await GiveUp();
      co_return;
    }
    predicted_ms_ = placement->cost_ms;
    const auto after = RetryAfterIfHopeless(*placement);
    if (after && !parts_.gate.TryProbe(service_, now)) {
      const Refusal refusal{503, "overloaded", *after};
      co_await Refuse(refusal);
      co_return;
    }
    if (EndsTooLate(*placement)) {
      co_await RefuseBeforeStop();
      co_return;
    }
    if (const auto latest = LatestStart(*placement)) {
      co_await WaitForRoom(*placement, *latest);
      if (wait_end_ == WaitEnd::kStopping) {
        co_await RefuseBeforeStop();
        co_return;
      }
      continue;
    }
    const routing::Incarnation server{placement->server_id, placement->born_ms};
    routing::ServerLimits& limits = parts_.balancer.limits();
    if (!limits.TryCharge(server, now)) {
      continue;
    }
    const int arrivals = arrivals_;
    const Step last = co_await TryServer(*placement);
    if (arrivals_ == arrivals) {
      limits.Refund(server, Now());
    }
    if (last == Step::kDone) {
      co_return;
    }
    tried_.push_back(placement->server_id);
    if (!MayTryAgain(last)) {
      co_await GiveUp();
      co_return;
    }
  }
}

// When the caller leaves if it has got no first byte.
TimePoint Exchange::CallerLeaves() const {
  return route_->caller_patience.count() > 0
             ? std::min(deadline_, began_ + route_->caller_patience)
             : deadline_;
}

int Exchange::Priority() const {
  return organisation_ != nullptr && organisation_->priority
             ? *organisation_->priority
             : route_->priority;
}

routing::QueuedRequest Exchange::MakeQueuedRequest(
    const Placement& placement) const {
  routing::QueuedRequest request;
  request.service = service_;
  request.priority = Priority();
  request.organisation = organisation_ == nullptr ? "" : organisation_->name;
  request.bytes = body_->bytes.size();
  request.need_tokens = placement.memory_tokens;
  return request;
}

// Until when the request should wait for room, if it should. It waits once at
// most, and not if it may have run.
std::optional<TimePoint> Exchange::LatestStart(
    const Placement& placement) const {
  if (wait_end_ || placement.fits || placement.model.empty() || runs_ > 0 ||
      response_started_ || parts_.stop_by) {
    return std::nullopt;
  }
  WaitEstimate estimate;
  estimate.began = began_;
  estimate.leaves = CallerLeaves();
  estimate.objective = route_->objective;
  estimate.priority = Priority();
  estimate.predicted = parts_.admission.Predict(service_, placement.cost_ms);
  return parts_.gate.LatestStart(service_, estimate, Now());
}

asio::awaitable<void> Exchange::WaitForRoom(const Placement& placement,
                                            TimePoint latest_start) {
  const TimePoint since = Now();
  routing::QueuedRequest queued = MakeQueuedRequest(placement);
  queued.latest_start = latest_start;
  AdmissionGate::Fits fits = [this](TimePoint now) {
    const auto place = parts_.balancer.Place(MakePlacementRequest(), now);
    return place && place->fits;
  };
  wait_end_ =
      co_await parts_.gate.Wait(this, std::move(queued), std::move(fits));
  waited_ms_ = ToMs(Now() - since);
}

// Waits for a turn at one of the servers that name a limit, if no other server
// can be used and the caller is likely to get one. Returns whether to go on.
asio::awaitable<bool> Exchange::WaitForLimit() {
  const TimePoint now = Now();
  const auto room = parts_.balancer.FindLimitedRoom(service_, tried_, now);
  const TimePoint latest =
      CallerLeaves() - parts_.admission.Predict(service_, predicted_ms_);
  if (!room || latest <= now || parts_.stop_by) {
    co_return false;
  }
  const double turns = room->per_s * ToMs(latest - now) / 1000 /
                       static_cast<double>(room->gateways);
  constexpr double kMinWaiting = 2;
  if (latest <= room->at || static_cast<double>(parts_.gate.waiting(
                                service_)) >= std::max(kMinWaiting, turns)) {
    co_return false;
  }
  routing::QueuedRequest queued;
  queued.service = service_;
  queued.priority = Priority();
  queued.organisation = organisation_ == nullptr ? "" : organisation_->name;
  queued.bytes = body_->bytes.size();
  queued.need_tokens = request_.prompt_tokens + request_.output_tokens;
  queued.latest_start = latest;
  AdmissionGate::Fits fits = [this](TimePoint at) {
    return parts_.balancer.Place(MakePlacementRequest(), at).has_value();
  };
  const WaitEnd end =
      co_await parts_.gate.Wait(this, std::move(queued), std::move(fits));
  wait_end_ = end;
  waited_ms_ += ToMs(Now() - now);
  const bool goes_on = end != WaitEnd::kFull && end != WaitEnd::kStopping;
  co_return goes_on;
}

// When the caller should come back if all usable servers name limits: after
// those that wait here have had their turns.
std::optional<Millis> Exchange::RetryAfterIfLimited() const {
  const TimePoint now = Now();
  const auto room = parts_.balancer.FindLimitedRoom(service_, {}, now);
  if (!room) {
    return std::nullopt;
  }
  constexpr double kMinMs = 100;
  constexpr double kMaxMs = 5000;
  const auto waiting = static_cast<double>(parts_.gate.waiting(service_) + 1);
  const double turns_ms =
      1000 * waiting * static_cast<double>(room->gateways) / room->per_s;
  return Millis(static_cast<std::int64_t>(std::clamp(
      SpreadMs(std::max(turns_ms, ToMs(room->at - now))), kMinMs, kMaxMs)));
}

// Callers that are told the same time return within a quarter of it after it,
// so that they do not all return together.
double Exchange::SpreadMs(double after_ms) const {
  constexpr double kSpread = 0.25;
  constexpr double kMinSpreadMs = 100;
  constexpr std::size_t kSteps = 1024;
  const double position =
      static_cast<double>(std::hash<std::string_view>()(request_.request_id) %
                          kSteps) /
      kSteps;
  return after_ms + position * std::max(kSpread * after_ms, kMinSpreadMs);
}

// When the caller should come back if the request would only start after the
// caller has left; nothing if it should be sent. A request that may have run is
// not refused.
std::optional<Millis> Exchange::RetryAfterIfHopeless(
    const Placement& placement) const {
  if (runs_ > 0 || response_started_) {
    return std::nullopt;
  }
  AdmissionRequest request;
  request.service = service_;
  request.cost_ms = placement.cost_ms;
  request.caller_waits =
      std::chrono::duration_cast<Millis>(CallerLeaves() - Now());
  request.id_hash = std::hash<std::string_view>()(request_.request_id);
  return parts_.admission.RetryAfter(request);
}

// When the caller should come back if all servers of the service want a pause:
// after the first of these ends.
std::optional<Millis> Exchange::RetryAfterIfAllPause() const {
  const TimePoint now = Now();
  const auto until = parts_.balancer.AllPausedUntil(service_, now);
  if (!until) {
    return std::nullopt;
  }
  return std::chrono::ceil<Millis>(
      std::chrono::duration<double, std::milli>(SpreadMs(ToMs(*until - now))));
}

// Whether the process may stop before the request ends. One that came late gets
// no chance unless all of its time is left.
bool Exchange::EndsTooLate(const Placement& placement) const {
  if (!parts_.stop_by) {
    return false;
  }
  const auto predicted = std::chrono::duration_cast<coordination::Duration>(
      std::chrono::duration<double, std::milli>(placement.cost_ms));
  return (received_late_ ? deadline_ : Now() + predicted) > *parts_.stop_by;
}

// Another gateway can serve the request, if it has not run.
asio::awaitable<void> Exchange::RefuseBeforeStop() {
  last_error_ = "stopping";
  if (runs_ > 0 || response_started_) {
    co_await GiveUp();
    co_return;
  }
  const Refusal refusal{503, "stopping", kStoppingRetry};
  co_await Refuse(refusal);
}

// Ends a request with a part on which servers crash.
asio::awaitable<void> Exchange::RefusePart(
    const coordination::PartVerdict& verdict) {
  last_error_ = fmt::format("quarantined_part {:016x}", verdict.part);
  if (runs_ > 0 || response_started_) {
    co_await GiveUp();
    co_return;
  }
  const Refusal refusal{503, "quarantined_part",
                        std::chrono::ceil<Millis>(verdict.left)};
  co_await Refuse(refusal);
}

// Whether the route and its number of attempts allow the request to run again.
bool Exchange::MayRunAgain() const {
  return route_->idempotent && runs_ < std::max(1, route_->attempts);
}

// Whether a request may be moved away from a server that is silent for long.
// All others wait until their deadline.
bool Exchange::MayMove() const {
  return route_->idempotent && runs_ + 1 < std::max(1, route_->attempts) &&
         route_->objective.count() > 0;
}

// The time until which a server's silence is no sign that it hangs.
TimePoint Exchange::SilenceLimit() const {
  const auto predicted = std::chrono::duration_cast<coordination::Duration>(
      std::chrono::duration<double, std::milli>(predicted_ms_));
  return Now() +
         std::max<coordination::Duration>(kSilentObjectives * route_->objective,
                                          kSilentObjectives * predicted);
}

// Whether moving the request is likely to get it served sooner: another server
// can take it in the time left, the service does not seem overloaded, and its
// retry budget also allows to come back if the other one refuses.
bool Exchange::ShouldMove(TimePoint now) const {
  constexpr int kRetries = 2;
  if (parts_.late_share[service_] > kMaxLateShare ||
      !parts_.retries.Allows(service_, kRetries)) {
    return false;
  }
  std::vector<std::string> avoided = tried_;
  avoided.push_back(last_server_);
  PlacementRequest request = MakePlacementRequest();
  request.avoided = avoided;
  const auto other =
      parts_.balancer.Place(request, now, EjectedServers::kNever);
  return other && ToMs(deadline_ - now) > other->cost_ms;
}

// Called when the server may have been silent for too long. Returns when to
// look again, if the request stays there.
std::optional<TimePoint> Exchange::OnSilence(TimePoint now) {
  if (!MayMove() || now >= deadline_) {
    return std::nullopt;
  }
  if (now < silent_after_) {
    return silent_after_;
  }
  if (!server_awaited_ || !ShouldMove(now)) {
    return now + kSilenceRecheck;
  }
  silent_servers_.push_back(last_server_);
  connection_->Cancel(ServerError::kTimeout);
  return std::nullopt;
}

// Whether the rules, the route and the shared retry budget allow another
// attempt.
bool Exchange::MayTryAgain(Step step) const {
  if (caller_.gone() || deadline_ - Now() < kMinTimeLeft) {
    return false;
  }
  if (step == Step::kMayHaveRun && !MayRunAgain()) {
    return false;
  }
  if (response_started_ && !route_->resumable) {
    return false;
  }
  // If the request reached no server yet, the next attempt is not a retry.
  return arrivals_ == 0 || parts_.retries.TryRetry(service_);
}

// Whether the incarnation that was chosen still takes new requests.
bool Exchange::IsUsable(const Placement& placement) const {
  return parts_.balancer.IsUsable(placement.server_id, placement.born_ms,
                                  Now());
}

// What a failed attempt implies about the server. A caller that left implies
// nothing; a timeout counts as a failure only if the server had ample time.
AttemptOutcome Exchange::OutcomeOf(ServerError error) const {
  if (error == ServerError::kCancelled) {
    return AttemptOutcome::kNeutral;
  }
  const auto ample =
      kSilentObjectives * std::max(route_->objective, kMinJudgedObjective);
  if (error == ServerError::kTimeout && Now() - sent_at_ < ample) {
    return AttemptOutcome::kNeutral;
  }
  return AttemptOutcome::kFailed;
}

// The server's answer ended too soon, or never came.
void Exchange::OnLost(const Placement& placement,
                      ServerError error,
                      AttemptOutcome& outcome) {
  last_error_ = Name(error);
  outcome = OutcomeOf(error);
  connection_->Cancel();
  if (error == ServerError::kBroken) {
    parts_.crashes.OnBroken(placement, part_keys_);
  }
}

// What a server says of itself holds as soon as the head has come, whatever
// becomes of the answer. It may also be the head of an earlier one.
void Exchange::OnServerHead(const Placement& placement,
                            const ResponseHead& head) {
  const bool own = parts_.servers.Read(head).request_id == request_.request_id;
  ApplyNotice(parts_, ReadNotice({placement.server_id, placement.born_ms}, head,
                                 parts_.servers, own ? sent_at_ : TimePoint{}));
}

asio::awaitable<std::shared_ptr<ServerConnection>> Exchange::Connect(
    const Placement& placement) {
  const auto freshness =
      route_->idempotent ? Freshness::kAny : Freshness::kRecent;
  auto kept = parts_.pool.TakeIdle(placement.server_id, freshness);
  if (kept) {
    co_return kept;
  }
  auto created = parts_.pool.Make();
  connection_ = created;
  const auto left = std::chrono::duration_cast<Millis>(deadline_ - Now());
  const Millis timeout = std::min(kConnectTimeout, left);
  ++fresh_connections_;
  auto connected = co_await created->Connect(placement.address, timeout);
  if (!connected) {
    last_error_ = Name(connected.error());
    co_return nullptr;
  }
  co_return created;
}

std::string Exchange::FormatRequest(const Placement& placement) const {
  RequestHead head = head_;
  DispatchHead dispatch;
  dispatch.server_id = placement.server_id;
  dispatch.organisation = organisation_ == nullptr ? "" : organisation_->name;
  if (!request_.model.empty() || !request_.prompt.empty()) {
    // Parts are never shared between weights versions. Without any scope, a
    // server shares them among all requests.
    dispatch.cache_scope =
        "v" + std::to_string(placement.weights_version.value_or(0)) + "/" +
        cache_scope_;
  }
  dispatch.resume_after = resume_after_;
  dispatch.time_left = std::chrono::duration_cast<Millis>(deadline_ - Now());
  dispatch.weights_version = placement.weights_version;
  dispatch.fetch_from = placement.fetch_from;
  dispatch.save_to = placement.save_to;
  if (!request_.model.empty()) {
    dispatch.priority = Priority();
  }
  parts_.servers.Prepare(head, dispatch);
  std::string text(head.method_string());
  text.append(" ").append(head.target()).append(" HTTP/1.1\r\n");
  for (const auto& it : head) {
    text.append(it.name_string()).append(": ").append(it.value());
    text += "\r\n";
  }
  const bool has_body =
      !body_->bytes.empty() || head.method() == http::verb::post ||
      head.method() == http::verb::put || head.method() == http::verb::patch;
  if (has_body) {
    text += "Content-Length: " + std::to_string(body_->bytes.size()) + "\r\n";
  }
  text += "\r\n";
  return text;
}

asio::awaitable<Exchange::Step> Exchange::TryServer(
    const Placement& placement) {
  last_server_ = placement.server_id;
  prompt_pending_ = true;
  const PlacementRequest placement_request = MakePlacementRequest();
  parts_.balancer.OnDispatch(placement, placement_request, Now());
  const bool waited = wait_end_ && wait_end_ != WaitEnd::kFull;
  parts_.gate.OnSent(MakeQueuedRequest(placement), waited);
  parts_.on_usage_changed();
  AttemptOutcome outcome = AttemptOutcome::kNeutral;
  Step step = Step::kNotRun;
  connection_ = co_await Connect(placement);
  if (!connection_) {
    outcome = caller_.gone() ? AttemptOutcome::kNeutral
                             : AttemptOutcome::kUnreachable;
  } else if (!IsUsable(placement) || caller_.HasClosed()) {
    // The server started to drain or to pause, or the caller left, during the
    // connect.
    outcome = AttemptOutcome::kNeutral;
  } else {
    ++arrivals_;
    sent_at_ = Now();
    connection_->Send(FormatRequest(placement), body_);
    silent_after_ = SilenceLimit();
    SilenceTimer silence(parts_.context, parts_.clock,
                         [this](TimePoint now) { return OnSilence(now); });
    if (MayMove()) {
      silence.Start(silent_after_);
    }
    server_awaited_ = true;
    const ServerConnection::OnHead on_head = [&](const ResponseHead& it) {
      OnServerHead(placement, it);
    };
    auto head = co_await connection_->ReadHead(
        request_.request_id, head_request_, deadline_, on_head);
    server_awaited_ = false;
    if (head) {
      step = co_await Answer(placement, std::move(head.value()), outcome);
    } else {
      ++runs_;
      step = Step::kMayHaveRun;
      OnLost(placement, head.error(), outcome);
    }
    if (connection_ && IsUsable(placement)) {
      parts_.pool.Put(placement.server_id, std::move(connection_));
    }
  }
  connection_.reset();
  MarkPromptRead(placement, false);
  parts_.balancer.OnEnd(placement, outcome, Now());
  parts_.gate.OnEnded(service_);
  parts_.on_usage_changed();
  if (step != Step::kDone) {
    LogEvent("attempt_failed", LogClass::kNotable)
        .Add("request", request_.request_id)
        .Add("server", placement.server_id)
        .Add("step", step == Step::kNotRun ? "not_run" : "may_have_run")
        .Add("why", last_error_)
        .Add("predicted_ms", placement.cost_ms)
        .Add("since_ms", ToMs(Now() - began_));
  }
  co_return step;
}

// Evaluates the response head, then relays the response or discards it.
asio::awaitable<Exchange::Step> Exchange::Answer(const Placement& placement,
                                                 ResponseHead head,
                                                 AttemptOutcome& outcome) {
  const ServerHead server_head = parts_.servers.Read(head);
  parts_.balancer.OnResponseHead(placement, server_head, Now());
  parts_.crashes.OnContact(placement.server_id);
  if (server_head.load) {
    parts_.gate.OnLoadReport(service_);
  }
  const unsigned status = head.result_int();
  if (server_head.not_executed || status == 421) {
    outcome = AttemptOutcome::kRefused;
    last_error_ = status == 421 ? "other_incarnation" : "refused_by_server";
    if (status == 421) {
      const bool other_version =
          placement.weights_version && server_head.weights_version &&
          *server_head.weights_version != *placement.weights_version;
      if (other_version) {
        last_error_ = "other_version";
        outcome = AttemptOutcome::kNeutral;
        parts_.balancer.OnVersionMismatch(placement.server_id, request_.model,
                                          server_head.weights_version);
      } else {
        parts_.balancer.OnIncarnationMismatch(placement.server_id);
      }
    }
    co_await DiscardRefusal();
    co_return Step::kNotRun;
  }
  ++runs_;
  if (status < 300 && !server_head.sealed) {
    connection_->Cancel();
    last_error_ = "unsealed";
    outcome = AttemptOutcome::kFailed;
    co_return Step::kMayHaveRun;
  }
  const bool failed = status >= 500;
  outcome = failed ? AttemptOutcome::kFailed : AttemptOutcome::kServed;
  if (route_->streamed && status < 300) {
    co_return co_await RelayEvents(placement, head, outcome);
  }
  co_return co_await Relay(placement, std::move(head), outcome);
}

// Reads the rest of a server's refusal so that the connection can be reused,
// unless that takes longer or is more than a refusal is worth.
asio::awaitable<void> Exchange::DiscardRefusal() {
  const TimePoint limit = std::min(deadline_, Now() + kRefusalTimeout);
  std::size_t size = 0;
  while (true) {
    const auto piece = co_await connection_->ReadPiece(limit);
    size += piece ? piece.value().bytes.size() : 0;
    if (!piece || size > kMaxRefusalBytes) {
      connection_->Cancel();
      co_return;
    }
    if (piece.value().last) {
      co_return;
    }
  }
}

// Buffers a plain response until it is complete, so that a truncated one can be
// retried and never looks complete to the caller.
asio::awaitable<Exchange::Step> Exchange::Relay(const Placement& placement,
                                                ResponseHead head,
                                                AttemptOutcome& outcome) {
  std::string body;
  while (true) {
    server_awaited_ = true;
    auto piece = co_await connection_->ReadPiece(deadline_);
    server_awaited_ = false;
    silent_after_ = SilenceLimit();
    const std::size_t n = piece ? piece.value().bytes.size() : 0;
    if (!piece || body.size() + n > kMaxHeldBytes || !held_.Add(n)) {
      if (piece) {
        last_error_ = "answer_too_large";
        outcome = AttemptOutcome::kFailed;
        connection_->Cancel();
      } else {
        OnLost(placement, piece.error(), outcome);
      }
      co_return Step::kMayHaveRun;
    }
    MarkPromptRead(placement, true);
    body += piece.value().bytes;
    if (piece.value().last) {
      break;
    }
  }
  const unsigned status = head.result_int();
  if (status >= 500 && !response_started_ && MayRunAgain()) {
    // Sent to the caller if no other server answers.
    last_error_ = "server_error";
    failed_response_ = CompleteResponse{std::move(head), std::move(body)};
    co_return Step::kMayHaveRun;
  }
  if (response_started_) {
    last_error_ = "resume_refused";
    co_return Step::kMayHaveRun;
  }
  co_return co_await SendWhole(std::move(head), std::move(body));
}

asio::awaitable<Exchange::Step> Exchange::SendWhole(ResponseHead head,
                                                    std::string body) {
  const unsigned status = head.result_int();
  parts_.servers.CleanAnswer(head);
  if (IsRefusalStatus(status)) {
    // Forwarding this status would promise that the request did not run.
    const Refusal refusal{502, "server_refusal_without_promise", Millis(0)};
    co_await Refuse(refusal);
    co_return Step::kDone;
  }
  if (status < 300) {
    parts_.crashes.OnSound(part_keys_);
  }
  keep_alive_ = keep_alive_ && parts_.keep_alive;
  first_byte_ = first_byte_ == TimePoint{} ? Now() : first_byte_;
  const bool sent =
      co_await caller_.Send(head, body, keep_alive_, !head_request_);
  Finish(sent ? "served" : "caller_gone", status);
  co_return Step::kDone;
}

asio::awaitable<bool> Exchange::ForwardBytes(const ResponseHead& head,
                                             std::string_view bytes) {
  if (response_started_) {
    co_return co_await caller_.WriteChunk(bytes);
  }
  response_started_ = true;
  first_byte_ = Now();
  ResponseHead clean = head;
  parts_.servers.CleanAnswer(clean);
  keep_alive_ = keep_alive_ && parts_.keep_alive;
  co_return co_await caller_.BeginChunks(clean, bytes, keep_alive_);
}

// Records, once per attempt, that the server has processed the prompt.
void Exchange::MarkPromptRead(const Placement& placement,
                              bool first_byte_came) {
  if (prompt_pending_) {
    prompt_pending_ = false;
    if (first_byte_came) {
      parts_.admission.OnFirstByte(
          service_, placement.cost_ms,
          std::chrono::duration_cast<Millis>(Now() - sent_at_));
      if (!placement.model.empty()) {
        parts_.gate.OnFirstByte(
            service_, placement.fits, wait_end_ == WaitEnd::kLate,
            std::chrono::duration_cast<Millis>(Now() - sent_at_));
      }
    }
    parts_.balancer.OnFirstByte(placement, first_byte_came
                                               ? std::optional(Now() - sent_at_)
                                               : std::nullopt);
    parts_.on_usage_changed();
  }
}

// Forwards complete events as they arrive. A stream that ends inside an event
// was broken off, however its connection ended.
asio::awaitable<Exchange::Step> Exchange::RelayEvents(
    const Placement& placement,
    const ResponseHead& head,
    AttemptOutcome& outcome) {
  EventSplitter events;
  silent_after_ = SilenceLimit();
  while (true) {
    server_awaited_ = true;
    auto piece = co_await connection_->ReadPiece(deadline_);
    server_awaited_ = false;
    if (!piece) {
      OnLost(placement, piece.error(), outcome);
      co_return Step::kMayHaveRun;
    }
    events.Feed(piece.value().bytes);
    std::string whole;
    while (const auto event = events.Next()) {
      whole += event->bytes;
      if (!event->id.empty()) {
        resume_after_ = event->id;
      }
    }
    const bool cut = piece.value().last && events.inside_event();
    if (piece.value().last && !cut) {
      whole += events.rest();
    }
    if (!whole.empty()) {
      MarkPromptRead(placement, true);
      const bool sent = co_await ForwardBytes(head, whole);
      // Only whole events count as progress: a stalled server may go on sending
      // comments or single bytes. The time that the caller took doesn't count.
      silent_after_ = SilenceLimit();
      if (!sent) {
        connection_->Cancel();
        outcome = AttemptOutcome::kNeutral;
        Finish("caller_gone", head.result_int());
        co_return Step::kDone;
      }
    }
    if (cut) {
      OnLost(placement, ServerError::kBroken, outcome);
      co_return Step::kMayHaveRun;
    }
    if (piece.value().last) {
      break;
    }
    if (events.overflowed()) {
      connection_->Cancel();
      last_error_ = "event_too_large";
      outcome = AttemptOutcome::kFailed;
      co_return Step::kMayHaveRun;
    }
  }
  if (!response_started_) {
    const bool begun = co_await ForwardBytes(head, "");
    if (!begun) {
      Finish("caller_gone", head.result_int());
      co_return Step::kDone;
    }
  }
  parts_.crashes.OnSound(part_keys_);
  const bool ended = co_await caller_.EndChunks();
  Finish(ended ? "served" : "caller_gone", head.result_int());
  co_return Step::kDone;
}

// Ends the request without further attempts; tells the caller what is known
// about the earlier ones.
asio::awaitable<void> Exchange::GiveUp() {
  if (caller_.gone()) {
    Finish("caller_gone", 0);
    co_return;
  }
  if (response_started_) {
    Finish("broken_off", 200);
    caller_.Abort();
    co_return;
  }
  if (failed_response_) {
    (void)co_await SendWhole(std::move(failed_response_->head),
                             std::move(failed_response_->body));
    co_return;
  }
  const bool ran = runs_ > 0;
  if (ran) {
    const bool late = deadline_ - Now() < kMinTimeLeft;
    const Refusal refusal{late ? 504U : 502U,
                          late ? "timeout" : "no_whole_answer", Millis(0)};
    co_await Refuse(refusal);
    co_return;
  }
  if (const auto after = RetryAfterIfAllPause()) {
    const Refusal refusal{503, "servers_pause", *after};
    co_await Refuse(refusal);
    co_return;
  }
  if (const auto after = RetryAfterIfLimited()) {
    const Refusal refusal{503, "servers_limited", *after};
    co_await Refuse(refusal);
    co_return;
  }
  const bool served = parts_.balancer.HasServer(service_, Now());
  const Refusal refusal{503, served ? "no_place" : "no_server",
                        parts_.balancer.EstimateRetryAfter(service_)};
  co_await Refuse(refusal);
}

asio::awaitable<void> Exchange::Refuse(Refusal refusal) {
  ResponseHead head;
  head.version(11);
  head.result(refusal.status);
  head.reason(http::obsolete_reason(head.result()));
  if (refusal.retry_after.count() > 0) {
    const auto millis = refusal.retry_after.count();
    std::string seconds = std::to_string(millis / 1000) + ".";
    const std::string fraction = std::to_string(millis % 1000);
    seconds += std::string(3 - fraction.size(), '0') + fraction;
    head.set(http::field::retry_after, seconds);
  }
  keep_alive_ = keep_alive_ && parts_.keep_alive;
  parts_.metrics
      .GetCounter("peridotgate_gateway_refusals_total",
                  {{"reason", refusal.reason}})
      .Add();
  last_error_ = last_error_.empty() ? std::string(refusal.reason) : last_error_;
  co_await caller_.Send(head, "", keep_alive_, !head_request_);
  Finish(refusal.reason, refusal.status);
}

void Exchange::Finish(std::string_view outcome, unsigned status) {
  const TimePoint now = Now();
  if (runs_ == 0 && !response_started_) {
    parts_.quotas.Refund(quota_charge_, now);
  }
  const bool served = outcome == "served" && status < 500;
  const std::string_view route =
      route_ == nullptr ? std::string_view() : std::string_view(route_->name);
  if (route_ != nullptr && first_byte_ != TimePoint{}) {
    const bool late = first_byte_ - began_ > route_->objective;
    double& share = parts_.late_share[service_];
    share += kLateWeight * ((late ? 1.0 : 0.0) - share);
  }
  parts_.metrics
      .GetCounter("peridotgate_gateway_requests_total", {{"outcome", outcome}})
      .Add();
  if (first_byte_ != TimePoint{}) {
    parts_.metrics
        .GetDistribution("peridotgate_gateway_first_byte_ms",
                         {{"service", service_}})
        .Observe(ToMs(first_byte_ - began_));
  }
  LogEvent("request_ended", served ? LogClass::kRoutine : LogClass::kNotable)
      .Add("request", request_.request_id)
      .Add("route", route)
      .Add("organisation", organisation_ == nullptr ? "" : organisation_->name)
      .Add("rules", rules_ ? rules_->version() : 0)
      .Add("outcome", outcome)
      .Add("status", status)
      .Add("server", last_server_)
      .Add("arrivals", arrivals_)
      .Add("runs", runs_)
      .Add("why", served ? "" : last_error_)
      .Add("predicted_ms", predicted_ms_)
      .Add("waited_ms", waited_ms_)
      .Add("wait_end", wait_end_ ? Name(*wait_end_) : "")
      .Add("first_ms",
           first_byte_ == TimePoint{} ? 0.0 : ToMs(first_byte_ - began_))
      .Add("total_ms", ToMs(now - began_));
}

}  // namespace peridotgate::gateway
