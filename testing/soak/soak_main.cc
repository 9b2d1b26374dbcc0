// Soak test: runs real gateway processes under faults drawn from a seed and
// checks the guarantees in the platform's documentation from what callers and
// backend servers observe.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

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
constexpr milliseconds kFaultPhase{8000};
// Time after the last fault until all gateways are connected again.
constexpr milliseconds kSettleTime{3000};
constexpr milliseconds kRulesApplyTime{2000};
constexpr milliseconds kWeightsLoadLimit{10000};
constexpr int kFaultFreeRequests = 20;
constexpr double kMinServedShare = 0.9;

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
        callers_(fleet_.environment(), fleet_.caller_endpoints()) {}

  asio::awaitable<void> Run() {
    co_await Sleep(kSettleTime);
    for (std::size_t i = 0; i < kCallers; ++i) {
      ++running_callers_;
      asio::co_spawn(context_, RunCaller(options_.seed * kCallers + i),
                     asio::detached);
    }
    const auto end = std::chrono::steady_clock::now() + options_.min_run_time;
    do {
      co_await faults_.InjectFaults(kFaultPhase);
      co_await Sleep(kSettleTime);
      co_await CheckWithoutFaults();
    } while (std::chrono::steady_clock::now() < end);
    stop_callers_ = true;
    while (running_callers_ > 0) {
      co_await Sleep(milliseconds(50));
    }
    context_.stop();
  }

 private:
  asio::awaitable<void> Sleep(milliseconds time) {
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  asio::awaitable<void> RunCaller(std::uint64_t seed) {
    co_await callers_.Run(seed, stop_callers_);
    --running_callers_;
  }

  // Checks what must hold once all gateways are connected and no fault is
  // active.
  asio::awaitable<void> CheckWithoutFaults() {
    for (GatewayProcess& it : fleet_.gateways()) {
      report_.Check("runs_on", !it.child.Ended(), it.settings_path);
    }
    const std::int64_t previous_version = rules_version_++;
    fleet_.PublishRules(rules_version_);
    co_await Sleep(kRulesApplyTime);
    for (std::size_t i = 0; i < options_.gateways; ++i) {
      const std::string detail = "gateway " + std::to_string(i);
      std::string path = "/probe-" + std::to_string(rules_version_) + "/x";
      unsigned status = co_await callers_.Probe(i, std::move(path));
      report_.Check("rules_in_force", status == 200,
                    detail + " " + std::to_string(status));
      path = "/probe-" + std::to_string(previous_version) + "/x";
      status = co_await callers_.Probe(i, std::move(path));
      report_.Check("rules_do_not_go_back", status == 404,
                    detail + " " + std::to_string(status));
    }
    co_await CheckServed();
    co_await CheckWeights();
    co_await CheckLimit();
  }

  asio::awaitable<void> CheckServed() {
    int served = 0;
    for (int i = 0; i < kFaultFreeRequests; ++i) {
      const auto kind = static_cast<Kind>(i % 3);
      const Outcome outcome = co_await callers_.SendOne(
          static_cast<std::size_t>(i) % options_.gateways, kind);
      served += outcome == Outcome::kServed ? 1 : 0;
    }
    report_.Check(
        "serves_when_calm", served >= kMinServedShare * kFaultFreeRequests,
        std::to_string(served) + " of " + std::to_string(kFaultFreeRequests));
  }

  asio::awaitable<void> CheckWeights() {
    const auto limit = std::chrono::steady_clock::now() + kWeightsLoadLimit;
    while (!AllHavePublishedWeights() &&
           std::chrono::steady_clock::now() < limit) {
      co_await Sleep(milliseconds(50));
    }
    report_.Check("weights_in_place", AllHavePublishedWeights());
  }

  // All gateways together keep to the limit that a server names.
  asio::awaitable<void> CheckLimit() {
    constexpr double kPerS = 2;
    constexpr std::size_t kAllowed = 17;  // 1.5 times the limit in 4 s, and 5.
    constexpr milliseconds kStep{100};
    constexpr std::size_t kWindowSteps = 40;
    constexpr std::size_t kSteps = 60;
    // The last one takes calls, of which there are the most.
    ServerStandIn& server = *fleet_.servers().back();
    server.SetLimit(kPerS);
    co_await Sleep(kSettleTime);
    std::vector<std::size_t> arrivals{server.arrivals()};
    std::size_t most = 0;
    for (std::size_t i = 1; i <= kSteps; ++i) {
      co_await Sleep(kStep);
      arrivals.push_back(server.arrivals());
      const std::size_t first = i - std::min(i, kWindowSteps);
      most = std::max(most, arrivals.back() - arrivals[first]);
    }
    server.SetLimit(0);
    report_.Check("limit_kept", most <= kAllowed, std::to_string(most));
  }

  bool AllHavePublishedWeights() {
    for (const auto& it : fleet_.servers()) {
      if (it->is_engine() &&
          it->weights_version() != fleet_.weights_version()) {
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
  bool stop_callers_ = false;
  std::size_t running_callers_ = 0;
  std::int64_t rules_version_ = 1;
};

int RunSoak(SoakOptions options) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    return 1;
  }
  options.work_dir = pattern;
  prove::Report report("gateway_soak");
  for (const char* it : {"only_what_was_asked_runs", "answer_is_whole_and_own",
                         "rules_in_force", "serves_when_calm", "limit_kept"}) {
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
  std::int64_t seconds = options.min_run_time.count();
  CLI::App app("soak: runs gateways under injected faults");
  app.add_option("--program", options.program, "the peridotgate binary")
      ->required();
  app.add_option("--seed", options.seed);
  app.add_option("--seconds", seconds,
                 "minimum run time; a started fault phase is completed");
  app.add_option("--port", options.first_port,
                 "first port of the range that is used");
  app.add_option("--gateways", options.gateways);
  app.add_option("--engines", options.engines);
  app.add_option("--plain", options.plain_servers);
  CLI11_PARSE(app, argc, argv);
  options.min_run_time = std::chrono::seconds(seconds);
  return peridotgate::soak::RunSoak(options);
}
