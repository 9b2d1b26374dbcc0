#include "gateway/settings.h"

#include <sys/resource.h>

#include <algorithm>

namespace peridotgate::gateway {
namespace {

constexpr std::int64_t kMaxMs = 3600000;
constexpr double kMaxRatio = 1000;
constexpr double kMaxSlack = 1e9;
constexpr double kMaxWindowS = 3600;
constexpr double kMaxMemoryMb = 1 << 20;
constexpr double kMaxCores = 1024;
constexpr double kThousandths = 1000;
constexpr std::int64_t kMaxConnections = 1 << 20;
// Callers may have this part of the descriptors; the rest is for connections to
// servers, other gateways and the store.
constexpr double kDescriptorShare = 0.75;
// Assumed if the size of the process's memory is unknown.
constexpr double kDefaultMemoryMb = 96;

}  // namespace

GatewaySettings ReadGatewaySettings(runtime::SettingsReader& reader) {
  GatewaySettings it;
  it.instance = reader.String("instance");
  it.data_centre = reader.String("data_centre");
  it.callers = reader.Address("listen.callers");
  it.readiness = reader.Address("listen.readiness");
  it.peers = reader.Address("listen.peers");
  it.operators = reader.Address("listen.operators");
  it.store = reader.Address("store");
  it.seeds = reader.Addresses("seeds");
  it.stop_within =
      reader.Millis("stop_within_ms", 0, kMaxMs, it.stop_within.count());
  it.retry_ratio =
      reader.Decimal("retries.ratio", 0, kMaxRatio, it.retry_ratio);
  it.retry_slack =
      reader.Decimal("retries.slack", 0, kMaxSlack, it.retry_slack);
  it.quota_tolerance.window_s =
      reader.Decimal("quotas.window_s", 0, kMaxWindowS, 0);
  it.quota_tolerance.ratio = reader.Decimal("quotas.over", 0, kMaxRatio, 0);
  it.quota_tolerance.slack = reader.Decimal("quotas.slack", 0, kMaxSlack, 0);
  it.queue =
      reader.Choice("queue.enabled", {"true", "false"}, "true") == "true";
  it.lease = reader.Millis("orders.lease_ms", 0, kMaxMs, it.lease.count(),
                           runtime::Rounding::kUp);
  it.weights_deadline = reader.Millis("orders.deadline_ms", 1, kMaxMs,
                                      it.weights_deadline.count());
  it.memory_mb =
      reader.Decimal("limits.memory_mb", 0, kMaxMemoryMb, it.memory_mb);
  it.buffer_share =
      reader.Decimal("limits.buffer_share", 0, 1, it.buffer_share);
  it.connections =
      reader.Integer("limits.connections", 0, kMaxConnections, it.connections);
  it.capacity = static_cast<int>(
      kThousandths * reader.Decimal("limits.cores", 0, kMaxCores, 0));
  it.log_level =
      reader.Choice("log_level", {"debug", "info", "warn", "error"}, "info");
  return it;
}

std::size_t MaxBufferBytes(const GatewaySettings& settings) {
  constexpr double kBytesPerMb = 1 << 20;
  const double memory_mb =
      settings.memory_mb > 0 ? settings.memory_mb : kDefaultMemoryMb;
  return static_cast<std::size_t>(memory_mb * kBytesPerMb *
                                  settings.buffer_share);
}

std::size_t MaxConnections(const GatewaySettings& settings) {
  if (settings.connections > 0) {
    return static_cast<std::size_t>(settings.connections);
  }
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
    return kMaxConnections;
  }
  const rlim_t limit = std::min<rlim_t>(descriptors.rlim_cur, kMaxConnections);
  return static_cast<std::size_t>(kDescriptorShare *
                                  static_cast<double>(limit));
}

}  // namespace peridotgate::gateway
