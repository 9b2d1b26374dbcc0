// An agent that is draining receives no new work, even from entries with an
// outdated view of it.
#include <charconv>

#include <spdlog/fmt/fmt.h>

#include "prove/fault_injector.h"
#include "prove/properties/properties.h"
#include "prove/streams.h"
#include "runtime/inbox.h"
#include "wire/link.h"

namespace peridotgate::prove {
namespace {

constexpr std::size_t kCallers = 8;
constexpr StreamBehaviour kBehaviour{0, 0, 60, 200};
constexpr std::string_view kDispatchesMetric =
    "peridotgate_agent_dispatches_total ";
constexpr std::chrono::milliseconds kSignalDelay{100};
constexpr std::chrono::milliseconds kReplyTimeout{1000};
constexpr std::int64_t kWaitLimitUs = 5000000;
constexpr std::size_t kAgentPortOffset = 100;  // Offset from the base port.
constexpr std::chrono::milliseconds kObservationTime{1500};
constexpr std::chrono::milliseconds kPoll{20};
constexpr int kMaxPolls = 1000;

// Returns the value of a counter in a metrics page, or -1 if it is missing.
std::int64_t ReadCounter(const std::string& metrics, std::string_view name) {
  const std::size_t at = metrics.find("\n" + std::string(name));
  if (at == std::string::npos) {
    return -1;
  }
  const char* first = metrics.data() + at + 1 + name.size();
  std::int64_t value = -1;
  std::from_chars(first, metrics.data() + metrics.size(), value);
  return value;
}

asio::awaitable<std::int64_t> ReadDispatchCount(Run& run,
                                                const Backend& backend) {
  const std::string text =
      co_await run.fleet().Get(backend.agent_operators, "/metrics");
  co_return ReadCounter(text, kDispatchesMetric);
}

// Sends a call as an entry would that does not yet know that the agent drains.
asio::awaitable<void> DispatchDirectly(Run& run, std::size_t index) {
  runtime::Metrics metrics;
  runtime::Inbox<std::optional<wire::Message>> inbox(run.context());
  const auto port = static_cast<std::uint16_t>(run.fleet().options().base_port +
                                               kAgentPortOffset + index);
  auto link =
      wire::Link::Connecting(run.context(), {"127.0.0.1", port}, metrics);
  link->Start(
      [&inbox](wire::Link& /*from*/, wire::Message&& message) {
        inbox.Put(std::move(message));
      },
      [&inbox](wire::Link& /*closed*/) { inbox.Put(std::nullopt); });
  wire::Dispatch dispatch;
  dispatch.request_id = wire::ToWire(coordination::NewId());
  dispatch.attempt = 1;
  dispatch.organisation = "brazos";
  dispatch.repeatable = true;
  dispatch.method = "POST";
  dispatch.path = "/v1/chat/completions";
  dispatch.body = "{}";
  dispatch.wait_limit_us = kWaitLimitUs;
  link->Send(dispatch);
  auto reply = co_await inbox.Next(kReplyTimeout);
  if (reply && *reply) {
    const auto* refusal = std::get_if<wire::Refusal>(&**reply);
    run.report().Check(
        "new_work_is_refused",
        refusal != nullptr && refusal->reason == wire::Reason::kLeaving);
  }
  link->Close();
  // `inbox` must outlive the link's close callback.
  while (reply && *reply) {
    reply = co_await inbox.Next(kReplyTimeout);
  }
}

// Drains an agent that is busy with long streams, and checks that it receives
// no new work.
asio::awaitable<void> DrainOnce(Run& run, std::size_t index) {
  Backend& backend = run.fleet().backends()[index];
  backend.agent.Terminate();
  run.report().AddFault(Fault::kAgentDrained);
  co_await run.Sleep(kSignalDelay);
  co_await DispatchDirectly(run, index);
  const std::int64_t before = co_await ReadDispatchCount(run, backend);
  std::int64_t after = before;
  for (auto remaining = kObservationTime; remaining.count() > 0;
       remaining -= kPoll) {
    co_await run.Sleep(kPoll);
    const std::int64_t now = co_await ReadDispatchCount(run, backend);
    after = now < 0 ? after : now;
  }
  if (before >= 0) {
    run.report().Check("no_new_work", after == before,
                       fmt::format("{} new dispatches", after - before));
  }
  bool ended = backend.agent.Ended();
  for (int i = 0; i < kMaxPolls && !ended; ++i) {
    co_await run.Sleep(kPoll);
    ended = backend.agent.Ended();
  }
  run.report().Check("leaves_in_the_end", ended);
  run.fleet().RestartAgent(index);
}

}  // namespace

asio::awaitable<void> Leaving(Run& run) {
  run.report().Expect("no_new_work");
  run.report().Expect("new_work_is_refused");
  run.report().Expect("leaves_in_the_end");
  run.report().Expect("done_means_whole");
  run.report().Expect(Fault::kAgentDrained);
  StreamWorkload work(run, kBehaviour);
  FaultInjector injector(run, {}, FaultInjector::BackendKind::kEngines);
  injector.Add(kDatagramFaults);
  auto disturb_or_call = [&](std::size_t i) {
    return i == kCallers ? injector.InjectUntilOver() : work.Caller(i);
  };
  co_await run.RunConcurrently(
      kCallers + 1, disturb_or_call, [&]() -> asio::awaitable<void> {
        std::size_t next = 0;
        while (!run.over()) {
          co_await DrainOnce(run, next++ % run.fleet().options().engines);
        }
      });
}

}  // namespace peridotgate::prove
