// A slow engine receives less work while it is slow, and its usual share after.
#include <array>

#include <spdlog/fmt/fmt.h>
#include <boost/json.hpp>

#include "prove/properties/properties.h"
#include "prove/streams.h"

namespace peridotgate::prove {
namespace {

namespace json = boost::json;

constexpr std::size_t kCallers = 24;
constexpr StreamBehaviour kBehaviour{0, 0, 20, 60};
constexpr std::int64_t kSlowdown = 8;
constexpr std::chrono::milliseconds kSampleInterval{20};
// Samples in a period, and how many of the first are skipped while the load
// settles.
constexpr int kSamplesPerPeriod = 150;
constexpr int kSettleSamples = 75;
constexpr std::chrono::milliseconds kSetSpeedTimeout{2000};

// Calls in flight, summed over samples.
struct Load {
  std::int64_t slow = 0;
  std::int64_t all = 0;
};

class Straggler {
 public:
  explicit Straggler(Run& run) : run_(run) {}

  // Gives the agents time to measure the speed of their engines.
  asio::awaitable<void> WarmUp() {
    Load ignored;
    co_await SampleLoad(0, ignored);
  }

  // Slows down one engine for a period, then samples a period at normal speed.
  asio::awaitable<void> MeasurePeriods() {
    const std::size_t engines = run_.fleet().options().engines;
    const auto slow = static_cast<std::size_t>(
        run_.Draw(0, static_cast<std::int64_t>(engines) - 1));
    co_await SetSlowdown(slow, kSlowdown);
    run_.report().AddFault(Fault::kEngineSlow);
    co_await SampleLoad(slow, load_while_slow_);
    co_await SetSlowdown(slow, 1);
    co_await SampleLoad(slow, load_afterwards_);
  }

  void CheckLoads() {
    const auto engines =
        static_cast<std::int64_t>(run_.fleet().options().engines);
    // An even share would be 1 / `engines`.
    run_.report().Check(
        "less_than_half_of_its_part_while_slow",
        load_while_slow_.slow * 2 * engines < load_while_slow_.all,
        Describe(load_while_slow_));
    run_.report().Check(
        "more_than_half_of_its_part_afterwards",
        load_afterwards_.slow * 2 * engines > load_afterwards_.all,
        Describe(load_afterwards_));
    run_.report().AddOutcome("in the slow engine", load_while_slow_.slow);
    run_.report().AddOutcome("in all meanwhile", load_while_slow_.all);
    run_.report().AddOutcome("in it afterwards", load_afterwards_.slow);
    run_.report().AddOutcome("in all afterwards", load_afterwards_.all);
  }

 private:
  static std::string Describe(const Load& it) {
    return fmt::format("{} of {} calls", it.slow, it.all);
  }

  asio::awaitable<void> SetSlowdown(std::size_t index, std::int64_t factor) {
    runtime::HttpClient client(run_.context(),
                               run_.fleet().backends()[index].server_address);
    const json::object body{{"slowdown", factor}};
    auto request = runtime::MakeRequest(runtime::http::verb::post, "/speed",
                                        json::serialize(body));
    auto response = co_await client.Fetch(std::move(request), kSetSpeedTimeout);
    run_.report().Check("engine_takes_its_speed", response.has_value());
  }

  asio::awaitable<void> SampleLoad(std::size_t slow, Load& load) {
    for (int i = 0; i < kSamplesPerPeriod; ++i) {
      co_await run_.Sleep(kSampleInterval);
      for (std::size_t j = 0; i >= kSettleSamples && j < EngineCount(); ++j) {
        const std::int64_t n = co_await InFlight(j);
        load.all += n;
        load.slow += j == slow ? n : 0;
      }
    }
  }

  std::size_t EngineCount() { return run_.fleet().options().engines; }

  asio::awaitable<std::int64_t> InFlight(std::size_t index) {
    const std::string text = co_await run_.fleet().Get(
        run_.fleet().backends()[index].server_address, "/speed");
    if (text.empty()) {
      co_return 0;
    }
    const json::value state = json::parse(text);
    co_return state.at("in_flight").to_number<std::int64_t>();
  }

  Run& run_;
  Load load_while_slow_;
  Load load_afterwards_;
};

}  // namespace

asio::awaitable<void> Stragglers(Run& run) {
  run.report().Expect(Fault::kEngineSlow);
  run.report().Expect("done_means_whole");
  StreamWorkload streams(run, kBehaviour);
  Straggler straggler(run);
  co_await run.RunConcurrently(
      kCallers, [&](std::size_t i) { return streams.Caller(i); },
      [&]() -> asio::awaitable<void> {
        co_await straggler.WarmUp();
        while (!run.over()) {
          co_await straggler.MeasurePeriods();
        }
      });
  straggler.CheckLoads();
}

}  // namespace peridotgate::prove
