// Streams of an entry that is paused for a long time: their engines are
// released, and callers receive the rest of the stream once the entry resumes.
#include <spdlog/fmt/fmt.h>
#include <boost/json.hpp>

#include "prove/properties/properties.h"

namespace peridotgate::prove {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::size_t kCallers = 6;
constexpr std::int64_t kTokens = 1500;
constexpr milliseconds kStreamingTime{1000};
// 8 s of silence, 10 s for another entry to resume the stream, and a margin.
constexpr milliseconds kReleaseTime{20500};
constexpr milliseconds kPoll{100};
constexpr int kMaxPolls = 50;

asio::awaitable<std::int64_t> CountInFlight(Run& run) {
  std::int64_t n = 0;
  for (std::size_t i = 0; i < run.fleet().options().engines; ++i) {
    const Backend& backend = run.fleet().backends()[i];
    const std::string text =
        co_await run.fleet().Get(backend.server_address, "/speed");
    run.report().Check("engine_answers", !text.empty());
    n += text.empty()
             ? 0
             : json::parse(text).at("in_flight").to_number<std::int64_t>();
  }
  co_return n;
}

asio::awaitable<void> CheckOneStream(Run& run, std::string prompt) {
  ChatCall call;
  call.prompt = std::move(prompt);
  call.tokens = kTokens;
  run.report().AddRequest();
  const StreamResult result = co_await CallChat(
      run.context(), run.fleet().entries()[0].callers, Brazos(), call);
  run.report().Check(
      "rest_comes_when_the_entry_goes_on",
      result.done && result.texts == ExpectedTexts(call),
      fmt::format("{} events, {}", result.texts.size(), result.outcome));
}

asio::awaitable<void> PauseEntryAndCheck(Run& run) {
  std::int64_t before = 0;
  for (int i = 0; i < kMaxPolls && before < static_cast<std::int64_t>(kCallers);
       ++i) {
    co_await run.Sleep(kPoll);
    before = co_await CountInFlight(run);
  }
  run.report().Check("streams_run", before == kCallers,
                     fmt::format("{}", before));
  co_await run.Sleep(kStreamingTime);
  Child& entry = run.fleet().entries()[0].process;
  entry.Pause();
  run.report().AddFault(Fault::kEntryPaused);
  co_await run.Sleep(kReleaseTime);
  const std::int64_t after = co_await CountInFlight(run);
  run.report().Check("engines_are_freed", after == 0,
                     fmt::format("{} of {} still running", after, before));
  entry.Continue();
}

}  // namespace

asio::awaitable<void> AbandonedStreams(Run& run) {
  run.report().Expect(Fault::kEntryPaused);
  for (const char* it :
       {"engines_are_freed", "rest_comes_when_the_entry_goes_on"}) {
    run.report().Expect(it);
  }
  for (int round = 0; !run.over() || round == 0; ++round) {
    auto ask = [&](std::size_t i) {
      return CheckOneStream(run, fmt::format("round {} caller {}", round, i));
    };
    co_await run.RunConcurrently(kCallers, ask,
                                 [&] { return PauseEntryAndCheck(run); });
  }
}

}  // namespace peridotgate::prove
