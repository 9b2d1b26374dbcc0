// Settings of an entry instance.
#ifndef ENTRY_SETTINGS_H_
#define ENTRY_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "runtime/http.h"
#include "runtime/settings_reader.h"

namespace peridotgate::entry {

/** The settings of one entry. */
struct EntrySettings {
  std::string instance;
  std::string data_centre;
  runtime::Endpoint callers;
  runtime::Endpoint operators;
  runtime::Endpoint peers;
  // Addresses advertised to other processes if they differ from `peers`.
  std::vector<runtime::Endpoint> advertised;
  runtime::Endpoint table;
  runtime::Endpoint instances;
  std::vector<runtime::Endpoint>
      seeds;  // Peers to contact first after a start.
  runtime::HttpLimits limits;
  // Time for the load balancer to notice that the entry is not ready.
  std::chrono::milliseconds readiness_grace{2000};
  std::chrono::milliseconds shutdown_grace{30000};
  std::string log_level;
};

/** Reads the settings from `reader`, which collects any errors. */
EntrySettings ReadEntrySettings(runtime::SettingsReader& reader);

}  // namespace peridotgate::entry

#endif  // ENTRY_SETTINGS_H_
