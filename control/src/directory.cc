#include "directory.h"

#include <string>

#include <boost/json.hpp>

namespace peridotgate::control {
namespace {

namespace json = boost::json;
using coordination::KnownMember;
using coordination::MemberRecord;
using coordination::MemberRole;
using coordination::MemberState;
using platform::ListedInstance;

constexpr std::string_view kEntryRole = "entry";
constexpr std::string_view kAgentRole = "agent";
constexpr std::size_t kGoneMajorityDivisor = 2;  // More than 1/2.

std::string_view RoleName(MemberRole role) {
  return role == MemberRole::kEntry ? kEntryRole : kAgentRole;
}

ListedInstance ToListedInstance(const MemberRecord& record) {
  ListedInstance listed;
  listed.instance = record.instance;
  listed.role = RoleName(record.role);
  listed.data_centre = record.data_centre;
  listed.endpoint = {record.address.address, record.address.port};
  listed.target = record.target;
  return listed;
}

bool AreMostMembersGone(const coordination::Membership& members) {
  std::size_t gone = 0;
  for (const KnownMember& it : members.members()) {
    gone += it.record.state == MemberState::kGone ? 1 : 0;
  }
  return gone * kGoneMajorityDivisor > members.members().size();
}

json::object ToJson(const MemberRecord& it, std::int64_t since_heard_ms) {
  return {{"instance", it.instance},
          {"role", RoleName(it.role)},
          {"data_centre", it.data_centre},
          {"address", runtime::ToString(runtime::Endpoint{it.address.address,
                                                          it.address.port})},
          {"target", it.target},
          {"state", coordination::Name(it.state)},
          {"incarnation", it.incarnation},
          {"revision", it.revision},
          {"weights_version", it.weights_version},
          {"config_version", it.config_version},
          {"last_heard_ms", since_heard_ms}};
}

}  // namespace

MemberRecord ToRecord(const ListedInstance& listed) {
  MemberRecord record;
  record.instance = listed.instance;
  record.role =
      listed.role == kEntryRole ? MemberRole::kEntry : MemberRole::kAgent;
  record.data_centre = listed.data_centre;
  record.address = {listed.endpoint.address, listed.endpoint.port};
  record.target = listed.target;
  record.state = listed.leaving ? MemberState::kLeaving : MemberState::kAlive;
  return record;
}

std::vector<ListedInstance> MakeDirectory(
    const coordination::Membership& members) {
  const bool trust_gone_state = !AreMostMembersGone(members);
  std::vector<ListedInstance> all;
  for (const KnownMember& it : members.members()) {
    const MemberState state = it.record.state;
    ListedInstance listed = ToListedInstance(it.record);
    listed.leaving = state == MemberState::kLeaving ||
                     (state == MemberState::kGone && trust_gone_state);
    all.push_back(std::move(listed));
  }
  return all;
}

std::string MembersToJson(const coordination::Membership& members,
                          coordination::TimePoint now,
                          coordination::Duration heard_within) {
  json::array all;
  json::object self = ToJson(members.self(), 0);
  self["self"] = true;
  all.push_back(std::move(self));
  for (const KnownMember& it : members.members()) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - it.last_heard);
    if (age <= heard_within) {
      all.push_back(ToJson(it.record, age.count()));
    }
  }
  return json::serialize(json::object{{"members", all}});
}

}  // namespace peridotgate::control
