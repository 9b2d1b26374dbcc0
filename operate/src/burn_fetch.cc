#include "burn_fetch.h"

#include "operate/instances.h"

namespace peridotgate::operate {
namespace {

// Replaces servers' addresses by the names of their agents.
void NameServers(const std::vector<platform::ListedInstance>& listed,
                 BurnReport& report) {
  for (ServerReport& server : report.servers) {
    for (const platform::ListedInstance& it : listed) {
      if (runtime::ToString(it.endpoint) == server.instance) {
        server.instance = it.instance;
        break;
      }
    }
  }
}

}  // namespace

coordination::Result<BurnReport, platform::PlatformError> FetchReport(
    const runtime::Endpoint& list,
    const BurnWindow& window) {
  auto listed = ReadInstanceList(list);
  if (!listed) {
    return listed.error();
  }
  BurnMerge merge(window);
  const std::string path = "/burn/" + std::string(window.name);
  QueryEntries(listed.value(), path, [&](const InstanceAnswer& it) {
    const auto burn = it.body ? ParseBurn(*it.body, window) : std::nullopt;
    if (burn) {
      merge.Add(*burn);
    } else {
      merge.AddMissing(it.listed.instance);
    }
  });
  BurnReport report = merge.MakeReport();
  NameServers(listed.value(), report);
  return report;
}

}  // namespace peridotgate::operate
