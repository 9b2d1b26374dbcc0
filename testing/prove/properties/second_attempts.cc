// Streams of a stalled engine are answered by another one, complete and without
// duplicate events.
#include <charconv>

#include <spdlog/fmt/fmt.h>

#include "prove/fault_injector.h"
#include "prove/properties/properties.h"
#include "prove/streams.h"

namespace peridotgate::prove {
namespace {

constexpr std::size_t kCallers = 12;
// Answers are short, so that calls spend most of their time waiting for the
// response head. Only then may a second attempt start, and so each pause
// affects several calls.
constexpr StreamBehaviour kBehaviour{0, 0, 2, 4};

// Returns the number of second attempts with `result`, over all entries.
asio::awaitable<std::int64_t> CountSecondAttempts(Run& run,
                                                  std::string_view result) {
  const std::string name = fmt::format(
      "peridotgate_entry_second_attempts_total{{result=\"{}\"}} ", result);
  std::int64_t total = 0;
  for (const EntryProcess& it : run.fleet().entries()) {
    const std::string text = co_await run.fleet().Get(it.operators, "/metrics");
    const std::size_t at = text.find(name);
    std::int64_t n = 0;
    if (at != std::string::npos) {
      std::from_chars(text.data() + at + name.size(), text.data() + text.size(),
                      n);
    }
    total += n;
  }
  co_return total;
}

}  // namespace

asio::awaitable<void> SecondAttemptsAnswer(Run& run) {
  run.report().Expect("events_in_order");
  run.report().Expect("done_means_whole");
  StreamWorkload streams(run, kBehaviour);
  FaultInjector engines(run, {Fault::kEnginePaused},
                        FaultInjector::BackendKind::kEngines);
  co_await run.RunConcurrently(
      kCallers, [&](std::size_t i) { return streams.Caller(i); },
      [&]() -> asio::awaitable<void> {
        while (!run.over()) {
          co_await engines.InjectNext();
        }
      });
  const std::int64_t started = co_await CountSecondAttempts(run, "started");
  const std::int64_t denied = co_await CountSecondAttempts(run, "denied");
  const std::int64_t won = co_await CountSecondAttempts(run, "won");
  run.report().AddOutcome("second attempt started", started);
  run.report().AddOutcome("second attempt won", won);
  run.report().Check(
      "second_attempts_win", won > 0,
      fmt::format("{} won, {} started, {} denied", won, started, denied));
}

}  // namespace peridotgate::prove
