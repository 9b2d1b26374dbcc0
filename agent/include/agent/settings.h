// Settings of the agent process.
#ifndef AGENT_SETTINGS_H_
#define AGENT_SETTINGS_H_

#include <string>
#include <vector>

#include "agent/core.h"
#include "runtime/settings_reader.h"

namespace peridotgate::agent {

/** The settings of one agent. */
struct AgentSettings {
  std::string data_centre;
  std::string target;  // The model or service that its server provides.
  bool engine = true;  // False: a plain service.
  runtime::Endpoint peers;
  // Addresses that peers reach it at, if not `peers`.
  std::vector<runtime::Endpoint> advertised;
  runtime::Endpoint operators;
  runtime::Endpoint backend_server;
  runtime::Endpoint table;
  runtime::Endpoint instances;
  std::vector<runtime::Endpoint> objects;  // Object store; may be empty.
  std::vector<runtime::Endpoint> seeds;    // Peers contacted first at start.
  std::chrono::milliseconds shutdown_grace{30000};
  std::string log_level;
  AgentLimits limits;
};

/** Reads the settings; errors are collected in `reader`. */
AgentSettings ReadAgentSettings(runtime::SettingsReader& reader);

}  // namespace peridotgate::agent

#endif  // AGENT_SETTINGS_H_
