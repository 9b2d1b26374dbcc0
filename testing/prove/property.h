// A property that must hold under failure, and the context of one run of it.
#ifndef TESTING_PROVE_PROPERTY_H_
#define TESTING_PROVE_PROPERTY_H_

#include <chrono>
#include <functional>
#include <random>
#include <span>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "prove/caller.h"
#include "prove/report.h"
#include "prove/test_fleet.h"

namespace peridotgate::prove {

/** One run: the fleet, the seeded random numbers, the deadline, the report. */
class Run {
 public:
  Run(asio::io_context& context,
      FleetOptions options,
      Report& report,
      std::uint64_t seed,
      std::chrono::seconds length)
      : context_(context),
        fleet_(context, std::move(options)),
        report_(report),
        random_(seed) {
    StartClock(length);
  }

  asio::io_context& context() { return context_; }
  TestFleet& fleet() { return fleet_; }
  Report& report() { return report_; }

  /** Starts the clock of the run; called when the fleet is ready. */
  void StartClock(std::chrono::seconds length) {
    end_ = std::chrono::steady_clock::now() + length;
    latest_end_ = end_ + kMaxExtensions * length;
  }

  /**
   * Whether the time is up and every expected fault has occurred, or the run
   * has been extended as often as allowed.
   */
  bool over() const {
    const auto now = std::chrono::steady_clock::now();
    return now >= end_ && (report_.all_faults_occurred() || now >= latest_end_);
  }

  /** A random number in [min, max] from the seeded generator. */
  std::int64_t Draw(std::int64_t min, std::int64_t max) {
    return std::uniform_int_distribution<std::int64_t>(min, max)(random_);
  }

  /** The callers' address of a random entry. */
  runtime::Endpoint RandomEntry() {
    const auto last = static_cast<std::int64_t>(fleet_.entries().size()) - 1;
    return fleet_.entries()[static_cast<std::size_t>(Draw(0, last))].callers;
  }

  /** A random organisation. */
  Organisation RandomOrganisation() {
    return Draw(0, 1) ? Brazos() : Tapetes();
  }

  asio::awaitable<void> Sleep(std::chrono::milliseconds time);

  /**
   * Runs `callers` instances of `caller` and one of `faults` concurrently;
   * returns when all have ended.
   */
  asio::awaitable<void> RunConcurrently(
      std::size_t callers,
      std::function<asio::awaitable<void>(std::size_t)> caller,
      std::function<asio::awaitable<void>()> faults);

 private:
  // How many times its length a run may be extended by, while an expected fault
  // has not occurred.
  static constexpr int kMaxExtensions = 2;

  asio::io_context& context_;
  TestFleet fleet_;
  Report& report_;
  std::mt19937_64 random_;
  std::chrono::steady_clock::time_point end_;
  std::chrono::steady_clock::time_point latest_end_;
};

/** An entry of the property table. */
struct Property {
  std::string_view name;
  /** Adjusts the fleet options; may be null. */
  void (*configure)(FleetOptions&);
  asio::awaitable<void> (*run)(Run&);
};

/** Every property, in the order in which they run. */
std::span<const Property> AllProperties();

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_PROPERTY_H_
