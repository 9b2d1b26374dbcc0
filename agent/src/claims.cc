#include "agent/claims.h"

#include <atomic>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "answer_store.h"
#include "claim_attempt.h"
#include "write_batcher.h"

namespace peridotgate::agent {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxReads = 8;
constexpr milliseconds kReadRetryPause{100};
constexpr milliseconds kFirstSettlePause{100};
constexpr milliseconds kMaxSettlePause{5000};
constexpr milliseconds kChannelRetryPause{1};
constexpr std::size_t kMaxUnsettled = 4096;

ClaimResult MakeRelease(const ClaimRequest& request,
                        const std::string& instance) {
  ClaimResult result;
  result.key = request.key;
  result.record.attempt_token = wire::ToWire(request.attempt_token);
  result.record.agent = instance;
  result.record.body_digest = request.body_digest;
  result.record.state = wire::ClaimState::kNotRun;
  return result;
}

}  // namespace

struct Claims::Impl {
  Impl(runtime::Duty& duty,
       platform::Table& table,
       runtime::Port<ClaimAnswer>& answers,
       runtime::Metrics& metrics,
       ClaimSettings settings,
       platform::ObjectStore* objects)
      : duty(duty),
        table(table),
        answers(answers),
        settings(std::move(settings)),
        batcher(duty, table, metrics, this->settings.max_batch),
        answer_store(duty.context(), objects, metrics),
        lost(metrics.GetCounter("peridotgate_agent_claims_lost_total")),
        settled(metrics.GetCounter("peridotgate_agent_claims_settled_total")),
        read_back(
            metrics.GetCounter("peridotgate_agent_claims_read_back_total")),
        unsettled(metrics.GetGauge("peridotgate_agent_claims_unsettled")),
        claim_ms(metrics.GetDistribution("peridotgate_agent_claim_ms")) {}

  runtime::Duty& duty;
  platform::Table& table;
  runtime::Port<ClaimAnswer>& answers;
  ClaimSettings settings;
  WriteBatcher batcher;
  AnswerStore answer_store;
  runtime::Counter& lost;
  runtime::Counter& settled;
  runtime::Counter& read_back;
  runtime::Gauge& unsettled;
  runtime::Distribution& claim_ms;
  std::atomic<std::size_t> pending{0};

  asio::awaitable<void> Pause(milliseconds time) {
    asio::steady_timer timer(duty.context(), time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  asio::awaitable<void> Answer(ClaimAnswer answer) {
    while (!answers.TrySend(answer)) {
      co_await Pause(kChannelRetryPause);
    }
  }

  asio::awaitable<void> Claim(ClaimRequest request) {
    const auto started = std::chrono::steady_clock::now();
    ClaimAttempt attempt(std::move(request), settings.instance);
    if (pending > kMaxUnsettled) {
      ClaimAnswer full = attempt.answer();
      co_await Answer(std::move(full));
      co_return;
    }
    int reads = 0;
    while (attempt.wants_write() || attempt.wants_read()) {
      if (attempt.wants_write()) {
        auto write = attempt.MakeWrite();
        attempt.OnWritten(co_await batcher.Write(std::move(write)));
        continue;
      }
      if (reads++ == kMaxReads) {
        attempt.GiveUp();
        break;
      }
      co_await Read(attempt, reads > 1);
    }
    const std::chrono::duration<double, std::milli> taken =
        std::chrono::steady_clock::now() - started;
    claim_ms.Observe(taken.count());
    if (attempt.must_release()) {
      StartSettling(MakeRelease(attempt.request(), settings.instance));
    }
    ClaimAnswer answer = attempt.answer();
    if (answer.outcome == ClaimOutcome::kReplay && answer.record.status == 0) {
      co_await answer_store.Load(answer.record);
    }
    co_await Answer(std::move(answer));
  }

  asio::awaitable<void> Read(ClaimAttempt& attempt, bool again) {
    if (again) {
      co_await Pause(kReadRetryPause);
    }
    read_back.Add();
    auto row = co_await table.Get(ClaimRowKey(attempt.request().key));
    if (row) {
      attempt.OnRow(row.value());
    }
  }

  void StartSettling(ClaimResult result) {
    unsettled.Set(static_cast<std::int64_t>(++pending));
    asio::co_spawn(duty.context(), Settle(std::move(result)), asio::detached);
  }

  // Retries until the result is in the table, however long the table is down.
  asio::awaitable<void> Settle(ClaimResult result) {
    if (result.record.body.size() > settings.row_answer_bytes) {
      co_await answer_store.Store(result.record);
    }
    ClaimSettlement settlement(std::move(result));
    milliseconds pause = kFirstSettlePause;
    while (!settlement.done()) {
      auto row = co_await table.Get(ClaimRowKey(settlement.key()));
      if (row) {
        settlement.OnRow(row.value());
      }
      if (row && !settlement.done()) {
        auto write = settlement.MakeWrite();
        settlement.OnWritten(co_await batcher.Write(std::move(write)));
      }
      if (!settlement.done()) {
        co_await Pause(pause);
        pause = std::min(2 * pause, kMaxSettlePause);
      }
    }
    (settlement.lost() ? lost : settled).Add();
    unsettled.Set(static_cast<std::int64_t>(--pending));
  }
};

Claims::Claims(runtime::Duty& duty,
               platform::Table& table,
               runtime::Port<ClaimAnswer>& answers,
               runtime::Metrics& metrics,
               ClaimSettings settings,
               platform::ObjectStore* objects)
    : impl_(std::make_unique<Impl>(duty,
                                   table,
                                   answers,
                                   metrics,
                                   std::move(settings),
                                   objects)) {}

Claims::~Claims() = default;

void Claims::OnCommand(PlatformCommand command) {
  if (auto* request = std::get_if<ClaimRequest>(&command)) {
    asio::co_spawn(impl_->duty.context(), impl_->Claim(std::move(*request)),
                   asio::detached);
    return;
  }
  impl_->StartSettling(std::move(std::get<ClaimResult>(command)));
}

std::size_t Claims::pending() const {
  return impl_->pending;
}

}  // namespace peridotgate::agent
