// Runs the fuzz targets on a fixed, reproducible sequence of inputs.
#include <gtest/gtest.h>

#include "body_target.h"
#include "fuzz/mutations.h"
#include "request_target.h"
#include "response_target.h"

namespace peridotgate::runtime {
namespace {

TEST(Fuzz, BodiesInPieces) {
  fuzz::RunMutations<BodyTarget>();
}

TEST(Fuzz, RequestsInPieces) {
  fuzz::RunMutations<RequestTarget>();
}

TEST(Fuzz, ResponsesInPieces) {
  fuzz::RunMutations<ResponseTarget>();
}

}  // namespace
}  // namespace peridotgate::runtime
