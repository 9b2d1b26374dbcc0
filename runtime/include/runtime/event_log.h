// Structured events on standard output: one JSON object a line for each
// decision about a request or change of belief. Bounded, and never waits for
// the reader of the output.
#ifndef RUNTIME_EVENT_LOG_H_
#define RUNTIME_EVENT_LOG_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "runtime/metrics.h"

namespace peridotgate::runtime {

/** What is dropped first when there is too much to write. */
enum class LogClass {
  kRoutine,  // A request that was served as usual.
  kNotable,  // A refusal, a failure, a change of belief.
};

/** Starts the writer thread; before that, events are not written. */
void StartEventLog(std::string_view instance, Metrics& metrics);

/** Writes what is waiting and stops the writer. False when the reader of the
 * output does not take it in time: the writer's thread is stuck in a write
 * then, and the process has to end without waiting for it. */
bool StopEventLog();

/**
 * One line, written when it goes out of scope.
 *
 *     LogEvent("request_refused", LogClass::kNotable)
 *         .Add("request", id)
 *         .Add("retry_after_ms", 200);
 */
class LogEvent {
 public:
  LogEvent(std::string_view name, LogClass log_class);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& Add(std::string_view key, std::string_view value);
  LogEvent& Add(std::string_view key, const char* value) {
    return Add(key, std::string_view(value));
  }
  LogEvent& Add(std::string_view key, bool value);
  LogEvent& Add(std::string_view key, double value);
  template <std::integral T>
  LogEvent& Add(std::string_view key, T value) {
    return AddInteger(key, static_cast<std::int64_t>(value));
  }

 private:
  LogEvent& AddInteger(std::string_view key, std::int64_t value);
  void Key(std::string_view key);

  bool wanted_;
  std::string line_;
};

}  // namespace peridotgate::runtime

#endif  // RUNTIME_EVENT_LOG_H_
