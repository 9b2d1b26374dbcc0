// Counts calls for the report on error budget burn (service-level objectives):
// per organisation and kind of work, and per backend server, over sliding
// windows. Memory use and report size are bounded, independent of load and
// configuration.
#ifndef ENTRY_BURN_H_
#define ENTRY_BURN_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "coordination/clock.h"
#include "entry/messages.h"
#include "runtime/metrics.h"

namespace peridotgate::entry {

/** Number of buckets of the latency histograms. */
inline constexpr std::size_t kBurnBucketCount = 14;

/** The upper bound of each bucket but the last, in milliseconds. */
inline constexpr std::array<double, kBurnBucketCount - 1> kBurnBounds = {
    5, 10, 20, 40, 66, 100, 200, 400, 800, 1500, 3000, 6000, 15000};

using BurnCells = std::array<std::int32_t, kBurnBucketCount>;

/** Number of calls without an answer for each wire::Reason, by its value. */
using BurnReasons = std::array<std::int32_t, wire::Reason::kLimit + 1>;

/** Counts over one period. */
struct BurnCounts {
  std::int64_t calls = 0;
  std::int64_t bad = 0;  // Missed the objective: refused, failed or late.
  std::int64_t refused = 0;
  std::int64_t failed = 0;
  std::int64_t late_first = 0;
  std::int64_t late_gap = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t prefill_tokens = 0;
  std::int64_t output_tokens = 0;
  std::int64_t cost = 0;  // Work done: tokens computed, or calls.
  std::int64_t lost = 0;  // Attempts that a server refused or cut off.
  BurnCells first_ms{};
  BurnCells gap_ms{};
  BurnReasons reasons{};

  /** Adds the counts of another period or entry. */
  void Add(const BurnCounts& other);
};

/** A member of BurnCounts and its name in JSON. */
struct BurnField {
  std::string_view name;
  std::int64_t BurnCounts::*member;
};

inline constexpr std::array<BurnField, 11> kBurnFields = {{
    {"calls", &BurnCounts::calls},
    {"bad", &BurnCounts::bad},
    {"refused", &BurnCounts::refused},
    {"failed", &BurnCounts::failed},
    {"late_first", &BurnCounts::late_first},
    {"late_gap", &BurnCounts::late_gap},
    {"cached_tokens", &BurnCounts::cached_tokens},
    {"prefill_tokens", &BurnCounts::prefill_tokens},
    {"output_tokens", &BurnCounts::output_tokens},
    {"cost", &BurnCounts::cost},
    {"lost", &BurnCounts::lost},
}};

/** A ring of `periods` periods of equal length. */
struct BurnTier {
  std::chrono::seconds period;
  std::int64_t periods;
};

/** Fine periods for short windows, coarse periods for long windows. */
inline constexpr std::array<BurnTier, 3> kBurnTiers = {{
    {std::chrono::minutes(1), 5},
    {std::chrono::minutes(5), 12},
    {std::chrono::minutes(30), 12},
}};

/** A window for burn rates, and the tier whose periods are summed for it. */
struct BurnWindow {
  std::string_view name;
  std::chrono::seconds length;
  std::size_t tier;  // Index into kBurnTiers.
};

inline constexpr std::array<BurnWindow, 4> kBurnWindows = {{
    {"5m", std::chrono::minutes(5), 0},
    {"30m", std::chrono::minutes(30), 1},
    {"1h", std::chrono::hours(1), 1},
    {"6h", std::chrono::hours(6), 2},
}};

/** The window of a report if none is requested. */
inline constexpr BurnWindow kDefaultBurnWindow = kBurnWindows[2];

/** The window named `name`, or null. */
const BurnWindow* FindBurnWindow(std::string_view name);

/** Maximum number of kinds of work with a series of their own, per entry. */
inline constexpr std::size_t kMostBurnKinds = 4096;
/** Maximum number of backend servers with a series of their own, per entry. */
inline constexpr std::size_t kMostBurnServers = 1024;

/** The name of the series that aggregates everything beyond these limits. */
inline constexpr std::string_view kOtherSeries = "(other)";

/**
 * Counts calls by observing their events. Thread-safe.
 */
class BurnLog {
 public:
  BurnLog(const coordination::Clock& clock, runtime::Metrics& metrics);
  ~BurnLog();

  /** Starts counting a call routed under the rules of `organisation`. */
  void Begin(const RouteCall& call,
             const wire::OrganisationRules& organisation);
  /** Observes an event of a call. */
  void OnEvent(const CallEvent& event);
  /** Counts an attempt that the server behind `agent` refused or cut off. */
  void OnAttemptLost(const runtime::Endpoint& agent);
  /** Stops counting a call, whether or not it had a CallEnd event. */
  void End(const Id128& request);

  /**
   * The sums over `window` as JSON, with the calls and bad calls of every
   * window and, for plotting, of each period of `window`.
   */
  std::string ToJson(std::string_view instance,
                     std::int64_t rules_version,
                     const BurnWindow& window = kDefaultBurnWindow) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/** Counts a call from construction to the end of the scope. */
class BurnScope {
 public:
  BurnScope(BurnLog& log,
            const RouteCall& call,
            const wire::OrganisationRules& organisation)
      : log_(log), request_(call.request_id) {
    log_.Begin(call, organisation);
  }
  ~BurnScope() { log_.End(request_); }
  BurnScope(const BurnScope&) = delete;
  BurnScope& operator=(const BurnScope&) = delete;

 private:
  BurnLog& log_;
  Id128 request_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_BURN_H_
