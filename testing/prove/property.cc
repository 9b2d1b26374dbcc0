#include "prove/property.h"

#include <array>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "prove/properties/properties.h"

namespace peridotgate::prove {
namespace {

constexpr std::chrono::milliseconds kJoinPoll{20};

// Runs `work` and then decrements the number of running coroutines.
asio::awaitable<void> CountWhenDone(asio::awaitable<void> work,
                                    std::shared_ptr<std::size_t> running) {
  co_await std::move(work);
  --*running;
}

void ThreeServices(FleetOptions& options) {
  options.services = 3;
}

void ThreeEngines(FleetOptions& options) {
  options.engines = 3;
}

void SixEnginesThatAPartCrashes(FleetOptions& options) {
  options.engines = 6;
  options.crash_on = kDeadlyPartOfPrompt;
}

void ThreeSlowEngines(FleetOptions& options) {
  options.engines = 3;
  options.token_us = 20000;
}

void ThreeOfEach(FleetOptions& options) {
  options.engines = 3;
  options.services = 3;
}

void OneService(FleetOptions& options) {
  options.services = 1;
}

void OneEngine(FleetOptions& options) {
  options.engines = 1;
}

constexpr std::array kProperties = {
    Property{"at_most_once", &ThreeServices, &AtMostOnce},
    Property{"whole_and_ordered", &ThreeEngines, &WholeAndOrdered},
    Property{"not_run_is_true", &OneService, &NotRunIsTrue},
    Property{"resume_elsewhere", &ThreeEngines, &ResumeElsewhere},
    Property{"graceful_shutdown", &ThreeOfEach, &GracefulShutdown},
    Property{"leaving", &ThreeEngines, &Leaving},
    Property{"listed_leaving", &ThreeEngines, &ListedLeaving},
    Property{"own_answer", &ThreeOfEach, &OwnAnswer},
    Property{"second_attempts", &ThreeEngines, &SecondAttemptsAnswer},
    Property{"deadly_part", &SixEnginesThatAPartCrashes, &DeadlyPart},
    Property{"cache_scope", &OneEngine, &CacheScope},
    Property{"configuration_everywhere", nullptr, &ConfigurationEverywhere},
    Property{"configuration_never_reverts", nullptr,
             &ConfigurationNeverReverts},
    Property{"racing_operators", nullptr, &RacingOperators},
    Property{"fenced_orders", &ThreeEngines, &FencedOrders},
    Property{"restart_without_platform", nullptr, &RestartWithoutPlatform},
    Property{"short_behind_long", &OneEngine, &ShortBehindLong},
    Property{"stragglers", &ThreeEngines, &Stragglers},
    Property{"equal_shares", &ThreeSlowEngines, &EqualShares},
    Property{"abandoned_streams", &ThreeSlowEngines, &AbandonedStreams},
};

}  // namespace

asio::awaitable<void> Run::Sleep(std::chrono::milliseconds time) {
  asio::steady_timer timer(context_, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> Run::RunConcurrently(
    std::size_t callers,
    std::function<asio::awaitable<void>(std::size_t)> caller,
    std::function<asio::awaitable<void>()> faults) {
  auto running = std::make_shared<std::size_t>(callers + 1);
  for (std::size_t i = 0; i < callers; ++i) {
    asio::co_spawn(context_, CountWhenDone(caller(i), running), asio::detached);
  }
  asio::co_spawn(context_, CountWhenDone(faults(), running), asio::detached);
  while (*running > 0) {
    co_await Sleep(kJoinPoll);
  }
}

std::span<const Property> AllProperties() {
  return kProperties;
}

}  // namespace peridotgate::prove
