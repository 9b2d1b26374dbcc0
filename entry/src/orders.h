// Gives engines their orders while this entry holds the lease.
#ifndef ENTRY_ORDERS_H_
#define ENTRY_ORDERS_H_

#include <memory>

#include "control/node.h"
#include "coordination/clock.h"
#include "entry/rules_book.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::entry {

/**
 * Brings engines to the weights that the rules ask for: one order an engine,
 * through its agent, at most two at once. Runs on the control duty.
 */
class Orders {
 public:
  Orders(runtime::Duty& duty,
         const coordination::Clock& clock,
         runtime::Endpoint table,
         const control::Node& node,
         runtime::Metrics& metrics);
  ~Orders();

  /** Begins to contend for the lease. */
  void Start();

  /** The rules to follow from now on. */
  void OnRules(std::shared_ptr<const RulesBook> rules);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_ORDERS_H_
