// Entries and agents are drained and restarted; no request is interrupted.
#include <spdlog/fmt/fmt.h>

#include "prove/fault_injector.h"
#include "prove/properties/properties.h"

namespace peridotgate::prove {
namespace {

constexpr std::size_t kCallers = 8;
constexpr std::int64_t kTokens = 120;
constexpr int kMaxReadyPolls = 100;
constexpr std::chrono::milliseconds kReadyPoll{20};

// Callers behind a load balancer, which uses only entries that report ready.
class BalancedCallers {
 public:
  explicit BalancedCallers(Run& run) : run_(run) {}

  asio::awaitable<void> Caller(std::size_t index) {
    while (!run_.over()) {
      if (index % 2 == 0) {
        co_await Stream(fmt::format("drain {} {}", index, next_++));
      } else {
        co_await Book(fmt::format("drain-{}-{}", index, next_++));
      }
    }
  }

 private:
  asio::awaitable<runtime::Endpoint> FindReadyEntry() {
    auto& entries = run_.fleet().entries();
    for (int i = 0; i < kMaxReadyPolls; ++i) {
      const auto last = static_cast<std::int64_t>(entries.size()) - 1;
      const auto index = static_cast<std::size_t>(run_.Draw(0, last));
      const std::string text =
          co_await run_.fleet().Get(entries[index].operators, "/readyz");
      if (!text.empty()) {
        co_return entries[index].callers;
      }
      co_await run_.Sleep(kReadyPoll);
    }
    run_.report().Check("an_entry_is_ready", false);
    co_return entries[0].callers;
  }

  asio::awaitable<void> Stream(std::string prompt) {
    ChatCall call;
    call.prompt = std::move(prompt);
    call.tokens = kTokens;
    const runtime::Endpoint entry = co_await FindReadyEntry();
    run_.report().AddRequest();
    const StreamResult result = co_await CallChat(
        run_.context(), entry, run_.RandomOrganisation(), call);
    const bool whole = result.done && result.texts == ExpectedTexts(call);
    run_.report().Check(
        "stream_is_not_cut", whole,
        fmt::format("{} events, status {}, outcome '{}'", result.texts.size(),
                    result.status, result.outcome));
  }

  asio::awaitable<void> Book(std::string key) {
    const Organisation organisation = run_.RandomOrganisation();
    const runtime::Endpoint entry = co_await FindReadyEntry();
    run_.report().AddRequest();
    ServiceCall call{organisation.booking, "/services/desk/orders", key, "{}"};
    const CallResult result =
        co_await CallService(run_.context(), entry, organisation, call);
    run_.report().Check(
        "booking_is_not_cut", result.ok(),
        fmt::format("{} '{}'", result.status, result.outcome + result.title));
  }

  Run& run_;
  std::uint64_t next_ = 0;
};

}  // namespace

asio::awaitable<void> GracefulShutdown(Run& run) {
  run.report().Expect("stream_is_not_cut");
  run.report().Expect("booking_is_not_cut");
  run.report().Expect("drained_process_ends_well");
  BalancedCallers callers(run);
  FaultInjector engines(run, {Fault::kAgentDrained, Fault::kEntryDrained},
                        FaultInjector::BackendKind::kEngines);
  FaultInjector services(run, {Fault::kAgentDrained},
                         FaultInjector::BackendKind::kServices);
  co_await run.RunConcurrently(
      kCallers, [&](std::size_t i) { return callers.Caller(i); },
      [&]() -> asio::awaitable<void> {
        while (!run.over()) {
          co_await engines.InjectNext();
          co_await services.InjectNext();
        }
      });
}

}  // namespace peridotgate::prove
