#include "soak/callers.h"

#include <array>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgate::soak {
namespace {

namespace http = runtime::http;
using std::chrono::milliseconds;

constexpr milliseconds kPatience{3000};
// A caller that hears nothing for this long is one that hangs.
constexpr milliseconds kMostWait{8000};
// After so many requests a caller goes to another gateway.
constexpr int kRequestsOfConnection = 40;

struct Organisation {
  std::string name;
  std::string key;
};

const std::array<Organisation, 2> kOrganisations = {
    Organisation{"first", "key-first"}, Organisation{"second", "key-second"}};

std::string PathOf(Kind kind) {
  switch (kind) {
    case Kind::kStream:
      return "/stream/1";
    case Kind::kUnsafe:
      return "/book/1";
    case Kind::kSafe:
      return "/look/1";
  }
  return "/";
}

bool Promises(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string WholeStream(const std::string& id) {
  std::string text;
  for (int i = 1; i <= EventsOf(id); ++i) {
    text += EventText(id, i);
  }
  return text;
}

std::string_view Name(Outcome outcome) {
  switch (outcome) {
    case Outcome::kServed:
      return "served";
    case Outcome::kRefused:
      return "refused";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kLost:
      return "lost";
  }
  return "";
}

}  // namespace

Callers::Callers(Surroundings& around, std::vector<runtime::Endpoint> gateways)
    : around_(around), gateways_(std::move(gateways)) {}

runtime::HttpRequest Callers::MakeRequest(const std::string& id,
                                          const SentRequest& sent) const {
  const auto verb = sent.body.empty() ? http::verb::get : http::verb::post;
  auto request = runtime::MakeRequest(verb, sent.path, sent.body);
  request.set(http::field::host, "soak.example");
  request.set("Peridotgate-Request-Id", id);
  request.set("Peridotgate-Deadline-Ms", std::to_string(kPatience.count()));
  for (const Organisation& it : kOrganisations) {
    if (it.name == sent.organisation) {
      request.set(http::field::authorization, "Token " + it.key);
    }
  }
  // What a caller may not set must not be believed.
  request.set("Peridotgate-Tenant", "somebody-else");
  if (sent.kind == Kind::kStream) {
    request.set("Peridotgate-Model", "model");
    request.set("Peridotgate-Token-Counts", "3000,40");
    request.set("Peridotgate-Prompt-Prefix",
                "aa:1500,bb" + std::to_string(id.size() % 3) + ":1000,cc:500");
  }
  return request;
}

Outcome Callers::Judge(const std::string& id,
                       Kind kind,
                       const runtime::HttpResponse& answer) {
  const unsigned status = answer.result_int();
  if (status >= 200 && status < 300) {
    const auto seal = answer.find("Peridotgate-Server-Seal");
    const bool sealed = seal != answer.end() && seal->value() == SealOf(id);
    around_.report.Check("success_is_the_servers", sealed, id);
    const std::string whole =
        kind == Kind::kStream ? WholeStream(id) : BodyOf(id);
    around_.report.Check("answer_is_whole_and_own", answer.body() == whole,
                         id + " " + std::to_string(answer.body().size()) +
                             " of " + std::to_string(whole.size()));
    return Outcome::kServed;
  }
  if (Promises(status)) {
    around_.ledger.OnRefused(id);
    return Outcome::kRefused;
  }
  around_.report.Check("nothing_proper_is_denied", status >= 500,
                       id + " " + std::to_string(status));
  return Outcome::kFailed;
}

asio::awaitable<Outcome> Callers::Send(runtime::HttpClient& client, Kind kind) {
  static std::uint64_t count = 0;
  SentRequest sent;
  sent.kind = kind;
  sent.path = PathOf(kind);
  sent.body = kind == Kind::kSafe ? "" : "body " + std::to_string(count);
  sent.organisation = kOrganisations[++count % kOrganisations.size()].name;
  const std::string id = around_.ledger.Send(sent);
  auto request = MakeRequest(id, sent);
  const auto began = std::chrono::steady_clock::now();
  auto answer = co_await client.Fetch(std::move(request), kMostWait);
  Outcome outcome = Outcome::kLost;
  if (answer) {
    outcome = Judge(id, kind, answer.value());
  }
  // While nothing is disturbed, no request is left without an end.
  const auto now = std::chrono::steady_clock::now();
  if (around_.calm_since() <= began) {
    around_.report.Check("ends_in_time", now - began < kMostWait, id);
  }
  around_.report.AddOutcome(Name(outcome));
  co_return outcome;
}

asio::awaitable<Outcome> Callers::One(std::size_t gateway, Kind kind) {
  runtime::HttpClient client(around_.context, gateways_[gateway]);
  co_return co_await Send(client, kind);
}

asio::awaitable<unsigned> Callers::Probe(std::size_t gateway,
                                         std::string path) {
  runtime::HttpClient client(around_.context, gateways_[gateway]);
  SentRequest sent;
  sent.path = path;
  sent.organisation = kOrganisations[0].name;
  const std::string id = around_.ledger.Send(sent);
  auto request = MakeRequest(id, sent);
  auto answer = co_await client.Fetch(std::move(request), kMostWait);
  co_return answer ? answer.value().result_int() : 0;
}

asio::awaitable<void> Callers::Run(std::uint64_t seed, const bool& ended) {
  std::mt19937_64 random(seed);
  constexpr std::array kKinds = {Kind::kStream, Kind::kUnsafe, Kind::kSafe};
  while (!ended) {
    runtime::HttpClient client(around_.context,
                               gateways_[random() % gateways_.size()]);
    for (int i = 0; i < kRequestsOfConnection && !ended; ++i) {
      const Kind kind = kKinds[random() % kKinds.size()];
      const Outcome outcome = co_await Send(client, kind);
      constexpr std::uint64_t kMostPauseMs = 60;
      const milliseconds pause(random() % kMostPauseMs +
                               (outcome == Outcome::kServed ? 0 : 100));
      asio::steady_timer timer(around_.context, pause);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      if (outcome == Outcome::kLost) {
        break;
      }
    }
  }
}

}  // namespace peridotgate::soak
