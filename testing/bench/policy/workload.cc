#include "bench/policy/workload.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

namespace peridotgate::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kOrganisations = 8;
constexpr double kDemand[kOrganisations] = {0.28, 0.24, 0.15, 0.09,
                                            0.08, 0.07, 0.06, 0.03};
constexpr double kShares[kOrganisations] = {3, 3, 2, 1, 1, 1, 1, 1};
// Prompts have three levels of shared prefix: organisation, sheet and batch.
constexpr std::size_t kSheetsPerOrganisation = 30;
constexpr std::size_t kLiveBatches = 4;  // Per organisation.
constexpr std::size_t kCallsPerBatch = 12;
constexpr std::int64_t kPiece = routing::kTokensPerPiece;
constexpr std::size_t kModelServers = 9;
constexpr double kModelRate = 70;     // Model calls per second, usually.
constexpr double kCrowdedRate = 220;  // Backlogs several organisations.
constexpr double kServiceRate = 20;
constexpr double kLongRate = 1.2;
constexpr std::size_t kLongPieces = 24;
// Short calls per second of the flooding organisation, which sends no long
// work.
constexpr double kFloodRate = 250;
constexpr std::int64_t kFloodTokens = 2048;  // A multiple of the engine chunk.

// Hashes the numbers into a key that is unlikely to collide.
routing::PrefixKey MixKey(std::initializer_list<std::uint64_t> parts) {
  std::uint64_t key = 0x9e3779b97f4a7c15;
  for (std::uint64_t it : parts) {
    key = (key ^ it) * 0xbf58476d1ce4e5b9;
    key ^= key >> 31;
  }
  return key;
}

struct Batch {
  std::uint64_t sheet = 0;
  std::uint64_t number = 0;
  std::size_t used = 0;
};

// Generates the requests of all organisations.
class WorkloadBuilder {
 public:
  WorkloadBuilder(Scenario& scenario,
                  std::uint64_t seed,
                  const Variant& variant)
      : scenario_(scenario),
        variant_(variant),
        random_(seed),
        long_random_(seed + 1),
        greedy_random_(seed + 2),
        live_(kOrganisations) {}

  // Adds a Poisson process whose rate varies over time: `rate(at)` per second.
  template <class Rate>
  void AddShort(Rate rate) {
    double peak = 0;
    for (Duration at{0}; at < scenario_.length; at += milliseconds(100)) {
      peak = std::max(peak, rate(at));
    }
    double at = 0;
    while (true) {
      at += Exponential(random_, peak);
      const Duration when(static_cast<std::int64_t>(at * 1e6));
      if (when >= scenario_.length) {
        return;
      }
      if (Unit(random_) * peak < rate(when)) {
        AddShortCall(when, PickOrganisation(), random_);
      }
    }
  }

  // Adds further calls of the greedy organisation.
  void AddGreedy(Duration from, Duration to, double rate) {
    double at = static_cast<double>(from.count()) / 1e6;
    while (at < static_cast<double>(to.count()) / 1e6) {
      at += Exponential(greedy_random_, rate);
      AddShortCall(Duration(static_cast<std::int64_t>(at * 1e6)),
                   kGreedyOrganisation, greedy_random_);
    }
  }

  // Adds short calls of the greedy organisation with unique prompts, so that
  // none of them hits a cache.
  void AddFlood(Duration from, Duration to) {
    double at = static_cast<double>(from.count()) / 1e6;
    std::uint64_t number = 0;
    while (at < static_cast<double>(to.count()) / 1e6) {
      at += Exponential(greedy_random_, kFloodRate);
      Arrival it = NewArrival(Duration(static_cast<std::int64_t>(at * 1e6)),
                              kGreedyOrganisation, "grading");
      it.chain.push_back(MixKey({8, number++}));
      it.prompt_tokens = kFloodTokens;
      it.output_tokens = it.expected_output_tokens = 8;
      AddArrival(std::move(it));
    }
  }

  void AddServices() {
    double at = 0;
    while (at < static_cast<double>(scenario_.length.count()) / 1e6) {
      at += Exponential(random_, kServiceRate);
      const bool booking = Unit(random_) < 0.3;
      Arrival it =
          NewArrival(Duration(static_cast<std::int64_t>(at * 1e6)),
                     PickOrganisation(), booking ? "booking" : "lookup");
      it.target = Target::kService;
      it.prompt_tokens = 300;
      it.output_tokens = it.expected_output_tokens = 1;
      it.repeatable = !booking;
      AddArrival(std::move(it));
    }
  }

  void AddLong() {
    double at = 0;
    std::uint64_t number = 0;
    while (at < static_cast<double>(scenario_.length.count()) / 1e6) {
      at += Exponential(long_random_, kLongRate);
      Arrival it = NewArrival(Duration(static_cast<std::int64_t>(at * 1e6)),
                              long_random_() % 2, "contract");
      for (std::uint64_t i = 0; i < kLongPieces; ++i) {
        it.chain.push_back(MixKey({7, it.organisation, number, i}));
      }
      ++number;
      it.prompt_tokens = static_cast<std::int64_t>(kLongPieces) * kPiece + 500;
      it.output_tokens = 400;
      it.expected_output_tokens = 300;
      it.wait_limit = seconds(20);
      it.long_work = true;
      AddArrival(std::move(it));
    }
  }

  // Replaces the popular sheets by others from `at` on.
  void ShiftAt(Duration at) { shift_at_ = at; }

  void Finish() {
    std::stable_sort(
        scenario_.arrivals.begin(), scenario_.arrivals.end(),
        [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  }

 private:
  using Random = std::mt19937_64;

  static double Unit(Random& random) {
    return static_cast<double>(random() >> 11) * 0x1.0p-53;
  }
  static double Exponential(Random& random, double rate) {
    return -std::log(1 - Unit(random)) / rate;
  }

  std::size_t PickOrganisation() {
    double left = Unit(random_);
    for (std::size_t i = 0; i < kOrganisations; ++i) {
      left -= kDemand[i];
      if (left < 0) {
        return i;
      }
    }
    return 0;
  }

  Arrival NewArrival(Duration at,
                     std::size_t organisation,
                     std::string kind) const {
    Arrival it;
    it.at = at;
    it.organisation = organisation;
    it.kind = std::move(kind);
    it.wait_limit = seconds(2);
    return it;
  }

  // Picks a sheet with a skewed distribution: low ranks are more frequent.
  std::uint64_t PickSheet(Duration at, Random& random) {
    const double unit = Unit(random);
    auto rank = static_cast<std::uint64_t>(
        std::pow(static_cast<double>(kSheetsPerOrganisation), unit) - 1);
    const bool shifted = shift_at_ > Duration(0) && at >= shift_at_;
    return shifted ? rank + kSheetsPerOrganisation : rank;
  }

  Batch& PickBatch(Duration at, std::size_t organisation, Random& random) {
    auto& live = live_[organisation];
    while (live.size() < kLiveBatches) {
      live.push_back({PickSheet(at, random), next_batch_++, 0});
    }
    Batch& it = live[random() % live.size()];
    if (++it.used >= kCallsPerBatch) {
      it = {PickSheet(at, random), next_batch_++, 0};
    }
    return it;
  }

  void AddShortCall(Duration at, std::size_t organisation, Random& random) {
    const bool sorting = Unit(random) < 0.55;
    Arrival it = NewArrival(at, organisation, sorting ? "sorting" : "quote");
    it.chain.push_back(MixKey({1, organisation, 0}));
    it.chain.push_back(MixKey({1, organisation, 1}));
    if (sorting) {
      const Batch batch = PickBatch(at, organisation, random);
      it.chain.push_back(MixKey({2, organisation, batch.sheet, 0}));
      it.chain.push_back(MixKey({2, organisation, batch.sheet, 1}));
      it.chain.push_back(MixKey({3, organisation, batch.number}));
      it.output_tokens = 8 + static_cast<std::int64_t>(random() % 16);
      it.expected_output_tokens = 16;
      it.wait_limit = seconds(1);
    } else {
      it.output_tokens = 60 + static_cast<std::int64_t>(random() % 180);
      it.expected_output_tokens = 150;
    }
    it.prompt_tokens = static_cast<std::int64_t>(it.chain.size()) * kPiece +
                       200 + static_cast<std::int64_t>(random() % 600);
    AddArrival(std::move(it));
  }

  void AddArrival(Arrival it) {
    if (!variant_.wait_limits) {
      it.wait_limit = seconds(100000);
    }
    if (it.long_work ? variant_.long_work : variant_.short_work) {
      scenario_.arrivals.push_back(std::move(it));
    }
  }

  Scenario& scenario_;
  Variant variant_;
  Random random_;
  Random long_random_;
  Random greedy_random_;
  std::vector<std::vector<Batch>> live_;
  std::uint64_t next_batch_ = 1;
  Duration shift_at_{0};
};

void AddStragglers(Scenario& scenario, std::uint64_t seed) {
  std::mt19937_64 random(seed + 3);
  for (Duration at = seconds(5); at < scenario.length; at += seconds(6)) {
    std::vector<std::size_t> servers(kModelServers);
    for (std::size_t i = 0; i < kModelServers; ++i) {
      servers[i] = i;
    }
    for (std::size_t i = 0; i < 3; ++i) {
      std::swap(servers[i], servers[i + random() % (kModelServers - i)]);
      const Duration late(static_cast<std::int64_t>(random() % 500000));
      scenario.disturbances.push_back(
          {servers[i], at + late, at + late + milliseconds(1500), 5, false});
    }
  }
}

}  // namespace

const std::vector<std::string>& ScenarioNames() {
  static const std::vector<std::string> names = {
      "steady",           "hot-prefix-shift", "crest",
      "long-among-short", "stragglers",       "greedy-organisation",
      "retry-storm",      "engine-crash",     "long-under-flood"};
  return names;
}

Scenario MakeScenario(std::string_view name,
                      std::uint64_t seed,
                      const Variant& variant) {
  Scenario it;
  it.name = name;
  it.organisations = {"brazos", "tapetes", "lisbon", "faro",
                      "braga",  "evora",   "viseu",  "beja"};
  it.shares.assign(std::begin(kShares), std::end(kShares));
  it.length = seconds(120);
  if (name == "crest") {
    it.length = seconds(60);
    it.crest_from = seconds(25);
    it.crest_to = seconds(40);
  }
  WorkloadBuilder builder(it, seed, variant);
  if (name == "hot-prefix-shift") {
    builder.ShiftAt(seconds(60));
  }
  const bool crest = name == "crest";
  const bool storm = name == "retry-storm";
  builder.AddShort([&](Duration at) {
    if (crest) {
      // Ramps to 10 times the base rate within two seconds, and back.
      const double up = static_cast<double>((at - it.crest_from).count()) / 2e6;
      const double down = static_cast<double>((it.crest_to - at).count()) / 2e6;
      return 30 * (1 + 9 * std::clamp(std::min(up, down), 0.0, 1.0));
    }
    if (storm) {
      return at > seconds(30) && at < seconds(60) ? kModelRate * 3 : kModelRate;
    }
    if (variant.crowded) {
      return at > seconds(30) && at < seconds(90) ? kCrowdedRate : kModelRate;
    }
    return kModelRate;
  });
  builder.AddServices();
  if (name == "long-among-short" || name == "long-under-flood") {
    builder.AddLong();
  }
  if (name == "long-under-flood" && variant.short_work) {
    it.flood_from = seconds(30);
    it.flood_to = seconds(90);
    builder.AddFlood(it.flood_from, it.flood_to);
  }
  if (name == "greedy-organisation" && variant.greedy) {
    builder.AddGreedy(seconds(30), seconds(90), 150);
  }
  if (name == "stragglers" && variant.stragglers) {
    AddStragglers(it, seed);
  }
  if (name == "engine-crash" || storm) {
    for (std::size_t i = 0; i < (storm ? 3U : 1U); ++i) {
      it.disturbances.push_back(
          {i, seconds(40), seconds(storm ? 50 : 43), 1, true});
    }
  }
  builder.Finish();
  return it;
}

}  // namespace peridotgate::bench
