// A part of prompts that crashes each engine that begins an answer on it does
// not crash one engine after the other, and other calls are served meanwhile.
#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <spdlog/fmt/fmt.h>

#include "prove/fault_injector.h"
#include "prove/properties/properties.h"
#include "standins/engine_model.h"

namespace peridotgate::prove {
namespace {

using std::chrono::milliseconds;
using Time = std::chrono::steady_clock::time_point;

constexpr std::size_t kSoundCallers = 8;
constexpr std::int64_t kSessions = 4;
constexpr std::int64_t kTokens = 20;
constexpr milliseconds kPauseBetweenDeadly{200};
constexpr milliseconds kEnginePoll{20};
constexpr milliseconds kEngineDown{1500};
// After this many crashes, or after a call was refused for the part, all
// processes know of it within `kKnownWithin`, but for a few calls.
constexpr std::size_t kEnoughCrashes = 5;
constexpr milliseconds kKnownWithin{3000};
constexpr std::ptrdiff_t kMaxLateCrashes = 3;
constexpr std::string_view kInstructions = "Quote for horn buttons.";
constexpr std::string_view kRefused =
    "Servers crashed on a part of the request";

class DeadlyPartRun {
 public:
  explicit DeadlyPartRun(Run& run) : run_(run) {}

  // Calls without the part, of the same organisations and with the same first
  // message.
  asio::awaitable<void> SoundCaller() {
    while (!run_.over()) {
      const std::string session =
          fmt::format("session {}", run_.Draw(1, kSessions));
      const bool late = IsLate(Now());
      const StreamResult result = co_await Call(session);
      run_.report().Check("sound_not_refused_for_a_part",
                          result.title != kRefused, session);
      late_sound_ += late ? 1 : 0;
      late_sound_served_ += late && result.done ? 1 : 0;
    }
  }

  // One call at a time, so that a crash belongs to the call that runs.
  asio::awaitable<void> DeadlyCaller() {
    while (!run_.over()) {
      const std::size_t crashes_before = crashes_.size();
      const bool late = IsLate(Now());
      const StreamResult result =
          co_await Call(std::string(kDeadlyPartOfPrompt));
      run_.report().Check("deadly_never_served", !result.done);
      co_await run_.Sleep(kPauseBetweenDeadly);
      if (result.title != kRefused) {
        continue;
      }
      first_refused_ = first_refused_.value_or(Now());
      if (result.outcome == "not_run") {
        run_.report().Check("not_run_did_not_run",
                            crashes_.size() == crashes_before);
        late_not_run_ += late ? 1 : 0;
      }
    }
  }

  // Starts engines again some time after they crashed on the part.
  asio::awaitable<void> ReviveEngine(std::size_t index) {
    while (!run_.over()) {
      Child& engine = run_.fleet().backends()[index].server;
      if (engine.Ended() && engine.status() == standins::kCrashStatus) {
        crashes_.push_back(Now());
        co_await run_.Sleep(kEngineDown);
        if (!engine.running()) {
          run_.fleet().RestartServer(index);
        }
      }
      co_await run_.Sleep(kEnginePoll);
    }
  }

  void CheckCrashes() {
    Report& report = run_.report();
    const auto late = std::count_if(crashes_.begin(), crashes_.end(),
                                    [this](Time it) { return IsLate(it); });
    report.Check(
        "crashes_stop", late <= kMaxLateCrashes,
        fmt::format("{} of {} crashes were late", late, crashes_.size()));
    report.Check("late_refused_as_not_run", late_not_run_ > 0);
    report.Check("sound_served", late_sound_served_ * 2 >= late_sound_,
                 fmt::format("{} of {}", late_sound_served_, late_sound_));
    report.AddOutcome("crashes", static_cast<std::int64_t>(crashes_.size()));
    report.AddOutcome("late refused as not run", late_not_run_);
    report.AddOutcome("sound when the part was known", late_sound_);
    report.AddOutcome("of these served", late_sound_served_);
  }

 private:
  static Time Now() { return std::chrono::steady_clock::now(); }

  bool IsLate(Time at) const {
    const bool enough = crashes_.size() >= kEnoughCrashes;
    return (enough && at > crashes_[kEnoughCrashes - 1] + kKnownWithin) ||
           (first_refused_ && at > *first_refused_ + kKnownWithin);
  }

  asio::awaitable<StreamResult> Call(std::string part) {
    ChatCall call;
    call.leading = {std::string(kInstructions), std::move(part)};
    call.prompt = fmt::format("question {}", next_question_++);
    call.tokens = kTokens;
    run_.report().AddRequest();
    const StreamResult result = co_await CallChat(
        run_.context(), run_.RandomEntry(), run_.RandomOrganisation(), call);
    run_.report().Check("no_call_hangs", !result.timed_out, call.prompt);
    co_return result;
  }

  Run& run_;
  std::vector<Time> crashes_;
  std::int64_t next_question_ = 0;
  std::optional<Time> first_refused_;
  std::int64_t late_not_run_ = 0;
  std::int64_t late_sound_ = 0;
  std::int64_t late_sound_served_ = 0;
};

}  // namespace

asio::awaitable<void> DeadlyPart(Run& run) {
  DeadlyPartRun work(run);
  FaultInjector injector(
      run, {Fault::kAgentKilled, Fault::kEngineKilled, Fault::kDatagramsLost},
      FaultInjector::BackendKind::kEngines);
  const std::size_t engines = run.fleet().options().engines;
  co_await run.RunConcurrently(
      kSoundCallers + 1 + engines,
      [&](std::size_t i) {
        if (i < engines) {
          return work.ReviveEngine(i);
        }
        return i == engines ? work.DeadlyCaller() : work.SoundCaller();
      },
      [&] { return injector.InjectUntilOver(); });
  work.CheckCrashes();
}

}  // namespace peridotgate::prove
