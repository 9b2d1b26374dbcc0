// Polls the platform's instance list, at a rate that depends on the role of
// this process.
#ifndef CONTROL_LIST_READER_H_
#define CONTROL_LIST_READER_H_

#include <functional>
#include <span>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "coordination/clock.h"
#include "coordination/membership.h"
#include "platform/instance_list.h"
#include "runtime/metrics.h"

namespace peridotgate::control {

/** Callbacks for the lines read. */
struct ListHooks {
  std::function<void(std::span<const platform::ListedInstance>)> on_lines;
  // Whether this process's own line marks it as leaving.
  std::function<void(bool)> on_own_line;
};

/**
 * An entry reads the complete list once and then polls its own slice, so that
 * the entries together detect a change within seconds while each reads little.
 * Every process also polls its own line: rarely, or at once and then often if
 * other members report that it is leaving. A process that knows no members
 * reads the complete list.
 */
class ListReader {
 public:
  ListReader(boost::asio::io_context& context,
             const coordination::Clock& clock,
             const runtime::Endpoint& list_endpoint,
             const coordination::Membership& members,
             runtime::Metrics& metrics,
             ListHooks hooks);

  /** Performs all reads that are due. Call a few times a second. */
  boost::asio::awaitable<void> ReadDue();

  /** Whether the complete list has been read. */
  bool has_read_all() const { return has_read_all_; }

 private:
  bool is_entry() const;
  bool IsOwnReadDue() const;
  coordination::TimePoint NextReadTime(coordination::Duration period);
  boost::asio::awaitable<void> ReadAll();
  boost::asio::awaitable<void> ReadSlice();
  boost::asio::awaitable<void> ReadOwn();
  boost::asio::awaitable<bool> ReadRange(platform::NameRange range);
  void OnLinesRead(const platform::NameRange& range,
                   std::span<const platform::ListedInstance> lines);

  const coordination::Clock& clock_;
  const coordination::Membership& members_;
  ListHooks hooks_;
  platform::InstanceList list_;
  coordination::RandomEngine random_;
  runtime::Counter& failures_;
  runtime::Counter& reads_;
  runtime::Counter& lines_read_;
  coordination::TimePoint next_list_read_;
  coordination::TimePoint next_own_read_;
  coordination::TimePoint earliest_own_read_;
  std::size_t last_line_count_ = 0;
  bool has_read_all_ = false;
  bool is_own_line_leaving_ = false;
};

}  // namespace peridotgate::control

#endif  // CONTROL_LIST_READER_H_
