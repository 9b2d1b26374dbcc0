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

constexpr milliseconds kDeadline{3000};
// A request without a response for this long counts as hanging.
constexpr milliseconds kResponseTimeout{8000};
// After this many requests a caller connects to another gateway.
constexpr int kRequestsPerConnection = 40;

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

bool MeansNotExecuted(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string ExpectedStream(const std::string& id) {
  std::string text;
  for (int i = 1; i <= EventCount(id); ++i) {
    text += EventText(id, i);
  }
  return text;
}

std::string_view OutcomeName(Outcome outcome) {
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

Callers::Callers(SoakEnvironment& environment,
                 std::vector<runtime::Endpoint> gateways)
    : environment_(environment), gateways_(std::move(gateways)) {}

runtime::HttpRequest Callers::MakeRequest(const std::string& id,
                                          const SentRequest& sent) const {
  const auto verb = sent.body.empty() ? http::verb::get : http::verb::post;
  auto request = runtime::MakeRequest(verb, sent.path, sent.body);
  request.set(http::field::host, "soak.example");
  request.set("Peridotgate-Request-Id", id);
  request.set("Peridotgate-Deadline-Ms", std::to_string(kDeadline.count()));
  for (const Organisation& it : kOrganisations) {
    if (it.name == sent.organisation) {
      request.set(http::field::authorization, "Token " + it.key);
    }
  }
  // The gateway must ignore a tenant name that the caller sends.
  request.set("Peridotgate-Tenant", "somebody-else");
  if (sent.kind == Kind::kStream) {
    request.set("Peridotgate-Model", "model");
    request.set("Peridotgate-Token-Counts", "3000,40");
    request.set("Peridotgate-Prompt-Prefix",
                "aa:1500,bb" + std::to_string(id.size() % 3) + ":1000,cc:500");
  }
  return request;
}

Outcome Callers::CheckResponse(const std::string& id,
                               Kind kind,
                               const runtime::HttpResponse& response) {
  const unsigned status = response.result_int();
  if (status >= 200 && status < 300) {
    const auto seal = response.find("Peridotgate-Server-Seal");
    const bool sealed =
        seal != response.end() && seal->value() == ServerSeal(id);
    environment_.report.Check("success_is_the_servers", sealed, id);
    const std::string expected =
        kind == Kind::kStream ? ExpectedStream(id) : ExpectedBody(id);
    environment_.report.Check(
        "answer_is_whole_and_own", response.body() == expected,
        id + " " + std::to_string(response.body().size()) + " of " +
            std::to_string(expected.size()));
    return Outcome::kServed;
  }
  if (MeansNotExecuted(status)) {
    environment_.ledger.OnRefused(id);
    return Outcome::kRefused;
  }
  environment_.report.Check("nothing_proper_is_denied", status >= 500,
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
  const std::string id = environment_.ledger.Send(sent);
  auto request = MakeRequest(id, sent);
  const auto began = std::chrono::steady_clock::now();
  auto response = co_await client.Fetch(std::move(request), kResponseTimeout);
  Outcome outcome = Outcome::kLost;
  if (response) {
    outcome = CheckResponse(id, kind, response.value());
  }
  // Without active faults every request must end in time.
  const auto now = std::chrono::steady_clock::now();
  if (environment_.fault_free_since() <= began) {
    environment_.report.Check("ends_in_time", now - began < kResponseTimeout,
                              id);
  }
  environment_.report.AddOutcome(OutcomeName(outcome));
  co_return outcome;
}

asio::awaitable<Outcome> Callers::SendOne(std::size_t gateway, Kind kind) {
  runtime::HttpClient client(environment_.context, gateways_[gateway]);
  co_return co_await Send(client, kind);
}

asio::awaitable<unsigned> Callers::Probe(std::size_t gateway,
                                         std::string path) {
  runtime::HttpClient client(environment_.context, gateways_[gateway]);
  SentRequest sent;
  sent.path = path;
  sent.organisation = kOrganisations[0].name;
  const std::string id = environment_.ledger.Send(sent);
  auto request = MakeRequest(id, sent);
  auto response = co_await client.Fetch(std::move(request), kResponseTimeout);
  co_return response ? response.value().result_int() : 0;
}

asio::awaitable<void> Callers::Run(std::uint64_t seed, const bool& ended) {
  std::mt19937_64 random(seed);
  constexpr std::array kKinds = {Kind::kStream, Kind::kUnsafe, Kind::kSafe};
  while (!ended) {
    runtime::HttpClient client(environment_.context,
                               gateways_[random() % gateways_.size()]);
    for (int i = 0; i < kRequestsPerConnection && !ended; ++i) {
      const Kind kind = kKinds[random() % kKinds.size()];
      const Outcome outcome = co_await Send(client, kind);
      constexpr std::uint64_t kMaxPauseMs = 60;
      const milliseconds pause(random() % kMaxPauseMs +
                               (outcome == Outcome::kServed ? 0 : 100));
      asio::steady_timer timer(environment_.context, pause);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      if (outcome == Outcome::kLost) {
        break;
      }
    }
  }
}

}  // namespace peridotgate::soak
