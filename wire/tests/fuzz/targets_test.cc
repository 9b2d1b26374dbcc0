// Runs the fuzz targets on a fixed, reproducible sequence of inputs.
#include <gtest/gtest.h>

#include "frames_target.h"
#include "fuzz/mutations.h"
#include "messages_target.h"
#include "rules_target.h"

namespace peridotgate::wire {
namespace {

TEST(Fuzz, Datagrams) {
  fuzz::RunMutations<MessagesTarget>();
}

TEST(Fuzz, StructsStoredInTable) {
  fuzz::RunMutations<RulesTarget>();
}

TEST(Fuzz, FramesSplitIntoReads) {
  fuzz::RunMutations<FramesTarget>();
}

}  // namespace
}  // namespace peridotgate::wire
