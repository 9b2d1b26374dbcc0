// Parses cache events of a model engine.
#ifndef AGENT_CACHE_EVENTS_H_
#define AGENT_CACHE_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "agent/messages.h"

namespace peridotgate::agent {

/** A parsed event. */
struct CacheEventReading {
  bool gap = false;  // The event is invalid, or an earlier one is missing.
  std::optional<CacheEvent> event;  // Absent if ignored, e.g. of unknown kind.
};

/** Reads the events of one connection and checks their sequence numbers. */
class CacheEventReader {
 public:
  /** Parses the data of the next event, a JSON object. */
  CacheEventReading Read(std::string_view data);

 private:
  std::optional<std::int64_t> next_sequence_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_CACHE_EVENTS_H_
