#include "agent/settings.h"

namespace peridotgate::agent {
namespace {

constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxQueued = 1 << 20;
constexpr std::int64_t kMaxGraceMs = 3600000;
constexpr std::int64_t kMaxBytes = 1LL << 30;
// Limited by the size of a table row.
constexpr std::int64_t kMaxResultBytes = 300 << 10;
constexpr std::int64_t kMaxObjectBytes = 16 << 20;
constexpr std::int64_t kMaxRevocations = 1 << 22;

void ReadCount(runtime::SettingsReader& reader,
               std::string_view key,
               std::int64_t maximum,
               std::size_t& value) {
  value = static_cast<std::size_t>(
      reader.Integer(key, 1, maximum, static_cast<std::int64_t>(value)));
}

void ReadLimits(runtime::SettingsReader& reader, AgentLimits& it) {
  it.slots = static_cast<std::int32_t>(
      reader.Integer("limits.slots", 1, kMaxSlots, it.slots));
  ReadCount(reader, "limits.queued", kMaxQueued, it.queued);
  ReadCount(reader, "limits.retained_bytes", kMaxBytes, it.retained_bytes);
  ReadCount(reader, "limits.recent_reply_bytes", kMaxBytes,
            it.recent_reply_bytes);
  ReadCount(reader, "limits.kept_result_bytes", kMaxResultBytes,
            it.kept_result_bytes);
  ReadCount(reader, "limits.kept_object_bytes", kMaxObjectBytes,
            it.kept_object_bytes);
  ReadCount(reader, "limits.revocations", kMaxRevocations, it.revocations);
  it.revocation_retention =
      reader.Millis("limits.keep_revocations_ms", 1, kMaxGraceMs,
                    it.revocation_retention.count());
  it.ended_retention = reader.Millis("limits.retain_ended_ms", 0, kMaxGraceMs,
                                     it.ended_retention.count());
  it.detached_grace = reader.Millis("limits.detached_grace_ms", 0, kMaxGraceMs,
                                    it.detached_grace.count());
}

}  // namespace

AgentSettings ReadAgentSettings(runtime::SettingsReader& reader) {
  AgentSettings it;
  it.limits.instance = reader.String("instance");
  it.data_centre = reader.String("data_centre");
  it.target = reader.String("target");
  it.engine =
      reader.Choice("kind", {"engine", "service"}, "engine") == "engine";
  it.peers = reader.Address("listen.peers");
  it.advertised = reader.Addresses("advertised");
  it.operators = reader.Address("listen.operators");
  it.backend_server = reader.Address("backend_server");
  it.table = reader.Address("platform.table");
  it.instances = reader.Address("platform.instances");
  it.objects = reader.Addresses("platform.objects");
  it.seeds = reader.Addresses("seeds");
  ReadLimits(reader, it.limits);
  it.shutdown_grace =
      reader.Millis("limits.shutdown_grace_ms", 0, kMaxGraceMs, 30000);
  it.log_level =
      reader.Choice("log_level", {"debug", "info", "warn", "error"}, "info");
  return it;
}

}  // namespace peridotgate::agent
