// Sends load orders to engines while this entry holds the lease for orders.
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
 * Makes engines load the weights version that the rules specify: sends one
 * order per engine through its agent, at most two engines at a time. Runs on
 * the control event-loop thread.
 */
class Orders {
 public:
  Orders(runtime::Duty& duty,
         const coordination::Clock& clock,
         runtime::Endpoint table,
         const control::Node& node,
         runtime::Metrics& metrics);
  ~Orders();

  /** Starts to compete for the lease. */
  void Start();

  /** Replaces the rules to apply. */
  void OnRules(std::shared_ptr<const RulesBook> rules);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_ORDERS_H_
