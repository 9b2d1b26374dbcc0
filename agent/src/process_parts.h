// Creates parts of the agent process, or their settings, from its settings.
#ifndef AGENT_PROCESS_PARTS_H_
#define AGENT_PROCESS_PARTS_H_

#include <memory>

#include "agent/claims.h"
#include "agent/settings.h"
#include "control/node.h"
#include "platform/object_store.h"
#include "runtime/duty.h"

namespace peridotgate::agent {

control::NodeSettings MakeNodeSettings(const AgentSettings& settings);

ClaimSettings MakeClaimSettings(const AgentLimits& limits);

/** Creates the configured object store, or returns null if there is none. */
std::unique_ptr<platform::ObjectStore> MakeObjectStore(
    runtime::Duty& duty,
    const AgentSettings& settings);

/** Returns `settings` with a random incarnation, unique to this process. */
AgentSettings WithIncarnation(AgentSettings settings);

}  // namespace peridotgate::agent

#endif  // AGENT_PROCESS_PARTS_H_
