#include "canceller.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgate::entry {
namespace {

// How long a stream continues for a disconnected caller that may resume it.
constexpr std::chrono::milliseconds kResumeGracePeriod{10000};

}  // namespace

Canceller::Canceller(runtime::Duty& duty,
                     Fleet& fleet,
                     runtime::Metrics& metrics)
    : duty_(duty),
      fleet_(fleet),
      dropped_calls_(
          metrics.GetCounter("peridotgate_entry_dropped_calls_total")) {}

void Canceller::Cancel(const Id128& request, const ActiveAttempt& attempt) {
  wire::Cancel cancel;
  cancel.request_id = wire::ToWire(request);
  cancel.attempt = attempt.number;
  fleet_.SendOneWay(attempt.agent, cancel);
}

void Canceller::OnCallerGone(const CallState& state) {
  if (!state.call.dispatch.repeatable) {
    return;
  }
  dropped_calls_.Add();
  if (!state.is_resumable()) {
    Cancel(state.call.request_id, *state.active);
    return;
  }
  asio::co_spawn(duty_.context(),
                 CancelLater(state.call.request_id, *state.active),
                 asio::detached);
}

asio::awaitable<void> Canceller::CancelLater(Id128 request,
                                             ActiveAttempt attempt) {
  asio::steady_timer timer(duty_.context(), kResumeGracePeriod);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  Cancel(request, attempt);
}

}  // namespace peridotgate::entry
