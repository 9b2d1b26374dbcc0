// Non-repeatable bookings while agents, entries, links and the platform fail.
#include "prove/bookings.h"
#include "prove/fault_injector.h"
#include "prove/properties/properties.h"

namespace peridotgate::prove {
namespace {

constexpr std::size_t kCallers = 12;

}  // namespace

asio::awaitable<void> AtMostOnce(Run& run) {
  for (const char* it :
       {"runs_at_most_once", "not_run_is_true", "answer_is_its_own",
        "retry_gets_the_first_answer", "other_body_is_refused", "no_call_hangs",
        "large_answer_is_kept", "large_answer_is_read_back"}) {
    run.report().Expect(it);
  }
  BookingWorkload work(run);
  FaultInjector injector(
      run,
      {Fault::kAgentKilled, Fault::kEntryKilled, Fault::kLinkCut,
       Fault::kPlatformDown, Fault::kPlatformSlow, Fault::kAnswerLost,
       Fault::kFramesDelayed, Fault::kFramesDuplicated, Fault::kFramesCrossed,
       Fault::kLinkHalfOpen},
      FaultInjector::BackendKind::kServices);
  injector.EnablePairs();
  co_await run.RunConcurrently(
      kCallers, [&](std::size_t i) { return work.Caller(i); },
      [&] { return injector.InjectUntilOver(); });
  co_await work.CheckAll();
}

}  // namespace peridotgate::prove
