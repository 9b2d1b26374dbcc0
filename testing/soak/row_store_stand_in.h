// A stand-in for the platform's row store. It implements the published protocol
// and faults that the soak run switches on.
#ifndef TESTING_SOAK_ROW_STORE_STAND_IN_H_
#define TESTING_SOAK_ROW_STORE_STAND_IN_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "runtime/http.h"

namespace peridotgate::soak {

namespace asio = boost::asio;
namespace json = boost::json;

/** Faults that are active now. */
struct StoreFaults {
  bool down = false;            // Answers 503 without effect.
  bool lose_responses = false;  // Applies the call and closes the connection.
};

/** Tables of versioned rows with conditional writes and a change feed. */
class RowStoreStandIn {
 public:
  explicit RowStoreStandIn(asio::io_context& context) : context_(context) {}

  /** Serves one call. */
  asio::awaitable<void> Handle(runtime::HttpRequest request,
                               runtime::HttpExchange& exchange);

  /** Writes a row as an operator or a server would. */
  void Put(const std::string& table,
           const std::string& key,
           const json::object& value);
  void Remove(const std::string& table, const std::string& key);
  /** The keys of the rows of a table. */
  std::vector<std::string> Keys(const std::string& table) const;
  /** Drops the history: feeds that are behind are answered with 410. */
  void TrimHistory() { history_start_ = version_; }

  /** Keeps a copy of all rows. */
  void Backup();
  /** Comes back from the copy in a new era: what was written since is lost, and
   * versions are given out again. */
  void Restore();

  StoreFaults faults;

 private:
  struct Row {
    std::string value;  // Base64.
    std::int64_t version = 0;
    bool removed = false;
  };
  using Table = std::map<std::string, Row>;
  struct Content {
    std::map<std::string, Table> tables;
    std::int64_t version = 0;
  };

  asio::awaitable<void> Send(runtime::HttpResponse response,
                             runtime::HttpExchange& exchange) const;
  runtime::HttpResponse Transact(const std::string& body);
  runtime::HttpResponse Get(std::string_view target) const;
  asio::awaitable<runtime::HttpResponse> Feed(std::string target);
  json::array Rows(const std::string& table,
                   std::int64_t after,
                   bool include_removed) const;
  void WakeFeeds();

  asio::io_context& context_;
  std::map<std::string, Table> tables_;
  std::int64_t version_ = 0;
  std::int64_t history_start_ = 0;
  std::int64_t era_ = 1;
  Content backup_;
  std::set<asio::steady_timer*> feed_timers_;
};

}  // namespace peridotgate::soak

#endif  // TESTING_SOAK_ROW_STORE_STAND_IN_H_
