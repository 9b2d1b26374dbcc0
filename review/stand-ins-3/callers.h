// Ordinary callers that book on kept connections, and what they have lost.
#ifndef REVIEW_STAND_INS_3_CALLERS_H_
#define REVIEW_STAND_INS_3_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "gateways.h"
#include "net.h"

namespace review {

/** Some callers of one gateway. Each sends one booking after another on one
 * connection, until that is closed. */
class Callers {
 public:
  static constexpr int kCallers = 12;

  Callers(const Gateway& gateway, Record& record);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /** Ends the callers. */
  void Stop();
  int answered() const { return answered_; }
  /** The bookings on kept connections that were closed without an answer, and
   * that have run. Writes each. Call after `Stop`. */
  std::size_t CountLost(const Fleet& fleet);

 private:
  void CallOften(int caller);

  const Gateway gateway_;
  Record& record_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> answered_{0};
  std::mutex mutex_;
  std::vector<std::string> lost_;  // Ids of requests.
  std::vector<std::thread> threads_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_3_CALLERS_H_
