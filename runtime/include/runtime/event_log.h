// Structured event log on standard output. Each line is a JSON object that
// describes a decision about a request or a change in the known state of a
// peer. The queue of unwritten lines is bounded, and logging never blocks on
// the reader of the output.
#ifndef RUNTIME_EVENT_LOG_H_
#define RUNTIME_EVENT_LOG_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "runtime/metrics.h"

namespace peridotgate::runtime {

/** Importance of an event; sets its rate limit. */
enum class LogClass {
  kRoutine,  // A request that was served normally.
  kNotable,  // A rejection, a failure or a state change.
};

/** Starts the writer thread. Earlier events are discarded. */
void StartEventLog(std::string_view instance, Metrics& metrics);

/**
 * Flushes the queued lines and stops the writer thread. Returns false when the
 * reader of the output is too slow: the writer thread is then blocked in a
 * write, and the process must exit without joining it.
 */
bool StopEventLog();

/**
 * Builds one log line and queues it for writing when it goes out of scope.
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
  void AppendKey(std::string_view key);

  bool enabled_;
  std::string line_;
};

}  // namespace peridotgate::runtime

#endif  // RUNTIME_EVENT_LOG_H_
