#include "prove/streams.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

namespace peridotgate::prove {
namespace {

constexpr std::chrono::milliseconds kSlowReadPause{40};
constexpr std::chrono::milliseconds kResumeDelay{30};
constexpr int kMaxResumes = 5;

// Whether `texts` matches `expected` from index `first` on.
bool MatchesFrom(const std::vector<std::string>& expected,
                 std::size_t first,
                 const std::vector<std::string>& texts) {
  return first + texts.size() <= expected.size() &&
         std::equal(texts.begin(), texts.end(),
                    expected.begin() + static_cast<std::ptrdiff_t>(first));
}

}  // namespace

asio::awaitable<void> StreamWorkload::Caller(std::size_t index) {
  while (!run_.over()) {
    co_await RunStream(fmt::format("caller {} asks {}", index, next_prompt_++));
  }
}

asio::awaitable<void> StreamWorkload::RunStream(std::string prompt) {
  const Organisation organisation = run_.RandomOrganisation();
  ChatCall call;
  call.prompt = std::move(prompt);
  call.tokens = run_.Draw(behaviour_.min_tokens, behaviour_.max_tokens);
  if (behaviour_.hang_up_one_in > 0 &&
      run_.Draw(1, behaviour_.hang_up_one_in) == 1) {
    call.hang_up_after = run_.Draw(1, call.tokens - 1);
    run_.report().AddFault(Fault::kCallerGone);
  } else if (behaviour_.slow_one_in > 0 &&
             run_.Draw(1, behaviour_.slow_one_in) == 1) {
    call.read_pause = kSlowReadPause;
    run_.report().AddFault(Fault::kCallerSlow);
  }
  run_.report().AddRequest();
  StreamResult result =
      co_await CallChat(run_.context(), run_.RandomEntry(), organisation, call);
  CheckStream(call, 0, result);
  if (!result.done && !result.error && !result.texts.empty()) {
    co_await ResumeStream(organisation, call, result);
  }
}

// Resumes a stream through any entry after the connection was lost.
asio::awaitable<void> StreamWorkload::ResumeStream(Organisation organisation,
                                                   ChatCall call,
                                                   StreamResult result) {
  std::size_t received = result.texts.size();
  call.hang_up_after = -1;
  for (int i = 0; i < kMaxResumes; ++i) {
    co_await run_.Sleep(kResumeDelay);
    call.last_event_id = result.last_event_id;
    run_.report().AddRequest();
    result = co_await CallChat(run_.context(), run_.RandomEntry(), organisation,
                               call);
    CheckStream(call, received, result);
    received += result.texts.size();
    if (result.done || result.error) {
      run_.report().Check("taken_up_again", result.done, result.outcome);
      co_return;
    }
  }
  run_.report().AddOutcome("not_taken_up");
}

void StreamWorkload::CheckStream(const ChatCall& call,
                                 std::size_t first,
                                 const StreamResult& result) {
  Report& report = run_.report();
  const std::vector<std::string> expected = ExpectedTexts(call);
  const std::string where =
      fmt::format("'{}' from {}, {} events of {}", call.prompt, first,
                  result.texts.size(), call.tokens);
  report.Check("events_in_order", MatchesFrom(expected, first, result.texts),
               where);
  report.Check("no_call_hangs", !result.timed_out, where);
  report.Check("nothing_after_the_end", result.text_after_done.empty(), where);
  if (result.done) {
    report.Check("done_means_whole",
                 first + result.texts.size() == expected.size(), where);
    report.AddOutcome("whole");
    return;
  }
  if (result.status == 0 || result.connection_lost) {
    report.AddOutcome("connection_broke");
    return;
  }
  report.Check("end_is_said", result.error || result.status != 200, where);
  report.AddOutcome(fmt::format("{} {}", result.status, result.outcome));
}

}  // namespace peridotgate::prove
