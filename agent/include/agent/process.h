// The agent process: its event-loop threads, channels and listeners.
#ifndef AGENT_PROCESS_H_
#define AGENT_PROCESS_H_

#include "agent/settings.h"

namespace peridotgate::agent {

/** Runs an agent until SIGTERM or SIGINT; returns the exit status. */
int RunAgent(const AgentSettings& settings);

}  // namespace peridotgate::agent

#endif  // AGENT_PROCESS_H_
