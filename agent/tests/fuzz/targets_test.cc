// Runs each fuzz target on a fixed sequence of inputs.
#include <gtest/gtest.h>

#include "cache_events_target.h"
#include "fuzz/mutations.h"
#include "sse_target.h"

namespace peridotgate::agent {
namespace {

TEST(Fuzz, EngineStreams) {
  fuzz::RunMutations<SseTarget>();
}

TEST(Fuzz, EngineCacheEvents) {
  fuzz::RunMutations<CacheEventsTarget>();
}

}  // namespace
}  // namespace peridotgate::agent
