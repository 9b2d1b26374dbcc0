// Forwards orders (load, unload, role change) to the server, one at a time,
// if their fencing token is current.
#ifndef AGENT_ORDERS_H_
#define AGENT_ORDERS_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "agent/core.h"
#include "platform/table.h"
#include "runtime/metrics.h"

namespace peridotgate::agent {

/**
 * Reads the current fencing token from the table before each order. An order
 * whose token is older than that one, or than the highest token seen, is
 * refused, whether or not the server checks tokens itself. While the table
 * can't be read, all orders are refused. Use from one io_context only.
 */
class Orders {
 public:
  using Reply = std::function<void(LinkNumber, const wire::OrderResult&)>;

  Orders(boost::asio::io_context& context,
         platform::Table& table,
         runtime::Endpoint server,
         runtime::Metrics& metrics,
         Reply reply);
  ~Orders();

  void OnOrder(LinkNumber from, wire::Order order);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_ORDERS_H_
