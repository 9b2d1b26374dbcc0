#include "entry/settings.h"

namespace peridotgate::entry {
namespace {

constexpr std::int64_t kMaxBodyBytes = 64 << 20;
constexpr std::int64_t kMaxConnections = 1 << 20;
constexpr std::int64_t kMaxMs = 3600000;

}  // namespace

EntrySettings ReadEntrySettings(runtime::SettingsReader& reader) {
  EntrySettings settings;
  settings.instance = reader.String("instance");
  settings.data_centre = reader.String("data_centre");
  settings.callers = reader.Address("listen.callers");
  settings.operators = reader.Address("listen.operators");
  settings.peers = reader.Address("listen.peers");
  settings.advertised = reader.Addresses("advertised");
  settings.table = reader.Address("platform.table");
  settings.instances = reader.Address("platform.instances");
  settings.seeds = reader.Addresses("seeds");
  settings.limits.body_bytes = static_cast<std::size_t>(
      reader.Integer("limits.body_bytes", 1, kMaxBodyBytes,
                     static_cast<std::int64_t>(settings.limits.body_bytes)));
  settings.limits.connections = static_cast<std::size_t>(
      reader.Integer("limits.connections", 1, kMaxConnections,
                     static_cast<std::int64_t>(settings.limits.connections)));
  settings.limits.read_timeout =
      reader.Millis("limits.read_timeout_ms", 1, kMaxMs,
                    settings.limits.read_timeout.count());
  settings.readiness_grace = reader.Millis(
      "limits.readiness_grace_ms", 0, kMaxMs, settings.readiness_grace.count());
  settings.shutdown_grace = reader.Millis("limits.shutdown_grace_ms", 0, kMaxMs,
                                          settings.shutdown_grace.count());
  settings.log_level =
      reader.Choice("log_level", {"debug", "info", "warn", "error"}, "info");
  return settings;
}

}  // namespace peridotgate::entry
