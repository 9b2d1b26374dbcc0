// Runs the fuzz targets on a fixed, reproducible sequence of inputs.
#include <gtest/gtest.h>

#include "caller_request_target.h"
#include "event_id_target.h"
#include "fuzz/mutations.h"

namespace peridotgate::entry {
namespace {

TEST(Fuzz, CallerRequests) {
  fuzz::RunMutations<CallerRequestTarget>();
}

TEST(Fuzz, StreamEventIds) {
  fuzz::RunMutations<EventIdTarget>();
}

}  // namespace
}  // namespace peridotgate::entry
