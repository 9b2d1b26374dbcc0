// Converts the membership to a list of instances and to JSON.
#ifndef CONTROL_DIRECTORY_H_
#define CONTROL_DIRECTORY_H_

#include <string>
#include <vector>

#include "coordination/membership.h"
#include "platform/instance_list.h"

namespace peridotgate::control {

/** Converts a line of the instance list. A line can only assert leaving. */
coordination::MemberRecord ToRecord(const platform::ListedInstance& listed);

/**
 * Lists every member, and marks leaving and gone members as leaving. If most
 * members look gone, this process's own network is assumed to be at fault, and
 * gone members stay usable.
 */
std::vector<platform::ListedInstance> MakeDirectory(
    const coordination::Membership& members);

/**
 * Serialises this process and each member heard from directly within
 * `heard_within` to JSON, with the time since that message.
 */
std::string MembersToJson(const coordination::Membership& members,
                          coordination::TimePoint now,
                          coordination::Duration heard_within);

}  // namespace peridotgate::control

#endif  // CONTROL_DIRECTORY_H_
