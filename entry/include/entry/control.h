// Follows configuration and cluster membership and publishes changes of both.
#ifndef ENTRY_CONTROL_H_
#define ENTRY_CONTROL_H_

#include <functional>
#include <memory>
#include <string>

#include "coordination/clock.h"
#include "entry/messages.h"
#include "entry/settings.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::entry {

/**
 * Runs on the control event-loop thread and publishes a new `ClusterView` after
 * each change.
 */
class Control {
 public:
  using Publish = std::function<void(const ClusterView&)>;

  Control(runtime::Duty& duty,
          const coordination::Clock& clock,
          const EntrySettings& settings,
          Publish publish,
          runtime::Metrics& metrics);
  ~Control();

  /** Binds the address for peers; on failure sets `error` and returns false. */
  bool Listen(std::string& error);

  /** Starts following configuration and membership. */
  void Start();

  /** Announces to the other processes that this one is leaving. */
  void Leave();

  /** An agent refused a call because its rules are newer than this entry's. */
  void OnNewerRules(const NewerRules& notice);

  /** The last known state of every process, as JSON for operators. */
  std::string MembersJson() const;

  /** Processes that recently announced themselves to this entry, as JSON. */
  std::string HeardJson() const;

  /** Whether rules and servers are known. Thread-safe. */
  bool ready() const;

  /** The version of the rules that this entry applies. Thread-safe. */
  std::int64_t rules_version() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_CONTROL_H_
