#include "exchange.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "runtime/event_log.h"

namespace peridotgate::gateway {
namespace {

using runtime::LogClass;
using runtime::LogEvent;

// Connections within the region open in a few milliseconds; a server that
// takes longer than this is down or cut off.
constexpr Millis kConnectTimeout{300};
// A request with less time left than this is not worth sending.
constexpr Millis kLeastTime{10};
// The most of a plain answer that is held before it is passed on.
constexpr std::size_t kMaxHeldBytes = 1 << 20;
// A route without a timeout is held to this.
constexpr Millis kDefaultTimeout{60000};
constexpr Millis kNoRulesRetry{300};
// A server that is silent for so many objectives, or so many times the
// predicted time, hangs.
constexpr int kSilentObjectives = 3;
// While more first bytes than this come late, servers are full rather than
// hanging, and moving requests would add to it.
constexpr double kMostLate = 0.15;
// Weight of a new first byte in the share of late ones.
constexpr double kLateWeight = 0.05;
// The least objective by which a server is judged when time runs out.
constexpr Millis kAmple{150};

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
                   std::string body,
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
      keep_(keep) {}

asio::awaitable<bool> Exchange::Run() {
  Refusal refusal;
  const bool matched = Match(refusal);
  if (!matched) {
    co_await Refuse(refusal);
    co_return keep_ && !caller_.gone() && !caller_.aborted();
  }
  parts_.retries.OnRequest(service_);
  caller_.Watch([this] {
    if (connection_) {
      connection_->Cancel();
    }
  });
  co_await Attempts();
  caller_.StopWatching();
  co_return keep_ && !caller_.gone() && !caller_.aborted();
}

// The route, the organisation, and the time that the request has.
bool Exchange::Match(Refusal& refusal) {
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
  if (organisation_ != nullptr && organisation_->dedicated) {
    cache_scope_ = organisation_->name;
  }
  resume_after_ = request_.resume_after;
  return true;
}

Need Exchange::MakeNeed() const {
  Need need;
  need.service = service_;
  need.model = request_.model;
  need.prompt = request_.prompt;
  need.cache_scope = cache_scope_;
  need.data_centre = parts_.settings.data_centre;
  need.avoided = tried_;
  return need;
}

asio::awaitable<void> Exchange::Attempts() {
  while (true) {
    if (caller_.HasClosed()) {
      Finish("caller_gone", 0);
      co_return;
    }
    const TimePoint now = Now();
    auto place = deadline_ - now < kLeastTime
                     ? std::nullopt
                     : parts_.book.Place(MakeNeed(), now);
    if (!place) {
      co_await GiveUp();
      co_return;
    }
    predicted_ms_ = place->cost_ms;
    const Step last = co_await TryServer(*place);
    if (last == Step::kDone) {
      co_return;
    }
    tried_.push_back(place->server_id);
    if (!MayTryAgain(last)) {
      co_await GiveUp();
      co_return;
    }
  }
}

// Whether the route allows another server to run the request.
bool Exchange::MayRunAgain() const {
  return route_->idempotent && runs_ < std::max(1, route_->attempts);
}

// Until when the server of the present attempt may be silent. Answers the load
// of servers that hang: a request that may run again is moved while there is
// time to serve it elsewhere, all others wait to the end.
TimePoint Exchange::SilenceLimit() const {
  const bool last_run = runs_ + 1 >= std::max(1, route_->attempts);
  if (!route_->idempotent || last_run || route_->objective.count() == 0 ||
      parts_.late_share[service_] > kMostLate ||
      !parts_.retries.Allows(service_)) {
    return deadline_;
  }
  const auto predicted = std::chrono::duration_cast<coordination::Duration>(
      std::chrono::duration<double, std::milli>(predicted_ms_));
  const auto patience = std::max<coordination::Duration>(
      kSilentObjectives * route_->objective, kSilentObjectives * predicted);
  return std::min(deadline_, Now() + patience);
}

// Whether the rules, the route and the shared budget allow another attempt.
bool Exchange::MayTryAgain(Step step) const {
  if (caller_.gone() || deadline_ - Now() < kLeastTime) {
    return false;
  }
  if (step == Step::kMayHaveRun && !MayRunAgain()) {
    return false;
  }
  if (began_answer_ && !route_->resumable) {
    return false;
  }
  // A request that reached no server is sent for the first time.
  return arrivals_ == 0 || parts_.retries.TryRetry(service_);
}

// What an attempt without a whole answer says of the server. A caller that
// left says nothing; time that ran out does, when it was ample.
AttemptOutcome Exchange::OutcomeOf(ServerError error) const {
  if (error == ServerError::kCancelled) {
    return AttemptOutcome::kNeutral;
  }
  const auto ample = kSilentObjectives * std::max(route_->objective, kAmple);
  if (error == ServerError::kTimeout && Now() - sent_at_ < ample) {
    return AttemptOutcome::kNeutral;
  }
  return AttemptOutcome::kFailed;
}

asio::awaitable<std::shared_ptr<ServerConnection>> Exchange::Connect(
    const Placement& place) {
  const auto freshness =
      route_->idempotent ? Freshness::kAny : Freshness::kRecent;
  auto kept = parts_.pool.TakeIdle(place.server_id, freshness);
  if (kept) {
    co_return kept;
  }
  auto made = parts_.pool.Make();
  connection_ = made;
  const auto left = std::chrono::duration_cast<Millis>(deadline_ - Now());
  const Millis timeout = std::min(kConnectTimeout, left);
  ++fresh_connections_;
  auto connected = co_await made->Connect(place.address, timeout);
  if (!connected) {
    last_error_ = Name(connected.error());
    co_return nullptr;
  }
  co_return made;
}

std::string Exchange::FormatRequest(const Placement& place) const {
  RequestHead head = head_;
  DispatchHead with;
  with.server_id = place.server_id;
  with.organisation = organisation_ == nullptr ? "" : organisation_->name;
  if (place.weights_version) {
    // Parts are never shared between versions, nor with a dedicated
    // organisation.
    with.cache_scope =
        "v" + std::to_string(*place.weights_version) + "/" + cache_scope_;
  }
  with.resume_after = resume_after_;
  with.time_left = std::chrono::duration_cast<Millis>(deadline_ - Now());
  with.weights_version = place.weights_version;
  with.fetch_from = place.fetch_from;
  with.save_to = place.save_to;
  if (!request_.model.empty()) {
    with.priority = organisation_ != nullptr && organisation_->priority
                        ? *organisation_->priority
                        : route_->priority;
  }
  parts_.servers.Prepare(head, with);
  std::string text(head.method_string());
  text.append(" ").append(head.target()).append(" HTTP/1.1\r\n");
  for (const auto& it : head) {
    text.append(it.name_string()).append(": ").append(it.value());
    text += "\r\n";
  }
  const bool has_body = !body_.empty() || head.method() == http::verb::post ||
                        head.method() == http::verb::put ||
                        head.method() == http::verb::patch;
  if (has_body) {
    text += "Content-Length: " + std::to_string(body_.size()) + "\r\n";
  }
  text += "\r\n";
  return text;
}

asio::awaitable<Exchange::Step> Exchange::TryServer(const Placement& place) {
  last_server_ = place.server_id;
  prompt_unread_ = true;
  const Need need = MakeNeed();
  parts_.book.OnDispatch(place, need, Now());
  parts_.on_use_changed();
  AttemptOutcome outcome = AttemptOutcome::kNeutral;
  Step step = Step::kNotRun;
  connection_ = co_await Connect(place);
  if (!connection_) {
    outcome = caller_.gone() ? AttemptOutcome::kNeutral
                             : AttemptOutcome::kUnreachable;
  } else if (!parts_.book.MayUse(place.server_id) || caller_.HasClosed()) {
    // The server began to leave, or the caller left, while the connection was
    // made.
    outcome = AttemptOutcome::kNeutral;
  } else {
    ++arrivals_;
    sent_at_ = Now();
    connection_->Send(FormatRequest(place), body_);
    const TimePoint limit = SilenceLimit();
    auto head = co_await connection_->ReadHead(request_.request_id,
                                               head_request_, limit);
    if (head) {
      step = co_await Answer(place, std::move(head.value()), outcome);
    } else {
      ++runs_;
      step = Step::kMayHaveRun;
      last_error_ = Name(head.error());
      outcome = OutcomeOf(head.error());
      connection_->Cancel();
    }
    if (connection_) {
      parts_.pool.Put(place.server_id, std::move(connection_));
    }
  }
  connection_.reset();
  ReadPrompt(place);
  parts_.book.OnEnd(place, outcome, Now());
  parts_.on_use_changed();
  if (step != Step::kDone) {
    LogEvent("attempt_failed", LogClass::kNotable)
        .Add("request", request_.request_id)
        .Add("server", place.server_id)
        .Add("step", step == Step::kNotRun ? "not_run" : "may_have_run")
        .Add("why", last_error_)
        .Add("predicted_ms", place.cost_ms)
        .Add("since_ms", ToMs(Now() - began_));
  }
  co_return step;
}

// Reads what the head says of the server, and passes the rest on or not.
asio::awaitable<Exchange::Step> Exchange::Answer(const Placement& place,
                                                 ResponseHead head,
                                                 AttemptOutcome& outcome) {
  const ServerHead said = parts_.servers.Read(head);
  parts_.book.OnHead(place, said, Now());
  const unsigned status = head.result_int();
  if (said.not_executed || status == 421) {
    outcome = AttemptOutcome::kRefused;
    last_error_ = status == 421 ? "other_incarnation" : "refused_by_server";
    if (status == 421) {
      const bool other_version =
          place.weights_version && said.weights_version &&
          *said.weights_version != *place.weights_version;
      if (other_version) {
        last_error_ = "other_version";
        outcome = AttemptOutcome::kNeutral;
        parts_.book.OnOtherVersion(place.server_id, request_.model,
                                   said.weights_version);
      } else {
        parts_.book.OnOtherIncarnation(place.server_id);
      }
    }
    // The rest of the refusal is read so that the connection can be kept.
    auto rest = co_await connection_->ReadPiece(Now() + kConnectTimeout);
    while (rest && !rest.value().last) {
      rest = co_await connection_->ReadPiece(Now() + kConnectTimeout);
    }
    co_return Step::kNotRun;
  }
  ++runs_;
  if (status < 300 && !said.sealed) {
    connection_->Cancel();
    last_error_ = "unsealed";
    outcome = AttemptOutcome::kFailed;
    co_return Step::kMayHaveRun;
  }
  const bool failed = status >= 500;
  outcome = failed ? AttemptOutcome::kFailed : AttemptOutcome::kServed;
  if (route_->streamed && status < 300) {
    co_return co_await RelayEvents(place, head, outcome);
  }
  co_return co_await Relay(place, std::move(head), outcome);
}

// A plain answer is held until it is whole, so that one that breaks off can be
// asked for again and never looks complete.
asio::awaitable<Exchange::Step> Exchange::Relay(const Placement& place,
                                                ResponseHead head,
                                                AttemptOutcome& outcome) {
  std::string body;
  while (true) {
    const TimePoint limit = SilenceLimit();
    auto piece = co_await connection_->ReadPiece(limit);
    if (!piece || body.size() + piece.value().bytes.size() > kMaxHeldBytes) {
      last_error_ = piece ? "answer_too_large" : Name(piece.error());
      connection_->Cancel();
      outcome = piece ? AttemptOutcome::kFailed : OutcomeOf(piece.error());
      co_return Step::kMayHaveRun;
    }
    ReadPrompt(place);
    body += piece.value().bytes;
    if (piece.value().last) {
      break;
    }
  }
  const unsigned status = head.result_int();
  if (status >= 500 && !began_answer_ && MayRunAgain()) {
    // Given to the caller if nobody else answers.
    last_error_ = "server_error";
    failure_ = WholeAnswer{std::move(head), std::move(body)};
    co_return Step::kMayHaveRun;
  }
  if (began_answer_) {
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
    // The status would promise that the request has not run.
    const Refusal refusal{502, "server_refusal_without_promise", Millis(0)};
    co_await Refuse(refusal);
    co_return Step::kDone;
  }
  keep_ = keep_ && parts_.keeping;
  first_byte_ = first_byte_ == TimePoint{} ? Now() : first_byte_;
  const bool sent = co_await caller_.Send(head, body, keep_, !head_request_);
  Finish(sent ? "served" : "caller_gone", status);
  co_return Step::kDone;
}

asio::awaitable<bool> Exchange::PassOn(const ResponseHead& head,
                                       std::string_view bytes) {
  if (began_answer_) {
    co_return co_await caller_.WriteChunk(bytes);
  }
  began_answer_ = true;
  first_byte_ = Now();
  ResponseHead clean = head;
  parts_.servers.CleanAnswer(clean);
  keep_ = keep_ && parts_.keeping;
  co_return co_await caller_.BeginChunks(clean, bytes, keep_);
}

// The server has read the prompt of the present attempt. Counted once.
void Exchange::ReadPrompt(const Placement& place) {
  if (prompt_unread_) {
    prompt_unread_ = false;
    parts_.book.OnFirstByte(place);
    parts_.on_use_changed();
  }
}

// Passes whole events on as they come. What comes after the last whole event
// leaves only when the stream ends properly.
asio::awaitable<Exchange::Step> Exchange::RelayEvents(const Placement& place,
                                                      const ResponseHead& head,
                                                      AttemptOutcome& outcome) {
  EventSplitter events;
  while (true) {
    const TimePoint limit = SilenceLimit();
    auto piece = co_await connection_->ReadPiece(limit);
    if (!piece) {
      last_error_ = Name(piece.error());
      outcome = OutcomeOf(piece.error());
      connection_->Cancel();
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
    if (piece.value().last) {
      whole += events.rest();
    }
    if (!whole.empty()) {
      ReadPrompt(place);
      const bool sent = co_await PassOn(head, whole);
      if (!sent) {
        connection_->Cancel();
        outcome = AttemptOutcome::kNeutral;
        Finish("caller_gone", head.result_int());
        co_return Step::kDone;
      }
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
  if (!began_answer_) {
    const bool begun = co_await PassOn(head, "");
    if (!begun) {
      Finish("caller_gone", head.result_int());
      co_return Step::kDone;
    }
  }
  const bool ended = co_await caller_.EndChunks();
  Finish(ended ? "served" : "caller_gone", head.result_int());
  co_return Step::kDone;
}

// No further attempt: tells the caller what is true of those before.
asio::awaitable<void> Exchange::GiveUp() {
  if (caller_.gone()) {
    Finish("caller_gone", 0);
    co_return;
  }
  if (began_answer_) {
    Finish("broken_off", 200);
    caller_.Abort();
    co_return;
  }
  if (failure_) {
    (void)co_await SendWhole(std::move(failure_->head),
                             std::move(failure_->body));
    co_return;
  }
  const bool ran = runs_ > 0;
  if (ran) {
    const bool late = deadline_ - Now() < kLeastTime;
    const Refusal refusal{late ? 504U : 502U,
                          late ? "timeout" : "no_whole_answer", Millis(0)};
    co_await Refuse(refusal);
    co_return;
  }
  const bool served = parts_.book.HasServer(service_, Now());
  const Refusal refusal{503, served ? "no_place" : "no_server",
                        parts_.book.ReturnAfter(service_)};
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
  keep_ = keep_ && parts_.keeping;
  last_error_ = last_error_.empty() ? std::string(refusal.reason) : last_error_;
  co_await caller_.Send(head, "", keep_, !head_request_);
  Finish(refusal.reason, refusal.status);
}

void Exchange::Finish(std::string_view outcome, unsigned status) {
  const TimePoint now = Now();
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
      .Add("first_ms",
           first_byte_ == TimePoint{} ? 0.0 : ToMs(first_byte_ - began_))
      .Add("total_ms", ToMs(now - began_));
}

}  // namespace peridotgate::gateway
