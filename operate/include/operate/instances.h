// Queries a fleet's instances over their operators' HTTP listeners.
#ifndef OPERATE_INSTANCES_H_
#define OPERATE_INSTANCES_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/result.h"
#include "operate/status_table.h"
#include "platform/instance_list.h"

namespace peridotgate::operate {

/** One instance's response; no body if it did not answer in time. */
struct InstanceAnswer {
  platform::ListedInstance listed;
  std::optional<std::string> body;
};

/** Fetches the platform's list of instances. */
coordination::Result<std::vector<platform::ListedInstance>,
                     platform::PlatformError>
ReadInstanceList(const runtime::Endpoint& list);

/** Called with the answer of each entry. */
using AnswerCallback = std::function<void(const InstanceAnswer&)>;

/**
 * GETs `path` from every listed entry and passes on each answer as it arrives.
 * Limits concurrent requests, and with them the memory for answers.
 */
void QueryEntries(const std::vector<platform::ListedInstance>& listed,
                  const std::string& path,
                  const AnswerCallback& on_answer);

/** Returns all answers at once; for small responses. */
std::vector<InstanceAnswer> QueryEntries(
    const std::vector<platform::ListedInstance>& listed,
    const std::string& path);

/**
 * All instances with the version in force in each. Every entry reports itself
 * and the members that it heard from recently; only one is asked for the full
 * list of members, so that reads are linear in the fleet size, not quadratic.
 */
coordination::Result<std::vector<InstanceStatus>, platform::PlatformError>
QueryStatus(const runtime::Endpoint& list);

/**
 * Polls until `version` is in force everywhere or `timeout` passes; returns the
 * instances that lag.
 */
coordination::Result<std::vector<InstanceStatus>, platform::PlatformError>
WaitUntilInForce(const runtime::Endpoint& list,
                 std::int64_t version,
                 std::chrono::milliseconds timeout);

}  // namespace peridotgate::operate

#endif  // OPERATE_INSTANCES_H_
