// Polls the configuration in the platform's table, at a rate that depends on
// the role of this process.
#ifndef CONTROL_TABLE_FOLLOWER_H_
#define CONTROL_TABLE_FOLLOWER_H_

#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "coordination/clock.h"
#include "coordination/configuration_follower.h"
#include "coordination/membership.h"
#include "platform/table.h"
#include "runtime/metrics.h"

namespace peridotgate::control {

/**
 * A few entries of each data centre, chosen by rendezvous hashing, read the
 * table twice a second and gossip new changes. All other processes receive them
 * by gossip and read the table rarely as a fallback. A process without any
 * configuration reads it every two seconds.
 */
class TableFollower {
 public:
  /** Calls `on_new_version` after a read that found a newer version. */
  TableFollower(boost::asio::io_context& context,
                const coordination::Clock& clock,
                const runtime::Endpoint& table_endpoint,
                const coordination::Membership& members,
                coordination::ConfigurationFollower& follower,
                runtime::Metrics& metrics,
                std::function<void()> on_new_version);

  /** Schedules the first read. */
  void Start();

  /** Reads the table if a read is due. Call a few times a second. */
  boost::asio::awaitable<void> ReadDue();

 private:
  bool is_entry() const;
  coordination::Duration ReadPeriod() const;
  boost::asio::awaitable<void> Read();

  const coordination::Clock& clock_;
  const coordination::Membership& members_;
  coordination::ConfigurationFollower& follower_;
  std::function<void()> on_new_version_;
  platform::HttpTable table_;
  coordination::RandomEngine random_;
  runtime::Counter& failures_;
  runtime::Counter& reads_;
  coordination::TimePoint next_read_;
};

}  // namespace peridotgate::control

#endif  // CONTROL_TABLE_FOLLOWER_H_
