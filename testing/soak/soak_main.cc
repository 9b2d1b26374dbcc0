// Runs real gateways under faults drawn from a seed and checks, from what
// callers and backend servers see, what the platform's pages promise.
#include <cstdio>
#include <filesystem>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "soak/callers.h"
#include "soak/soak_faults.h"
#include "soak/soak_fleet.h"

namespace peridotgate::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kCallers = 12;
constexpr milliseconds kStorm{8000};
// From the last fault until all gateways are in touch.
constexpr milliseconds kContact{3000};
constexpr milliseconds kRulesInForce{2000};
constexpr milliseconds kWeightsInPlace{10000};
constexpr int kCalmRequests = 20;
constexpr double kLeastServed = 0.9;

class Soak {
 public:
  Soak(asio::io_context& context,
       prove::Report& report,
       const SoakOptions& options)
      : context_(context),
        report_(report),
        options_(options),
        fleet_(context, report, options),
        faults_(fleet_, options.seed),
        callers_(fleet_.around(), fleet_.callers()) {}

  asio::awaitable<void> Run() {
    co_await Sleep(kContact);
    for (std::size_t i = 0; i < kCallers; ++i) {
      ++open_;
      asio::co_spawn(context_, Caller(options_.seed * kCallers + i),
                     asio::detached);
    }
    const auto end = std::chrono::steady_clock::now() + options_.length;
    do {
      co_await faults_.Storm(kStorm);
      co_await Sleep(kContact);
      co_await CheckCalm();
    } while (std::chrono::steady_clock::now() < end);
    ended_ = true;
    while (open_ > 0) {
      co_await Sleep(milliseconds(50));
    }
    context_.stop();
  }

 private:
  asio::awaitable<void> Sleep(milliseconds time) {
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  asio::awaitable<void> Caller(std::uint64_t seed) {
    co_await callers_.Run(seed, ended_);
    --open_;
  }

  // What holds for gateways in touch.
  asio::awaitable<void> CheckCalm() {
    for (GatewayProcess& it : fleet_.gateways()) {
      report_.Check("runs_on", !it.child.Ended(), it.settings);
    }
    const std::int64_t before = rules_++;
    fleet_.NameRules(rules_);
    co_await Sleep(kRulesInForce);
    for (std::size_t i = 0; i < options_.gateways; ++i) {
      const std::string detail = "gateway " + std::to_string(i);
      std::string path = "/probe-" + std::to_string(rules_) + "/x";
      unsigned status = co_await callers_.Probe(i, std::move(path));
      report_.Check("rules_in_force", status == 200,
                    detail + " " + std::to_string(status));
      path = "/probe-" + std::to_string(before) + "/x";
      status = co_await callers_.Probe(i, std::move(path));
      report_.Check("rules_do_not_go_back", status == 404,
                    detail + " " + std::to_string(status));
    }
    co_await CheckServed();
    co_await CheckWeights();
  }

  asio::awaitable<void> CheckServed() {
    int served = 0;
    for (int i = 0; i < kCalmRequests; ++i) {
      const auto kind = static_cast<Kind>(i % 3);
      const Outcome outcome = co_await callers_.One(
          static_cast<std::size_t>(i) % options_.gateways, kind);
      served += outcome == Outcome::kServed ? 1 : 0;
    }
    report_.Check(
        "serves_when_calm", served >= kLeastServed * kCalmRequests,
        std::to_string(served) + " of " + std::to_string(kCalmRequests));
  }

  asio::awaitable<void> CheckWeights() {
    const auto limit = std::chrono::steady_clock::now() + kWeightsInPlace;
    while (!AllHaveWeights() && std::chrono::steady_clock::now() < limit) {
      co_await Sleep(milliseconds(50));
    }
    report_.Check("weights_in_place", AllHaveWeights());
  }

  bool AllHaveWeights() {
    for (const auto& it : fleet_.servers()) {
      if (it->is_engine() && it->weights() != fleet_.weights()) {
        return false;
      }
    }
    return true;
  }

  asio::io_context& context_;
  prove::Report& report_;
  const SoakOptions& options_;
  SoakFleet fleet_;
  SoakFaults faults_;
  Callers callers_;
  bool ended_ = false;
  std::size_t open_ = 0;
  std::int64_t rules_ = 1;
};

int RunSoak(SoakOptions options) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    return 1;
  }
  options.work = pattern;
  prove::Report report("gateway_soak");
  for (const char* it : {"only_what_was_asked_runs", "answer_is_whole_and_own",
                         "rules_in_force", "serves_when_calm"}) {
    report.Expect(std::string_view(it));
  }
  {
    asio::io_context context(1);
    Soak soak(context, report, options);
    asio::co_spawn(context, soak.Run(), asio::detached);
    context.run();
  }
  std::printf("%s\n", report.ToJson(options.seed).c_str());
  if (report.passed()) {
    std::filesystem::remove_all(pattern);
    return 0;
  }
  std::fprintf(stderr, "logs: %s\n", pattern.c_str());
  return 1;
}

}  // namespace
}  // namespace peridotgate::soak

int main(int argc, char** argv) {
  peridotgate::soak::SoakOptions options;
  std::int64_t seconds = options.length.count();
  CLI::App app("soak: gateways under faults");
  app.add_option("--program", options.program, "the peridotgate binary")
      ->required();
  app.add_option("--seed", options.seed);
  app.add_option("--seconds", seconds, "length of the storms");
  app.add_option("--port", options.port, "first of the ports used");
  app.add_option("--gateways", options.gateways);
  app.add_option("--engines", options.engines);
  app.add_option("--plain", options.plain);
  CLI11_PARSE(app, argc, argv);
  options.length = std::chrono::seconds(seconds);
  return peridotgate::soak::RunSoak(options);
}
