#include "entry/caller_server.h"

#include <optional>
#include <set>
#include <unordered_map>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "call_answer.h"
#include "caller_request.h"
#include "entry/problem.h"
#include "problem_sender.h"

namespace peridotgate::entry {
namespace {

namespace http = runtime::http;
namespace json = boost::json;
using runtime::HttpExchange;
using runtime::HttpRequest;

constexpr int kMaxRulesTries = 4;
constexpr std::chrono::milliseconds kRulesTimeout{500};
constexpr std::chrono::milliseconds kRulesPollInterval{2};
constexpr double kMsPerMicro = 0.001;
constexpr std::chrono::milliseconds kEndPollInterval{5};
constexpr int kMaxEndPolls = 400;

}  // namespace

struct CallerServer::Impl {
  Impl(runtime::Duty& duty,
       const EntrySettings& settings,
       const coordination::Clock& clock,
       runtime::Port<RouterCommand>& commands,
       BurnLog& burn,
       runtime::Metrics& metrics)
      : duty(duty),
        clock(clock),
        commands(commands),
        burn(burn),
        metrics(metrics),
        problems(metrics),
        rules(std::make_shared<RulesBook>()),
        server(
            duty.context(),
            settings.limits,
            [this](HttpRequest request, HttpExchange& exchange) {
              return Handle(std::move(request), exchange);
            },
            metrics) {}

  runtime::Duty& duty;
  const coordination::Clock& clock;
  runtime::Port<RouterCommand>& commands;
  BurnLog& burn;
  runtime::Metrics& metrics;
  ProblemSender problems;
  std::shared_ptr<const RulesBook> rules;
  std::unordered_map<Id128, CallInbox*> inboxes;
  std::optional<coordination::TimePoint> stops_at;
  runtime::HttpServer server;

  // If an agent refuses a call because it has newer rules, waits for these
  // rules and handles the request again under them.
  asio::awaitable<void> Handle(HttpRequest request, HttpExchange& exchange) {
    for (int tries_left = kMaxRulesTries - 1; tries_left >= 0; --tries_left) {
      const auto current_rules = rules;
      const bool done =
          co_await TryHandle(current_rules, request, tries_left == 0, exchange);
      if (done) {
        co_return;
      }
      co_await WaitForRules(current_rules->version());
    }
  }

  asio::awaitable<void> WaitForRules(std::int64_t after) {
    const auto deadline = clock.Now() + kRulesTimeout;
    asio::steady_timer timer(duty.context());
    while (rules->version() <= after && clock.Now() < deadline) {
      timer.expires_after(kRulesPollInterval);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  // Returns false without sending a response if the call was refused for stale
  // rules and this is not the last try.
  asio::awaitable<bool> TryHandle(
      std::shared_ptr<const RulesBook> current_rules,
      const HttpRequest& request,
      bool is_last_try,
      HttpExchange& exchange) {
    const wire::OrganisationRules* organisation =
        Authenticate(*current_rules, request);
    if (organisation == nullptr) {
      const bool ready = current_rules->version() > 0;
      Problem problem{ready ? 401U : 503U, wire::Outcome::kNotRun,
                      ready ? "Unknown key" : "No rules yet",
                      "send a key of an organisation as a bearer token", 0};
      co_await problems.Send(exchange, problem, coordination::NewId());
      co_return true;
    }
    const std::string_view target = request.target();
    if (target == "/v1/models") {
      auto models = ListModels(*organisation);
      models.set(std::string(kRequestIdHeader),
                 coordination::ToHex(coordination::NewId()));
      co_await exchange.Send(std::move(models));
      co_return true;
    }
    if (target != "/v1/chat/completions" && target != "/v1/completions" &&
        !target.starts_with("/services/")) {
      Problem problem{404, wire::Outcome::kNotRun, "Not found",
                      "there is nothing at this path", 0};
      co_await problems.Send(exchange, problem, coordination::NewId());
      co_return true;
    }
    auto read = ReadCallerRequest(*organisation, request);
    if (!read) {
      co_await problems.Send(exchange, read.error(), coordination::NewId());
      co_return true;
    }
    read.value().route.dispatch.config_version =
        current_rules->VersionOf(*organisation);
    const BurnScope scope(burn, read.value().route, *organisation);
    const bool done =
        co_await Route(std::move(read.value()), is_last_try, exchange);
    co_return done;
  }

  runtime::HttpResponse ListModels(
      const wire::OrganisationRules& organisation) const {
    constexpr std::string_view kModel = "model:";
    std::set<std::string> models;
    for (const wire::KindRules& it : organisation.kinds) {
      if (it.target.starts_with(kModel)) {
        models.insert(it.target.substr(kModel.size()));
      }
    }
    json::array data;
    for (const std::string& it : models) {
      data.push_back(
          {{"id", it}, {"object", "model"}, {"owned_by", organisation.name}});
    }
    return runtime::MakeResponse(
        http::status::ok,
        json::serialize(json::object{{"object", "list"}, {"data", data}}));
  }

  static bool IsStaleRules(const std::optional<CallEvent>& event) {
    const auto* refused =
        event ? std::get_if<CallRefused>(&event->payload) : nullptr;
    return refused != nullptr && refused->reason == wire::Reason::kStaleRules &&
           refused->outcome == wire::Outcome::kNotRun;
  }

  // Returns false without sending a response if the call was refused for stale
  // rules and this is not the last try.
  asio::awaitable<bool> Route(CallerRequest call,
                              bool is_last_try,
                              HttpExchange& exchange) {
    const Id128 id = call.route.request_id;
    const std::string organisation = call.route.dispatch.organisation;
    const std::string kind = call.route.dispatch.kind;
    const auto started = clock.Now();
    const bool streamed = call.streamed;
    const coordination::Duration limit(call.route.dispatch.wait_limit_us);
    if (stops_at && started + limit > *stops_at) {
      Problem problem{503, wire::Outcome::kNotRun, "Stopping",
                      "this entry stops; send the request again", 0};
      co_await problems.Send(exchange, problem, id);
      co_return true;
    }
    CallInbox inbox(duty.context());
    co_await EndEarlierConnection(id);
    if (!inboxes.emplace(id, &inbox).second) {
      Problem problem{409, wire::Outcome::kNotRun, "Stream is being served",
                      "this entry already serves the stream", 0};
      co_await problems.Send(exchange, problem, id);
      co_return true;
    }
    RouterCommand command(std::move(call.route));
    if (!commands.TrySend(std::move(command))) {
      inboxes.erase(id);
      Problem problem = MakeProblem(wire::Outcome::kNotRun,
                                    wire::Reason::kQueueFull, "", 1000);
      co_await problems.Send(exchange, problem, id);
      co_return true;
    }
    // Looked up before the answer arrives, to keep it off the latency path.
    auto& first_byte_ms = metrics.GetDistribution(
        "peridotgate_entry_first_byte_ms",
        {{"organisation", organisation}, {"kind", kind}});
    auto first = co_await inbox.Next(kEventTimeout);
    if (!is_last_try && IsStaleRules(first)) {
      inboxes.erase(id);
      co_return false;
    }
    first_byte_ms.Observe(kMsPerMicro *
                          static_cast<double>((clock.Now() - started).count()));
    CallAnswer answer({duty, commands, problems}, id, inbox, exchange);
    co_await answer.Send(first, streamed);
    inboxes.erase(id);
    commands.TrySend(DropCall{id});
    co_return true;
  }

  // Ends an earlier connection that still serves a stream which is now being
  // resumed: that connection may be broken without having noticed.
  asio::awaitable<void> EndEarlierConnection(const Id128& id) {
    for (int i = 0; i < kMaxEndPolls && inboxes.contains(id); ++i) {
      if (i == 0) {
        CallEnd end{wire::Outcome::kUnknown, wire::Reason::kCancelled,
                    "the stream was taken up by another connection"};
        inboxes[id]->Put(CallEvent{id, std::move(end)});
      }
      co_await Pause(kEndPollInterval);
    }
  }

  asio::awaitable<void> Pause(std::chrono::milliseconds time) {
    asio::steady_timer timer(duty.context(), time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
};

CallerServer::CallerServer(runtime::Duty& duty,
                           const EntrySettings& settings,
                           const coordination::Clock& clock,
                           runtime::Port<RouterCommand>& commands,
                           BurnLog& burn,
                           runtime::Metrics& metrics)
    : impl_(std::make_unique<Impl>(duty,
                                   settings,
                                   clock,
                                   commands,
                                   burn,
                                   metrics)) {}

CallerServer::~CallerServer() = default;

bool CallerServer::Listen(const runtime::Endpoint& endpoint,
                          std::string& error) {
  return impl_->server.Listen(endpoint, error);
}

void CallerServer::OnEvent(CallEvent event) {
  impl_->burn.OnEvent(event);
  auto it = impl_->inboxes.find(event.request_id);
  if (it != impl_->inboxes.end()) {
    it->second->Put(std::move(event));
  }
}

void CallerServer::OnClusterView(ClusterView view) {
  impl_->rules = std::move(view.rules);
}

void CallerServer::DisableKeepAlive() {
  impl_->server.StopKeeping();
}

void CallerServer::StopAccepting(coordination::TimePoint end) {
  impl_->stops_at = end;
  impl_->server.StopAccepting();
}

void CallerServer::EndCalls() {
  for (const auto& [id, inbox] : impl_->inboxes) {
    CallEnd end{wire::Outcome::kUnknown, wire::Reason::kLateAnswer,
                "the entry stops"};
    inbox->Put(CallEvent{id, std::move(end)});
  }
}

std::size_t CallerServer::open_requests() const {
  return impl_->server.open_requests();
}

}  // namespace peridotgate::entry
