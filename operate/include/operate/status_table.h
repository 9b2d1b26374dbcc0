// Merges what the entries of a fleet report about all instances.
#ifndef OPERATE_STATUS_TABLE_H_
#define OPERATE_STATUS_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotgate::operate {

/** The last known status of one instance. */
struct InstanceStatus {
  std::string instance;
  std::string role;
  std::string data_centre;
  std::string state;  // "alive", "leaving", or "no answer".
  std::int64_t version = 0;
  std::int64_t incarnation = 0;  // 0 until another instance reports it.
};

/**
 * The newest known status of each instance. The status that an entry reports of
 * itself takes precedence over what others report of it.
 *
 *     StatusTable table;
 *     table.AddEntry(own);
 *     table.AddMembers(body);
 *     for (const InstanceStatus& it : FindLagging(table.statuses(), 7)) { ... }
 */
class StatusTable {
 public:
  /** Adds the status that an entry reports of itself. */
  void AddEntry(InstanceStatus status);

  /**
   * Merges an entry's /members or /members/heard response; ignores the whole
   * response if it is malformed.
   */
  void AddMembers(std::string_view body);

  /** In the order in which they were first added. */
  const std::vector<InstanceStatus>& statuses() const { return statuses_; }

 private:
  void Merge(InstanceStatus reported);

  std::vector<InstanceStatus> statuses_;
  std::unordered_map<std::string, std::size_t> index_;
};

/** Instances below `version` that are neither leaving nor removed. */
std::vector<InstanceStatus> FindLagging(const std::vector<InstanceStatus>& all,
                                        std::int64_t version);

}  // namespace peridotgate::operate

#endif  // OPERATE_STATUS_TABLE_H_
