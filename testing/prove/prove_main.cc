// Runs properties against real processes under seeded random faults.
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "prove/property.h"

namespace peridotgate::prove {
namespace {

constexpr std::uint16_t kPortsPerProperty = 200;
constexpr std::uint16_t kPropertiesPerPortRange = 10;

struct Options {
  std::string build;
  std::string rules;
  std::string answers;
  std::uint16_t port = 23000;
  std::uint64_t seed = 1;
  std::int64_t seconds = 10;
  std::vector<std::string> properties;
};

asio::awaitable<void> RunProperty(const Property& property,
                                  Run& run,
                                  std::chrono::seconds length) {
  const bool ready = co_await run.fleet().WaitUntilReady();
  run.report().Check(
      "fleet_ready", ready,
      "rules not applied, process exited or entry not ready; see the logs");
  if (ready) {
    run.StartClock(length);
    co_await property.run(run);
  }
  run.context().stop();
}

enum class Verdict { kPassed, kFailed, kInterrupted };

// Runs one property in its own fleet and prints the result line.
Verdict RunInFleet(const Property& property,
                   std::size_t index,
                   const Options& options,
                   const std::string& work) {
  FleetOptions fleet;
  fleet.build = options.build;
  fleet.rules = options.rules;
  fleet.answers = options.answers;
  fleet.seed = options.seed;
  fleet.work = work + "/" + std::string(property.name);
  const auto offset = static_cast<std::uint16_t>(
      kPortsPerProperty * (index % kPropertiesPerPortRange));
  fleet.base_port = static_cast<std::uint16_t>(options.port + offset);
  std::filesystem::create_directories(fleet.work);
  if (property.configure != nullptr) {
    property.configure(fleet);
  }
  Report report{std::string(property.name)};
  const std::chrono::seconds length(options.seconds);
  asio::io_context context(1);
  bool interrupted = false;
  {
    Run run(context, std::move(fleet), report, options.seed, length);
    // Leaving this scope on a signal ends the processes that the run started.
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code ec, int /*number*/) {
      if (!ec) {
        interrupted = true;
        report.Check("not_interrupted", false);
        context.stop();
      }
    });
    asio::co_spawn(context, RunProperty(property, run, length), asio::detached);
    context.run();
  }
  std::printf("%s\n", report.ToJson(options.seed).c_str());
  std::fflush(stdout);
  if (interrupted) {
    return Verdict::kInterrupted;
  }
  return report.passed() ? Verdict::kPassed : Verdict::kFailed;
}

bool IsSelected(const Options& options, std::string_view name) {
  return options.properties.empty() ||
         std::find(options.properties.begin(), options.properties.end(),
                   name) != options.properties.end();
}

int RunAll(const Options& options) {
  std::string work_dir =
      (std::filesystem::temp_directory_path() / "prove-XXXXXX").string();
  if (mkdtemp(work_dir.data()) == nullptr) {
    return 1;
  }
  bool all_passed = true;
  bool interrupted = false;
  std::size_t selected = 0;
  const auto properties = AllProperties();
  for (std::size_t i = 0; i < properties.size() && !interrupted; ++i) {
    if (IsSelected(options, properties[i].name)) {
      ++selected;
      const Verdict verdict = RunInFleet(properties[i], i, options, work_dir);
      interrupted = verdict == Verdict::kInterrupted;
      all_passed = verdict == Verdict::kPassed && all_passed;
    }
  }
  if (!interrupted && !options.properties.empty() &&
      selected != options.properties.size()) {
    std::fprintf(stderr, "an unknown or repeated property name was given\n");
    all_passed = false;
  }
  if (all_passed) {
    std::filesystem::remove_all(work_dir);
  } else {
    std::fprintf(stderr, "logs: %s\n", work_dir.c_str());
  }
  return all_passed ? 0 : 1;
}

}  // namespace
}  // namespace peridotgate::prove

int main(int argc, char** argv) {
  peridotgate::prove::Options options;
  CLI::App app("prove: properties under failure");
  app.add_option("--build", options.build)->required();
  app.add_option("--rules", options.rules)->required();
  app.add_option("--answers", options.answers)->required();
  app.add_option("--port", options.port);
  app.add_option("--seed", options.seed);
  app.add_option("--seconds", options.seconds, "length of each property");
  app.add_option("properties", options.properties);
  CLI11_PARSE(app, argc, argv);
  return peridotgate::prove::RunAll(options);
}
