// Each caller receives the answer to its own request while links break and
// paused engines and agents delay the answers.
#include <spdlog/fmt/fmt.h>

#include "prove/fault_injector.h"
#include "prove/properties/properties.h"
#include "prove/streams.h"

namespace peridotgate::prove {
namespace {

constexpr std::size_t kCallers = 12;
constexpr StreamBehaviour kBehaviour{5, 0, 20, 80};

class LookupWorkload {
 public:
  explicit LookupWorkload(Run& run) : run_(run) {}

  asio::awaitable<void> Caller(std::size_t index) {
    while (!run_.over()) {
      const std::string name = fmt::format("route-{}-{}", index, next_++);
      const Organisation organisation = run_.RandomOrganisation();
      run_.report().AddRequest();
      ServiceCall call{organisation.lookup, "/services/desk/" + name, "",
                       "{\"for\":\"" + name + "\"}"};
      const CallResult result = co_await CallService(
          run_.context(), run_.RandomEntry(), organisation, call);
      run_.report().Check("no_call_hangs", !result.timed_out, name);
      if (result.ok()) {
        const bool own =
            result.body.find("/" + name + "\"") != std::string::npos;
        run_.report().Check("lookup_is_its_own", own, name);
      }
    }
  }

 private:
  Run& run_;
  std::uint64_t next_ = 0;
};

}  // namespace

asio::awaitable<void> OwnAnswer(Run& run) {
  run.report().Expect("events_in_order");
  run.report().Expect("lookup_is_its_own");
  run.report().Expect("no_call_hangs");
  StreamWorkload streams(run, kBehaviour);
  LookupWorkload lookups(run);
  FaultInjector engines(
      run,
      {Fault::kLinkCut, Fault::kAgentPaused, Fault::kEnginePaused,
       Fault::kFramesDelayed, Fault::kFramesDuplicated, Fault::kFramesCrossed,
       Fault::kLinkHalfOpen},
      FaultInjector::BackendKind::kEngines);
  FaultInjector services(
      run,
      {Fault::kLinkCut, Fault::kAgentPaused, Fault::kFramesDelayed,
       Fault::kFramesDuplicated, Fault::kFramesCrossed, Fault::kLinkHalfOpen},
      FaultInjector::BackendKind::kServices);
  co_await run.RunConcurrently(
      kCallers,
      [&](std::size_t i) {
        return i % 2 == 0 ? streams.Caller(i) : lookups.Caller(i);
      },
      [&]() -> asio::awaitable<void> {
        while (!run.over()) {
          co_await engines.InjectNext();
          co_await services.InjectNext();
        }
      });
}

}  // namespace peridotgate::prove
