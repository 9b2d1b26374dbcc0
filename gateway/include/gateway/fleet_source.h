// Where rules, backend servers and weights are told, and where order givers
// agree on one: the platform's store behind an interface.
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
#include "gateway/fleet_view.h"

namespace peridotgate::gateway {

namespace asio = boost::asio;
using coordination::Result;

/** What is known after a failed call to the store. */
enum class StoreError {
  kUnavailable,  // Refused: nothing took effect.
  kUnknown,      // No answer: it may have taken effect, or still may.
  kConflict,     // A condition did not hold: nothing took effect.
  kThrottled,    // Refused for its rate: nothing took effect.
  kHistoryGone,  // What has changed can't be told: read everything again.
  kMalformed,    // An answer in a form that this client does not know.
};

/** A short name for counters and logs. */
std::string_view Name(StoreError error);

/** A row of the store; `version` grows with each change of any row. */
struct StoredRow {
  std::string key;
  std::string value;
  std::int64_t version = 0;
  bool removed = false;
};

/** Rows of a table as of one version of the store. */
struct StoredRows {
  std::vector<StoredRow> rows;
  std::int64_t version = 0;
};

/** A tables service with conditions and a feed of changes. */
class Store {
 public:
  virtual ~Store() = default;
  /** All rows of a table, as of one moment or later. */
  virtual asio::awaitable<Result<StoredRows, StoreError>> ReadAll(
      std::string table) = 0;
  /** What changed after a version; waits up to `wait` for a first change. */
  virtual asio::awaitable<Result<StoredRows, StoreError>> Follow(
      std::string table,
      std::int64_t after,
      std::chrono::milliseconds wait) = 0;
  /** Writes a row if it has the `expected` version (0: does not exist);
   * without one, whatever it has. The new version. */
  virtual asio::awaitable<Result<std::int64_t, StoreError>> Write(
      std::string table,
      std::string key,
      std::string value,
      std::optional<std::int64_t> expected) = 0;
};

/** The tables whose rows tell of the fleet, and what those rows say. */
class FleetFormat {
 public:
  virtual ~FleetFormat() = default;
  /** The table of rules and weights, which the operator writes. */
  virtual std::string_view operator_table() const = 0;
  /** The table in which backend servers register themselves. */
  virtual std::string_view server_table() const = 0;
  /** Whether the row holds the rules. */
  virtual bool IsRules(std::string_view key) const = 0;
  /** The rules in a row; null with `fault` filled when it is unreadable. */
  virtual std::shared_ptr<const Rules> ReadRules(std::string_view value,
                                                 std::string& fault) const = 0;
  /** The model and version in a row that names weights, if it does. */
  virtual std::optional<std::pair<std::string, std::int64_t>> ReadWeights(
      std::string_view key,
      std::string_view value) const = 0;
  /** The server in a row; nothing with `fault` filled when it names none. */
  virtual std::optional<BackendServer> ReadServer(std::string_view key,
                                                  std::string_view value,
                                                  std::string& fault) const = 0;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_FLEET_SOURCE_H_
