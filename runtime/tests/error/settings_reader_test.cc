#include "runtime/settings_reader.h"

#include <gtest/gtest.h>

namespace peridotgate::runtime {
namespace {

TEST(SettingsReader, ReportsAllFaultsAtOnce) {
  SettingsReader reader("entry.yaml",
                        "instance: e1\n"
                        "listen:\n"
                        "  callers: nonsense\n"
                        "  extra: 1\n"
                        "limits:\n"
                        "  body_bytes: -3\n");
  EXPECT_EQ(reader.String("instance"), "e1");
  reader.Address("listen.callers");
  reader.Integer("limits.body_bytes", 1, 100, 10);
  reader.String("data_centre");
  auto faults = reader.Finish();
  ASSERT_EQ(faults.size(), 4U);
  EXPECT_EQ(faults[0].key, "data_centre");
  EXPECT_EQ(ToString(faults[1]),
            "entry.yaml:3: listen.callers: expected IP:PORT, such as "
            "127.0.0.1:8080");
  EXPECT_EQ(faults[2].key, "listen.extra");
  EXPECT_EQ(faults[3].line, 6);
}

TEST(SettingsReader, ReportsInvalidYaml) {
  SettingsReader reader("entry.yaml", "a: [1\nb: 2\n");
  auto faults = reader.Finish();
  ASSERT_FALSE(faults.empty());
  EXPECT_EQ(faults[0].key, "(file)");
}

}  // namespace
}  // namespace peridotgate::runtime
