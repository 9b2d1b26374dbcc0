#include "prove/bookings.h"

#include <spdlog/fmt/fmt.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace peridotgate::prove {
namespace {

namespace json = boost::json;

constexpr int kMaxSends = 3;
constexpr std::int64_t kConcurrentOneIn = 4;
constexpr std::int64_t kOtherBodyOneIn = 5;
constexpr std::int64_t kLargeOneIn = 8;
constexpr std::int64_t kLargeBytes = 600000;
constexpr std::chrono::milliseconds kRetryDelay{60};
constexpr std::chrono::milliseconds kSettleTime{2500};

}  // namespace

asio::awaitable<void> BookingWorkload::Caller(std::size_t index) {
  while (!run_.over()) {
    const std::string key = fmt::format("key-{}-{}", index, next_key_++);
    Booking& booking = bookings_[key];
    booking.organisation = run_.RandomOrganisation();
    booking.large = run_.Draw(1, kLargeOneIn) == 1;
    booking.body = fmt::format("{{\"lot\":\"{}\",\"answer_bytes\":{}}}", key,
                               booking.large ? kLargeBytes : 0);
    if (run_.Draw(1, kConcurrentOneIn) == 1) {
      co_await SendConcurrently(key);
    }
    for (int i = 0; i < kMaxSends && booking.answers.size() < 2; ++i) {
      co_await Send(key, run_.RandomEntry());
      if (booking.not_run == booking.sent && run_.Draw(0, 1) == 0) {
        break;  // Keeps a key with "not_run" answers only.
      }
      co_await run_.Sleep(kRetryDelay);
    }
    if (!booking.answers.empty() && run_.Draw(1, kOtherBodyOneIn) == 1) {
      co_await ReuseKeyWithOtherBody(key);
    }
  }
}

asio::awaitable<void> BookingWorkload::Send(std::string key,
                                            runtime::Endpoint entry) {
  Booking& booking = bookings_[key];
  ++booking.sent;
  run_.report().AddRequest();
  ServiceCall call{booking.organisation.booking, "/services/desk/orders", key,
                   booking.body};
  const CallResult result = co_await CallService(
      run_.context(), entry, booking.organisation, std::move(call));
  run_.report().Check("no_call_hangs", !result.timed_out, key);
  if (result.ok()) {
    booking.answers.push_back(result.body);
    run_.report().AddOutcome(result.replayed ? "replayed" : "ran");
  } else if (result.outcome == "not_run") {
    ++booking.not_run;
    run_.report().AddOutcome("not_run: " + result.title);
  } else {
    run_.report().AddOutcome(result.answered ? result.outcome : "no_answer");
  }
}

asio::awaitable<void> BookingWorkload::SendConcurrently(std::string key) {
  auto second_done = std::make_shared<bool>(false);
  auto send_second = [](BookingWorkload& work, std::string name,
                        std::shared_ptr<bool> done) -> asio::awaitable<void> {
    co_await work.Send(name, work.run_.RandomEntry());
    *done = true;
  };
  asio::co_spawn(run_.context(), send_second(*this, key, second_done),
                 asio::detached);
  co_await Send(key, run_.RandomEntry());
  while (!*second_done) {
    co_await run_.Sleep(kRetryDelay);
  }
}

asio::awaitable<void> BookingWorkload::ReuseKeyWithOtherBody(std::string key) {
  const Booking& booking = bookings_[key];
  run_.report().AddRequest();
  ServiceCall call{booking.organisation.booking, "/services/desk/orders", key,
                   "{\"lot\":\"other\"}"};
  const CallResult result =
      co_await CallService(run_.context(), run_.RandomEntry(),
                           booking.organisation, std::move(call));
  run_.report().Check("other_body_is_refused", !result.ok(), key);
}

asio::awaitable<std::map<std::string, std::int64_t>>
BookingWorkload::ReadRunCounts() {
  std::map<std::string, std::int64_t> runs;
  auto& backends = run_.fleet().backends();
  for (std::size_t i = run_.fleet().options().engines; i < backends.size();
       ++i) {
    const std::string text =
        co_await run_.fleet().Get(backends[i].server_address, "/runs");
    run_.report().Check("service_counts_read", !text.empty());
    if (text.empty()) {
      continue;
    }
    const json::value counts = json::parse(text);
    for (const auto& it : counts.as_object()) {
      runs[std::string(it.key())] += it.value().to_number<std::int64_t>();
    }
  }
  co_return runs;
}

// Restarts the agents first, so that stored answers come from the platform.
asio::awaitable<void> BookingWorkload::RetryLargeBookings() {
  for (std::size_t i = 0; i < run_.fleet().backends().size(); ++i) {
    run_.fleet().RestartAgent(i);
  }
  co_await run_.Sleep(kSettleTime);
  for (auto& [key, booking] : bookings_) {
    if (!booking.large || booking.answers.empty()) {
      continue;
    }
    run_.report().AddRequest();
    ServiceCall call{booking.organisation.booking, "/services/desk/orders", key,
                     booking.body};
    const CallResult result =
        co_await CallService(run_.context(), run_.RandomEntry(),
                             booking.organisation, std::move(call));
    // "unknown": the agent was killed before it stored the answer.
    run_.report().Check("large_answer_is_kept",
                        result.ok() || result.outcome == "unknown",
                        fmt::format("{}: {}", key, result.outcome));
    if (result.ok()) {
      run_.report().Check("large_answer_is_read_back", result.replayed, key);
    }
    run_.report().AddOutcome(result.ok() ? "large kept"
                                         : "large " + result.outcome);
    if (result.ok()) {
      booking.answers.push_back(result.body);
    }
  }
}

asio::awaitable<void> BookingWorkload::CheckAll() {
  co_await run_.Sleep(kSettleTime);
  co_await RetryLargeBookings();
  auto runs = co_await ReadRunCounts();
  for (const auto& [key, booking] : bookings_) {
    CheckBooking(key, booking, runs[key]);
  }
}

void BookingWorkload::CheckBooking(const std::string& key,
                                   const Booking& booking,
                                   std::int64_t runs) {
  Report& report = run_.report();
  report.Check("runs_at_most_once", runs <= 1,
               fmt::format("{} ran {} times", key, runs));
  if (booking.not_run == booking.sent) {
    report.Check("not_run_is_true", runs == 0,
                 fmt::format("{} ran {} times", key, runs));
  }
  for (const std::string& it : booking.answers) {
    report.Check("answer_is_its_own",
                 runs == 1 && it.find(key) != std::string::npos, key);
    report.Check("retry_gets_the_first_answer", it == booking.answers.front(),
                 fmt::format("{}: {} bytes, first {}", key, it.size(),
                             booking.answers.front().size()));
  }
}

}  // namespace peridotgate::prove
