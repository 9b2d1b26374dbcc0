// Fuzz target: cache events of an engine, one per line.
#ifndef AGENT_TESTS_FUZZ_CACHE_EVENTS_TARGET_H_
#define AGENT_TESTS_FUZZ_CACHE_EVENTS_TARGET_H_

#include <string>
#include <string_view>
#include <vector>

#include "agent/cache_index.h"
#include "cache_events.h"
#include "coordination/check.h"

namespace peridotgate::agent {

/** Applies events up to the first gap to an index and checks its size. */
struct CacheEventsTarget {
  static std::vector<std::string> Seeds() {
    return {R"({"seq":1,"event":"started","incarnation":7,"weights_version":2}
{"seq":2,"event":"stored","block":18446744073709551615,"piece":0,)"
            R"("request_id":"0123456789abcdef0123456789abcdef"}
{"seq":3,"event":"removed","block":18446744073709551615,"request_id":""})",
            R"({"seq":9223372036854775806,"event":"removed","block":-1}
{"seq":9223372036854775807,"event":"started"})"};
  }

  static void Run(std::string_view input) {
    CacheEventReader reader;
    CacheIndex index;
    while (!input.empty()) {
      const std::size_t end = input.find('\n');
      const CacheEventReading reading = reader.Read(input.substr(0, end));
      PG_CHECK(!reading.gap || !reading.event);
      if (reading.gap) {
        return;
      }
      if (reading.event) {
        Apply(*reading.event, index);
      }
      input.remove_prefix(end == std::string_view::npos ? input.size()
                                                        : end + 1);
    }
  }

 private:
  static void Apply(const CacheEvent& event, CacheIndex& index) {
    if (const auto* started = std::get_if<EngineStarted>(&event)) {
      index.Reset(started->incarnation, started->weights_version);
      PG_CHECK(index.size() == 0);
    } else if (const auto* stored = std::get_if<BlockStored>(&event)) {
      index.Store(stored->block, stored->request_id.low);
      PG_CHECK(index.size() > 0);
    } else if (const auto* removed = std::get_if<BlockRemoved>(&event)) {
      const std::size_t before = index.size();
      index.Remove(removed->block);
      PG_CHECK(index.size() + 1 >= before);
    }
  }
};

}  // namespace peridotgate::agent

#endif  // AGENT_TESTS_FUZZ_CACHE_EVENTS_TARGET_H_
