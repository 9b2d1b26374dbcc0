// Brings a configuration follower up to date from the platform's table.
#ifndef CONTROL_CONFIGURATION_READER_H_
#define CONTROL_CONFIGURATION_READER_H_

#include <cstdint>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "coordination/configuration_follower.h"
#include "coordination/result.h"
#include "platform/table.h"

namespace peridotgate::control {

namespace asio = boost::asio;

/** Consecutive configuration changes read from the table. */
struct ChangePage {
  std::vector<coordination::Change> changes;
  bool is_last = false;
  bool has_gap = false;  // The next change is missing or can't be decoded.
};

/** Reads the change rows after `version`, including parts of large changes. */
asio::awaitable<coordination::Result<ChangePage, platform::PlatformError>>
ReadChangePage(platform::Table& table, std::int64_t version);

/**
 * Reads the changes after the follower's version. If their rows are no longer
 * retained, reads all section rows and the changes committed in the meantime.
 * The follower only ever moves to a complete version. Returns whether its
 * version increased.
 */
asio::awaitable<coordination::Result<bool, platform::PlatformError>>
ReadConfiguration(platform::Table& table,
                  coordination::ConfigurationFollower& follower);

}  // namespace peridotgate::control

#endif  // CONTROL_CONFIGURATION_READER_H_
