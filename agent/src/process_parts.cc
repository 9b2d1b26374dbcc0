#include "process_parts.h"

#include <utility>

#include "coordination/ids.h"

namespace peridotgate::agent {
namespace {

constexpr std::chrono::milliseconds kObjectTimeout{10000};

}  // namespace

control::NodeSettings MakeNodeSettings(const AgentSettings& settings) {
  control::NodeSettings it;
  it.instance = settings.limits.instance;
  it.data_centre = settings.data_centre;
  it.target = settings.target;
  it.peers = settings.advertised.empty() ? settings.peers
                                         : settings.advertised.front();
  it.table = settings.table;
  it.instances = settings.instances;
  it.seeds = settings.seeds;
  return it;
}

ClaimSettings MakeClaimSettings(const AgentLimits& limits) {
  ClaimSettings it;
  it.instance = limits.instance;
  it.row_answer_bytes = limits.kept_result_bytes;
  return it;
}

std::unique_ptr<platform::ObjectStore> MakeObjectStore(
    runtime::Duty& duty,
    const AgentSettings& settings) {
  if (settings.objects.empty()) {
    return nullptr;
  }
  return std::make_unique<platform::HttpObjectStore>(
      duty.context(), settings.objects.front(), kObjectTimeout);
}

AgentSettings WithIncarnation(AgentSettings settings) {
  constexpr std::uint64_t kPositive = ~(std::uint64_t{1} << 63);
  settings.limits.incarnation =
      static_cast<std::int64_t>(coordination::NewId().low & kPositive);
  return settings;
}

}  // namespace peridotgate::agent
