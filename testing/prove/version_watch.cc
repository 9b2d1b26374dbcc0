#include "prove/version_watch.h"

#include <algorithm>

namespace peridotgate::prove {

void VersionMonitor::OnRestart(const std::string& name) {
  Process& process = processes_[name];
  ++process.incarnation;
  process.highest = 0;
}

std::optional<VersionDecrease> VersionMonitor::Observe(
    const std::string& name,
    std::uint64_t incarnation,
    std::int64_t version) {
  Process& process = processes_[name];
  if (process.incarnation != incarnation) {
    return std::nullopt;
  }
  const VersionDecrease decrease{.from = process.highest, .to = version};
  process.highest = std::max(process.highest, version);
  return version < decrease.from ? std::optional(decrease) : std::nullopt;
}

}  // namespace peridotgate::prove
