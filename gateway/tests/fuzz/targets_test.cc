// Runs the fuzz targets on a fixed, reproducible sequence of inputs.
#include <gtest/gtest.h>

#include "fuzz/mutations.h"
#include "server_response_target.h"

namespace peridotgate::gateway {
namespace {

TEST(Fuzz, ServerResponsesInPieces) {
  fuzz::RunMutations<ServerResponseTarget>();
}

}  // namespace
}  // namespace peridotgate::gateway
