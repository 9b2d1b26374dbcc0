// Bookings sent under faults. Compares the answers that callers received with
// the number of runs that the services counted.
#ifndef TESTING_PROVE_BOOKINGS_H_
#define TESTING_PROVE_BOOKINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "prove/property.h"

namespace peridotgate::prove {

/** The requests with one idempotency key and their answers. */
struct Booking {
  Organisation organisation;
  std::string body;
  bool large = false;  // The answer is too long for a platform row.
  std::uint64_t sent = 0;
  std::uint64_t not_run = 0;         // Answers with outcome "not_run".
  std::vector<std::string> answers;  // Bodies of successful answers.
};

/** The bookings of one run. */
class BookingWorkload {
 public:
  explicit BookingWorkload(Run& run) : run_(run) {}

  /** Sends bookings, with retries and duplicates, until the run is over. */
  asio::awaitable<void> Caller(std::size_t index);

  /** Reads the run counts of the services and checks every booking. */
  asio::awaitable<void> CheckAll();

 private:
  asio::awaitable<void> Send(std::string key, runtime::Endpoint entry);
  asio::awaitable<void> SendConcurrently(std::string key);
  asio::awaitable<void> ReuseKeyWithOtherBody(std::string key);
  asio::awaitable<void> RetryLargeBookings();
  asio::awaitable<std::map<std::string, std::int64_t>> ReadRunCounts();
  void CheckBooking(const std::string& key,
                    const Booking& booking,
                    std::int64_t runs);

  Run& run_;
  std::map<std::string, Booking> bookings_;
  std::uint64_t next_key_ = 0;
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_BOOKINGS_H_
