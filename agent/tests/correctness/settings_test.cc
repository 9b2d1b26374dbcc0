// Each limit of an agent has a key, a default, and an error if it is invalid.
#include "agent/settings.h"

#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

namespace peridotgate::agent {
namespace {

constexpr std::string_view kMinimalSettings = R"(instance: agent-1
data_centre: dc-1
target: "model:horn-1"
listen:
  peers: 127.0.0.1:1
  operators: 127.0.0.1:2
backend_server: 127.0.0.1:3
platform:
  table: 127.0.0.1:4
  instances: 127.0.0.1:5
)";

TEST(AgentSettings, OmittedLimitsHaveDefaults) {
  runtime::SettingsReader reader("s.yaml", std::string(kMinimalSettings));
  const AgentLimits limits = ReadAgentSettings(reader).limits;
  EXPECT_TRUE(reader.Finish().empty());
  const AgentLimits defaults;
  EXPECT_EQ(limits.slots, defaults.slots);
  EXPECT_EQ(limits.queued, defaults.queued);
  EXPECT_EQ(limits.retained_bytes, defaults.retained_bytes);
  EXPECT_EQ(limits.kept_result_bytes, defaults.kept_result_bytes);
  EXPECT_EQ(limits.revocation_retention, defaults.revocation_retention);
}

TEST(AgentSettings, EachLimitIsReadFromItsKey) {
  const std::string text = std::string(kMinimalSettings) + R"(limits:
  slots: 11
  queued: 12
  retained_bytes: 13
  recent_reply_bytes: 14
  kept_result_bytes: 15
  revocations: 16
  keep_revocations_ms: 17
  retain_ended_ms: 18
  detached_grace_ms: 19
)";
  runtime::SettingsReader reader("s.yaml", text);
  const AgentLimits limits = ReadAgentSettings(reader).limits;
  EXPECT_TRUE(reader.Finish().empty());
  EXPECT_EQ(limits.slots, 11);
  EXPECT_EQ(limits.queued, 12U);
  EXPECT_EQ(limits.retained_bytes, 13U);
  EXPECT_EQ(limits.recent_reply_bytes, 14U);
  EXPECT_EQ(limits.kept_result_bytes, 15U);
  EXPECT_EQ(limits.revocations, 16U);
  EXPECT_EQ(limits.revocation_retention.count(), 17);
  EXPECT_EQ(limits.ended_retention.count(), 18);
  EXPECT_EQ(limits.detached_grace.count(), 19);
}

TEST(AgentSettings, ErrorNamesTheInvalidLimit) {
  for (const char* key :
       {"slots", "queued", "retained_bytes", "recent_reply_bytes",
        "kept_result_bytes", "revocations", "keep_revocations_ms",
        "retain_ended_ms", "detached_grace_ms"}) {
    SCOPED_TRACE(key);
    runtime::SettingsReader reader(
        "s.yaml", fmt::format("{}limits:\n  {}: -1\n", kMinimalSettings, key));
    ReadAgentSettings(reader);
    const auto faults = reader.Finish();
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults.front().key, fmt::format("limits.{}", key));
  }
}

}  // namespace
}  // namespace peridotgate::agent
