// Two organisations are entitled to half each of three engines. One sends more
// and longer work to all of them; the other's prefixes are cached on two only.
// If shares were enforced per engine, the second would get only a third.
#include <algorithm>
#include <cstdio>
#include <deque>
#include <numeric>
#include <set>
#include <vector>

#include <spdlog/fmt/fmt.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "prove/properties/properties.h"

namespace peridotgate::prove {
namespace {

namespace json = boost::json;

constexpr std::size_t kHeavyCallers = 100;
constexpr std::size_t kPrefixes = 2;
constexpr std::size_t kCallersPerPrefix = 32;
constexpr std::size_t kInitialCallers = 12;  // Fewer than kSlotsPerEngine.
// Keeps an engine busy for four seconds.
constexpr std::int64_t kInitialTokens = 200;
constexpr std::chrono::milliseconds kPrefillTime{300};
constexpr std::size_t kCostProbeCallers = 4;  // Over both prefixes.
constexpr std::int64_t kHeavyTokens = 30;
constexpr std::int64_t kShortTokens = 10;
// Long enough that an engine that holds the prefix is always the faster one.
constexpr std::size_t kPrefixBytes = 32000;
constexpr double kFairShare = 0.5;
constexpr double kMinOfFairShare = 0.95;
// Fraction of all engine time in use; if it is less, the engines were not the
// bottleneck.
constexpr double kMinUtilisation = 0.8;
constexpr double kSlotsPerEngine = 16;
// Fraction of the confined organisation's service on the engine that holds none
// of its prefixes.
constexpr double kMaxOnOtherEngine = 0.1;
constexpr std::size_t kWindowSamples = 10;
constexpr std::size_t kWindows = 10;
constexpr std::chrono::seconds kSampleInterval{1};
constexpr std::chrono::seconds kWarmUpTime{6};
constexpr std::chrono::milliseconds kCallerStartInterval{100};
// Time for the totals to propagate and the weights to adapt.
constexpr std::chrono::seconds kSettleTime{20};
constexpr std::chrono::milliseconds kRetryDelay{100};

// Cumulative engine time that each organisation has received.
struct ServiceSample {
  std::chrono::steady_clock::time_point time;
  double heavy = 0;
  std::vector<double> confined;  // By engine.
};

class ShareWorkload {
 public:
  explicit ShareWorkload(Run& run) : run_(run) {}

  asio::awaitable<void> Heavy() {
    while (!stopping_) {
      std::string prompt = fmt::format("greedy {}", ++next_prompt_);
      co_await RunCall(Tapetes(), std::move(prompt), kHeavyTokens);
    }
  }

  asio::awaitable<void> Confined(char prefix) {
    while (!stopping_) {
      co_await RunCall(Brazos(), Prompt(prefix), kShortTokens);
    }
  }

  // The second prefix is sent while the engine that holds the first is kept
  // busy; when all are idle, that engine would be chosen for both. A few calls
  // then let the agents estimate the cost, since refused calls would be retried
  // on other engines. Then the heavy organisation fills all engines, so that
  // none is idle for calls whose prefix it does not hold.
  asio::awaitable<void> Start() {
    co_await TryToPlacePrefix('a');
    for (std::size_t i = 0; i < kInitialCallers; ++i) {
      Spawn(1, [&] { return RunCall(Brazos(), Prompt('a'), kInitialTokens); });
    }
    co_await run_.Sleep(kPrefillTime);
    for (char it = 'b'; it <= 'e' && prefixes_.size() < kPrefixes; ++it) {
      co_await TryToPlacePrefix(it);
    }
    run_.report().Check("prefixes_sit_on_two_engines",
                        prefixes_.size() == kPrefixes);
    co_await StartConfinedCallers(kCostProbeCallers);
    co_await run_.Sleep(kWarmUpTime);
    Spawn(kHeavyCallers, [&] { return Heavy(); });
    co_await run_.Sleep(kWarmUpTime);
    co_await StartConfinedCallers(kPrefixes * kCallersPerPrefix -
                                  kCostProbeCallers);
    co_await run_.Sleep(kSettleTime);
  }

  asio::awaitable<void> Stop() {
    stopping_ = true;
    while (running_ > 0) {
      co_await run_.Sleep(kRetryDelay);
    }
  }

  asio::awaitable<ServiceSample> ReadService() {
    ServiceSample service;
    for (std::size_t i = 0; i < run_.fleet().options().engines; ++i) {
      const std::string text = co_await run_.fleet().Get(
          run_.fleet().backends()[i].server_address, "/service");
      boost::system::error_code ec;
      const json::value value = json::parse(text, ec);
      run_.report().Check("engine_counts", !ec && value.is_object());
      service.heavy += EngineTime(value, Tapetes());
      service.confined.push_back(EngineTime(value, Brazos()));
    }
    service.time = std::chrono::steady_clock::now();
    co_return service;
  }

 private:
  template <class MakeWork>
  void Spawn(std::size_t n, MakeWork make_work) {
    for (std::size_t i = 0; i < n; ++i) {
      ++running_;
      asio::co_spawn(run_.context(), CountWhenDone(make_work()),
                     asio::detached);
    }
  }

  // Keeps the prefix only if an engine without a prefix served it.
  asio::awaitable<void> TryToPlacePrefix(char letter) {
    const ServiceSample before = co_await ReadService();
    co_await RunCall(Brazos(), Prompt(letter), kShortTokens);
    const ServiceSample after = co_await ReadService();
    std::vector<double> service_gained(after.confined);
    for (std::size_t i = 0; i < service_gained.size(); ++i) {
      service_gained[i] -= before.confined[i];
    }
    for (const std::size_t it : holders_) {
      service_gained[it] = 0;
    }
    const auto max_gain =
        std::max_element(service_gained.begin(), service_gained.end());
    if (*max_gain > 0) {
      holders_.insert(
          static_cast<std::size_t>(max_gain - service_gained.begin()));
      prefixes_.push_back(letter);
    }
  }

  // Starts callers, assigned to the prefixes round-robin.
  asio::awaitable<void> StartConfinedCallers(std::size_t callers) {
    for (std::size_t i = 0; i < callers; ++i) {
      Spawn(1, [&] { return Confined(prefixes_[i % prefixes_.size()]); });
      co_await run_.Sleep(kCallerStartInterval);
    }
  }

  asio::awaitable<void> CountWhenDone(asio::awaitable<void> work) {
    co_await std::move(work);
    --running_;
  }

  std::string Prompt(char prefix) {
    std::string prompt(kPrefixBytes, prefix);
    return prompt + std::to_string(++next_prompt_);
  }

  asio::awaitable<void> RunCall(Organisation organisation,
                                std::string prompt,
                                std::int64_t tokens) {
    ChatCall call;
    call.prompt = std::move(prompt);
    call.tokens = tokens;
    const std::string name = organisation.name;
    run_.report().AddRequest();
    const StreamResult result = co_await CallChat(
        run_.context(), run_.RandomEntry(), std::move(organisation), call);
    run_.report().AddOutcome(name + (result.done ? " answered" : " refused"));
    if (!result.done) {
      co_await run_.Sleep(kRetryDelay);
    }
  }

  static double EngineTime(const json::value& service,
                           const Organisation& organisation) {
    const json::object* all = service.if_object();
    const json::value* it =
        all == nullptr ? nullptr : all->if_contains(organisation.name);
    return it == nullptr ? 0 : it->to_number<double>();
  }

  Run& run_;
  std::vector<char> prefixes_;
  std::set<std::size_t> holders_;
  std::uint64_t next_prompt_ = 0;
  std::size_t running_ = 0;
  bool stopping_ = false;
};

std::vector<double> ToSeconds(std::vector<double> micros) {
  for (double& it : micros) {
    it /= 1e6;
  }
  return micros;
}

void CheckWindow(Run& run,
                 const ServiceSample& first,
                 const ServiceSample& last) {
  const double heavy = last.heavy - first.heavy;
  std::vector<double> by_engine;
  for (std::size_t i = 0; i < last.confined.size(); ++i) {
    by_engine.push_back(last.confined[i] - first.confined[i]);
  }
  const double confined =
      std::accumulate(by_engine.begin(), by_engine.end(), 0.0);
  const double min_by_engine =
      *std::min_element(by_engine.begin(), by_engine.end());
  const std::chrono::duration<double, std::micro> time = last.time - first.time;
  const double engines = static_cast<double>(run.fleet().options().engines);
  const double capacity = time.count() * kSlotsPerEngine * engines;
  const double of_fair_share =
      std::min(heavy, confined) / ((heavy + confined) * kFairShare);
  const std::string detail = fmt::format(
      "heavy {:.2f}, confined {:.2f} of {:.2f} s of engine time: {:.3f} of the "
      "fair share; confined by engine {:.2f}",
      heavy / 1e6, confined / 1e6, capacity / 1e6, of_fair_share,
      fmt::join(ToSeconds(by_engine), " "));
  run.report().Check("engines_are_the_bottleneck",
                     heavy + confined >= kMinUtilisation * capacity, detail);
  run.report().Check("one_engine_is_left_to_the_other",
                     min_by_engine <= kMaxOnOtherEngine * confined, detail);
  run.report().Check("receives_what_it_is_owed",
                     of_fair_share >= kMinOfFairShare, detail);
  std::fprintf(stderr, "%s\n", detail.c_str());
}

}  // namespace

asio::awaitable<void> EqualShares(Run& run) {
  run.report().Expect("receives_what_it_is_owed");
  ShareWorkload work(run);
  co_await work.Start();
  std::deque<ServiceSample> samples;
  for (std::size_t i = 0; i < kWindowSamples + kWindows; ++i) {
    samples.push_back(co_await work.ReadService());
    if (samples.size() > kWindowSamples) {
      CheckWindow(run, samples.front(), samples.back());
      samples.pop_front();
    }
    co_await run.Sleep(kSampleInterval);
  }
  co_await work.Stop();
}

}  // namespace peridotgate::prove
