// Acquires and renews a lease stored in a row of the platform's table.
#ifndef CONTROL_LEASE_KEEPER_H_
#define CONTROL_LEASE_KEEPER_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "coordination/clock.h"
#include "coordination/lease.h"
#include "platform/table.h"

namespace peridotgate::control {

namespace asio = boost::asio;

/** The lease whose holder may send orders to engines. */
inline constexpr std::string_view kOrdersLease = "orders";

/** The key of a lease's row. */
platform::RowKey LeaseKey(std::string_view name);

/** Decodes a lease's row. Empty if its body is malformed. */
std::optional<coordination::LeaseRecord> ReadLeaseRow(const platform::Row& row);

/** Contends for one lease from `Start` on. */
class LeaseKeeper {
 public:
  LeaseKeeper(asio::io_context& context,
              const coordination::Clock& clock,
              platform::Table& table,
              std::string name,
              coordination::LeaseOptions options = {});
  ~LeaseKeeper();

  /** Starts contending for the lease. */
  void Start();

  /** The fencing token while the lease is guaranteed held, otherwise empty. */
  std::optional<std::int64_t> token() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::control

#endif  // CONTROL_LEASE_KEEPER_H_
