// A backend server that the platform lists as leaving receives no new work
// after a few seconds, although its agent is not notified, and receives work
// again when it is listed as live.
#include <charconv>

#include <spdlog/fmt/fmt.h>

#include "prove/properties/properties.h"
#include "prove/streams.h"

namespace peridotgate::prove {
namespace {

constexpr std::size_t kCallers = 8;
constexpr StreamBehaviour kBehaviour{0, 0, 2, 10};
constexpr std::string_view kDispatchesMetric =
    "\nperidotgate_agent_dispatches_total ";
constexpr std::chrono::seconds kPropagationTime{5};
constexpr std::chrono::milliseconds kObservationTime{1000};
constexpr std::chrono::milliseconds kPoll{50};
constexpr int kMaxReturnPolls = 300;
constexpr std::size_t kRounds = 2;
constexpr std::chrono::seconds kMaxRunTime{120};

asio::awaitable<std::int64_t> ReadDispatchCount(Run& run,
                                                const Backend& backend) {
  const std::string text =
      co_await run.fleet().Get(backend.agent_operators, "/metrics");
  const std::size_t at = text.find(kDispatchesMetric);
  std::int64_t n = -1;
  if (at != std::string::npos) {
    const char* first = text.data() + at + kDispatchesMetric.size();
    std::from_chars(first, text.data() + text.size(), n);
  }
  co_return n;
}

// Returns whether the server receives new work within a bounded time.
asio::awaitable<bool> ReceivesWork(Run& run, const Backend& backend) {
  const std::int64_t before = co_await ReadDispatchCount(run, backend);
  std::int64_t now = before;
  for (int i = 0; i < kMaxReturnPolls && now <= before; ++i) {
    co_await run.Sleep(kPoll);
    now = co_await ReadDispatchCount(run, backend);
  }
  co_return now > before;
}

asio::awaitable<void> LeaveAndReturn(Run& run, std::size_t index) {
  Backend& backend = run.fleet().backends()[index];
  run.report().Check("works_before", co_await ReceivesWork(run, backend));
  run.report().AddFault(Fault::kMarkedLeaving);
  backend.leaving = true;
  run.fleet().WriteInstances();
  co_await run.Sleep(kPropagationTime);
  const std::int64_t before = co_await ReadDispatchCount(run, backend);
  co_await run.Sleep(kObservationTime);
  const std::int64_t after = co_await ReadDispatchCount(run, backend);
  run.report().Check("no_new_work", before >= 0 && after == before,
                     fmt::format("{} new dispatches", after - before));
  backend.leaving = false;
  run.fleet().WriteInstances();
  run.report().Check("returns_to_work", co_await ReceivesWork(run, backend));
}

}  // namespace

asio::awaitable<void> ListedLeaving(Run& run) {
  run.report().Expect("no_new_work");
  run.report().Expect("returns_to_work");
  run.report().Expect("done_means_whole");
  run.report().Expect(Fault::kMarkedLeaving);
  StreamWorkload work(run, kBehaviour);
  co_await run.RunConcurrently(
      kCallers, [&](std::size_t i) { return work.Caller(i); },
      [&]() -> asio::awaitable<void> {
        // Keeps the callers running until the last server has returned.
        run.StartClock(kMaxRunTime);
        for (std::size_t i = 0; i < kRounds; ++i) {
          co_await LeaveAndReturn(run, i);
        }
        run.StartClock(std::chrono::seconds(0));
      });
}

}  // namespace peridotgate::prove
