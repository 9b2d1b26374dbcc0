// Patches between versions of a large row build exactly the new version, and
// malformed ones build nothing.
#include "row_patch.h"

#include <random>
#include <string>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

std::string RandomRoutes(std::mt19937& random, int n) {
  std::string text;
  for (int i = 0; i < n; ++i) {
    text += R"({"name":"r-)" + std::to_string(random()) +
            R"(","host":"shop.example","kind":"safe","timeout_ms":1500},)";
  }
  return text;
}

StoredRow Row(std::int64_t version, std::string value) {
  return {"config", std::move(value), {0, version}, false};
}

TEST(RowPatch, BuildsTheNewVersion) {
  std::mt19937 random(1);
  const std::string before = RandomRoutes(random, 4000);
  const std::string inserted = RandomRoutes(random, 1);
  const std::string afters[] = {
      before,
      inserted + before,
      before + inserted,
      before.substr(0, 100000) + inserted + before.substr(100000),
      before.substr(50000) + before.substr(0, 50000),
      before.substr(0, 1000) + before.substr(3000),
      "",
      "short",
  };
  for (const std::string& after : afters) {
    SCOPED_TRACE(after.size());
    RowPatches patches;
    patches.OnRow(Row(3, before));
    patches.OnRow(Row(5, after));
    {
      SCOPED_TRACE("from the version before");
      const wire::RowPatch patch = patches.Get(Row(5, after), {0, 3});
      EXPECT_EQ(ApplyPatch(before, patch), after);
    }
    {
      SCOPED_TRACE("from nothing, for a gateway with a forgotten version");
      const wire::RowPatch patch = patches.Get(Row(5, after), {0, 4});
      EXPECT_EQ(patch.base_version, 0);
      EXPECT_EQ(ApplyPatch("", patch), after);
    }
  }
}

TEST(RowPatch, CostsAsMuchAsTheChange) {
  std::mt19937 random(1);
  for (const int n : {1400, 5600}) {
    const std::string before = RandomRoutes(random, n);
    const std::string after = before.substr(0, before.size() / 2) +
                              RandomRoutes(random, 1) +
                              before.substr(before.size() / 2);
    RowPatches patches;
    patches.OnRow(Row(1, before));
    patches.OnRow(Row(2, after));
    EXPECT_LT(patches.Get(Row(2, after), {0, 1}).literals.size(), 2000U);
  }
}

TEST(RowPatch, RejectsWhatDoesNotFit) {
  std::mt19937 random(1);
  const std::string before = RandomRoutes(random, 100);
  const std::string after = RandomRoutes(random, 1) + before;
  RowPatches patches;
  patches.OnRow(Row(1, before));
  patches.OnRow(Row(2, after));
  const wire::RowPatch patch = patches.Get(Row(2, after), {0, 1});
  {
    SCOPED_TRACE("another base");
    EXPECT_FALSE(ApplyPatch(RandomRoutes(random, 100), patch));
    EXPECT_FALSE(ApplyPatch("", patch));
  }
  {
    SCOPED_TRACE("pieces outside of the base, without end or negative");
    for (const auto& [offset, size] :
         {std::pair<std::int64_t, std::int64_t>{1 << 30, 1},
          {0, std::int64_t{1} << 62},
          {std::int64_t{1} << 62, std::int64_t{1} << 62},
          {0, -1},
          {-1, -1},
          {-1, 1 << 30}}) {
      wire::RowPatch broken = patch;
      broken.pieces[0].offset = offset;
      broken.pieces[0].size = size;
      EXPECT_FALSE(ApplyPatch(before, broken));
    }
  }
  {
    SCOPED_TRACE("literals that are cut, changed or claim another size");
    wire::RowPatch broken = patch;
    broken.literals.resize(broken.literals.size() / 2);
    EXPECT_FALSE(ApplyPatch(before, broken));
    broken = patch;
    broken.literals[broken.literals.size() / 2] ^= 1;
    EXPECT_FALSE(ApplyPatch(before, broken));
    for (const std::int64_t size :
         {std::int64_t{-1}, std::int64_t{0}, patch.literal_bytes + 1,
          std::int64_t{1} << 62}) {
      broken = patch;
      broken.literal_bytes = size;
      EXPECT_FALSE(ApplyPatch(before, broken));
    }
  }
}

}  // namespace
}  // namespace peridotgate::gateway
