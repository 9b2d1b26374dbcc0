// Callers that lose their connection resume the stream through any entry, even
// when the agent that served it has died.
#include "prove/fault_injector.h"
#include "prove/properties/properties.h"
#include "prove/streams.h"

namespace peridotgate::prove {
namespace {

constexpr std::size_t kCallers = 10;
constexpr StreamBehaviour kBehaviour{1, 0, 60, 200};

}  // namespace

asio::awaitable<void> ResumeElsewhere(Run& run) {
  run.report().Expect("taken_up_again");
  run.report().Expect("events_in_order");
  run.report().Expect("done_means_whole");
  run.report().Expect("no_call_hangs");
  run.report().Expect(Fault::kCallerGone);
  StreamWorkload work(run, kBehaviour);
  FaultInjector injector(
      run,
      {Fault::kAgentKilled, Fault::kEngineKilled, Fault::kFramesDelayed,
       Fault::kFramesDuplicated, Fault::kFramesCrossed, Fault::kLinkHalfOpen},
      FaultInjector::BackendKind::kEngines);
  co_await run.RunConcurrently(
      kCallers, [&](std::size_t i) { return work.Caller(i); },
      [&] { return injector.InjectUntilOver(); });
}

}  // namespace peridotgate::prove
