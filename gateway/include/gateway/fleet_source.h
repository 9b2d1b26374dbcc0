// Interface to the platform's store: source of the rules, the backend servers
// and the weights versions, and the place of the lease that elects the rollout
// leader.
#ifndef GATEWAY_FLEET_SOURCE_H_
#define GATEWAY_FLEET_SOURCE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "coordination/result.h"
#include "coordination/store_version.h"
#include "gateway/fleet_view.h"

namespace peridotgate::gateway {

namespace asio = boost::asio;
using coordination::Result;
using coordination::StoreVersion;

/** What a failed call to the store implies about its effect. */
enum class StoreError {
  kUnavailable,  // Refused; had no effect.
  kUnknown,      // No answer; it may have taken effect or still may.
  kConflict,     // Version condition not met; had no effect.
  kThrottled,    // Rate limited; had no effect.
  // The change history expired, or the store was restored from a backup and
  // has another history; read the whole table again.
  kHistoryGone,
  kMalformed,  // The answer could not be parsed.
};

/** The name used for the error in metrics and logs. */
std::string_view Name(StoreError error);

/** A row of the store; `version` increases with every change to any row. */
struct StoredRow {
  std::string key;
  std::string value;
  StoreVersion version = {};
  bool removed = false;
};

/** Rows of a table at one version of the store. */
struct StoredRows {
  std::vector<StoredRow> rows;
  StoreVersion version = {};
  std::optional<Millis> time = {};  // The store's steady clock, if it tells it.
};

/** A row that was written. */
struct StoredWrite {
  StoreVersion version = {};        // Of the row.
  std::optional<Millis> time = {};  // The store's steady clock, if it tells it.
};

/**
 * A key-value table service with conditional writes and a change feed. After a
 * restore from a backup it is in a new era. Answers of an earlier era than the
 * newest known one count as failed calls.
 */
class Store {
 public:
  virtual ~Store() = default;
  /** The newest era that is known; 0 until the store tells one. */
  std::int64_t era() const { return era_; }
  /** Learns the era from an answer or from another gateway. */
  void LearnEra(std::int64_t era);
  /** Reads all rows of a table, at the time of the call or later. */
  virtual asio::awaitable<Result<StoredRows, StoreError>> ReadAll(
      std::string table) = 0;
  /** Reads the rows that changed after version `after`; waits up to `wait` for
   * a first change. */
  virtual asio::awaitable<Result<StoredRows, StoreError>> Follow(
      std::string table,
      StoreVersion after,
      std::chrono::milliseconds wait) = 0;
  /** Writes a row if its version is `expected` (number 0: the row must not
   * exist), or unconditionally without `expected`. */
  virtual asio::awaitable<Result<StoredWrite, StoreError>> Write(
      std::string table,
      std::string key,
      std::string value,
      std::optional<StoreVersion> expected) = 0;

 private:
  std::int64_t era_ = 0;
};

/** Names the tables that describe the fleet and parses their rows. */
class FleetFormat {
 public:
  virtual ~FleetFormat() = default;
  /** The table of rules and weights versions, written by the operator. */
  virtual std::string_view operator_table() const = 0;
  /** The table in which backend servers register themselves. */
  virtual std::string_view server_table() const = 0;
  /** Whether the row holds the rules. */
  virtual bool IsRules(std::string_view key) const = 0;
  /** Parses the rules; returns null and sets `fault` if they are unreadable. */
  virtual std::shared_ptr<const Rules> ReadRules(std::string_view value,
                                                 std::string& fault) const = 0;
  /** The model and its target weights version, if the row holds one. */
  virtual std::optional<std::pair<std::string, std::int64_t>> ReadWeights(
      std::string_view key,
      std::string_view value) const = 0;
  /** Parses a server row; returns nothing and sets `fault` if it is invalid. */
  virtual std::optional<BackendServer> ReadServer(std::string_view key,
                                                  std::string_view value,
                                                  std::string& fault) const = 0;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_FLEET_SOURCE_H_
