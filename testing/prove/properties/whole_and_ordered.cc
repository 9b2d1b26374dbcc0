// Streamed answers while agents, engines, entries and links fail.
#include "prove/fault_injector.h"
#include "prove/properties/properties.h"
#include "prove/streams.h"

namespace peridotgate::prove {
namespace {

constexpr std::size_t kCallers = 10;
constexpr StreamBehaviour kBehaviour{6, 6, 40, 200};

}  // namespace

asio::awaitable<void> WholeAndOrdered(Run& run) {
  for (const char* it :
       {"events_in_order", "done_means_whole", "nothing_after_the_end",
        "taken_up_again", "no_call_hangs"}) {
    run.report().Expect(it);
  }
  run.report().Expect(Fault::kCallerGone);
  run.report().Expect(Fault::kCallerSlow);
  StreamWorkload work(run, kBehaviour);
  FaultInjector injector(
      run,
      {Fault::kAgentKilled, Fault::kEntryKilled, Fault::kEngineKilled,
       Fault::kEnginePaused, Fault::kLinkCut, Fault::kFramesDelayed,
       Fault::kFramesDuplicated, Fault::kFramesCrossed, Fault::kLinkHalfOpen},
      FaultInjector::BackendKind::kEngines);
  injector.EnablePairs();
  co_await run.RunConcurrently(
      kCallers, [&](std::size_t i) { return work.Caller(i); },
      [&] { return injector.InjectUntilOver(); });
}

}  // namespace peridotgate::prove
