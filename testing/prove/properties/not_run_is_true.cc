// Bookings that are refused because agents leave or because servers or the
// platform are unavailable.
#include "prove/bookings.h"
#include "prove/fault_injector.h"
#include "prove/properties/properties.h"

namespace peridotgate::prove {
namespace {

constexpr std::size_t kCallers = 10;

}  // namespace

asio::awaitable<void> NotRunIsTrue(Run& run) {
  run.report().Expect("not_run_is_true");
  run.report().Expect("runs_at_most_once");
  BookingWorkload work(run);
  FaultInjector injector(run,
                         {Fault::kPlatformDown, Fault::kAgentKilled,
                          Fault::kLinkCut, Fault::kAgentDrained},
                         FaultInjector::BackendKind::kServices);
  co_await run.RunConcurrently(
      kCallers, [&](std::size_t i) { return work.Caller(i); },
      [&] { return injector.InjectUntilOver(); });
  co_await work.CheckAll();
}

}  // namespace peridotgate::prove
