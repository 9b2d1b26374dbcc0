// Decides, when a backend server has been silent for some time, whether to wait
// on.
#ifndef GATEWAY_SILENCE_TIMER_H_
#define GATEWAY_SILENCE_TIMER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coordination/clock.h"

namespace peridotgate::gateway {

/**
 * Calls a function at a time which the function itself moves on. It is not
 * called after this object was destroyed.
 *
 *     SilenceTimer timer(context, clock, [&](TimePoint now) {
 *       return now < limit ? std::optional(limit) : GiveUp();
 *     });
 *     timer.Start(limit);
 */
class SilenceTimer {
 public:
  /** Returns when to be called again; nothing: never. */
  using Check = std::function<std::optional<coordination::TimePoint>(
      coordination::TimePoint now)>;

  SilenceTimer(boost::asio::io_context& context,
               const coordination::Clock& clock,
               Check check)
      : state_(std::make_shared<State>(context, clock, std::move(check))) {}
  ~SilenceTimer() {
    state_->check = nullptr;
    state_->timer.cancel();
  }
  SilenceTimer(const SilenceTimer&) = delete;
  SilenceTimer& operator=(const SilenceTimer&) = delete;

  void Start(coordination::TimePoint at) { state_->Wait(at); }

 private:
  struct State : std::enable_shared_from_this<State> {
    State(boost::asio::io_context& context,
          const coordination::Clock& clock,
          Check check)
        : timer(context), clock(clock), check(std::move(check)) {}

    void Wait(coordination::TimePoint at) {
      timer.expires_at(std::chrono::steady_clock::time_point(
          std::chrono::duration_cast<std::chrono::steady_clock::duration>(
              at.time_since_epoch())));
      timer.async_wait(
          [self = shared_from_this()](const boost::system::error_code& ec) {
            if (ec || !self->check) {
              return;
            }
            if (const auto next = self->check(self->clock.Now())) {
              self->Wait(*next);
            }
          });
    }

    boost::asio::steady_timer timer;
    const coordination::Clock& clock;
    Check check;
  };

  std::shared_ptr<State> state_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_SILENCE_TIMER_H_
