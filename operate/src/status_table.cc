#include "operate/status_table.h"

#include <utility>

#include <boost/json.hpp>

namespace peridotgate::operate {
namespace {

namespace json = boost::json;

InstanceStatus FromJson(const json::value& it) {
  return {json::value_to<std::string>(it.at("instance")),
          json::value_to<std::string>(it.at("role")),
          json::value_to<std::string>(it.at("data_centre")),
          json::value_to<std::string>(it.at("state")),
          it.at("config_version").to_number<std::int64_t>(),
          it.at("incarnation").to_number<std::int64_t>()};
}

// Parses all members or none, as another release may use another format.
std::vector<InstanceStatus> ReadMembers(std::string_view body) {
  std::vector<InstanceStatus> all;
  boost::system::error_code ec;
  const json::value members = json::parse(body, ec);
  if (ec) {
    return all;
  }
  try {
    for (const json::value& it : members.at("members").as_array()) {
      all.push_back(FromJson(it));
    }
  } catch (const std::exception&) {
    all.clear();
  }
  return all;
}

// Whether `reported` is newer than `known`.
bool IsNewer(const InstanceStatus& reported, const InstanceStatus& known) {
  if (reported.incarnation != known.incarnation) {
    return reported.incarnation > known.incarnation;
  }
  return reported.version > known.version;
}

}  // namespace

void StatusTable::AddEntry(InstanceStatus status) {
  index_.emplace(status.instance, statuses_.size());
  statuses_.push_back(std::move(status));
}

void StatusTable::AddMembers(std::string_view body) {
  for (InstanceStatus& it : ReadMembers(body)) {
    Merge(std::move(it));
  }
}

void StatusTable::Merge(InstanceStatus reported) {
  const auto known = index_.find(reported.instance);
  if (known == index_.end()) {
    AddEntry(std::move(reported));
    return;
  }
  InstanceStatus& it = statuses_[known->second];
  if (it.role != "entry" && IsNewer(reported, it)) {
    it = std::move(reported);
  }
}

std::vector<InstanceStatus> FindLagging(const std::vector<InstanceStatus>& all,
                                        std::int64_t version) {
  std::vector<InstanceStatus> behind;
  for (const InstanceStatus& it : all) {
    if (it.version < version && it.state != "leaving" && it.state != "gone") {
      behind.push_back(it);
    }
  }
  return behind;
}

}  // namespace peridotgate::operate
