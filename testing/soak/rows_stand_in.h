// A stand-in for the platform's store of rows, by its published protocol, with
// faults that the soak switches on.
#ifndef TESTING_SOAK_ROWS_STAND_IN_H_
#define TESTING_SOAK_ROWS_STAND_IN_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "runtime/http.h"

namespace peridotgate::soak {

namespace asio = boost::asio;
namespace json = boost::json;

/** What the store does with calls now. */
struct StoreFaults {
  bool down = false;          // 503, and nothing is done.
  bool lose_answers = false;  // Done, and the connection ends unanswered.
};

/** Tables of rows with versions, conditions and a feed. */
class RowsStandIn {
 public:
  explicit RowsStandIn(asio::io_context& context) : context_(context) {}

  /** Serves one call. */
  asio::awaitable<void> Handle(runtime::HttpRequest request,
                               runtime::HttpExchange& exchange);

  /** Writes a row as the operator or a server does. */
  void Put(const std::string& table,
           const std::string& key,
           const json::object& value);
  void Remove(const std::string& table, const std::string& key);
  /** Feeds that are behind are told that the history is gone. */
  void ForgetHistory() { history_from_ = version_; }

  StoreFaults faults;

 private:
  struct Row {
    std::string value;  // Base64.
    std::int64_t version = 0;
    bool removed = false;
  };
  using Table = std::map<std::string, Row>;

  runtime::HttpResponse Transact(const std::string& body);
  runtime::HttpResponse Get(std::string_view target) const;
  asio::awaitable<runtime::HttpResponse> Feed(std::string target);
  json::array Rows(const std::string& table,
                   std::int64_t after,
                   bool removed_too) const;
  void Changed();

  asio::io_context& context_;
  std::map<std::string, Table> tables_;
  std::int64_t version_ = 0;
  std::int64_t history_from_ = 0;
  std::set<asio::steady_timer*> waiting_;
};

}  // namespace peridotgate::soak

#endif  // TESTING_SOAK_ROWS_STAND_IN_H_
