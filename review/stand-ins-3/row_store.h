// A stand-in for the platform's metadata store, in the form of tables. It keeps
// all of its changes, so that it can come back from a copy of some seconds ago.
#ifndef REVIEW_STAND_INS_3_ROW_STORE_H_
#define REVIEW_STAND_INS_3_ROW_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "net.h"

namespace review {

namespace json = boost::json;

class RowStore {
 public:
  RowStore(const std::string& host, Record& record);

  std::uint16_t port() const { return server_.port(); }

  /** Writes a row as the operator or a replica does. Returns its version, or 0
   * while the store is away. */
  std::int64_t Put(const std::string& table,
                   const std::string& key,
                   const json::object& value);

  /** Whether each call for the table of servers, one of four tables in use,
   * gets a 503, in chunks without a body, whose last bytes may arrive in
   * several segments. */
  void SetBusy(bool busy, bool in_pieces);
  /** From now on no call is answered: each connection is reset. */
  void GoAway();
  /** Comes back with the rows and versions of the time `copied`. `rewrite` then
   * writes the first rows again, before any call is answered. */
  void ComeBack(TimePoint copied, const std::function<void()>& rewrite);

 private:
  struct Row {
    std::string value;  // Base64.
    std::int64_t version = 0;
    bool removed = false;
  };
  struct Change {
    TimePoint at;
    std::string table;
    std::string key;
    Row row;
  };
  using Table = std::map<std::string, Row>;

  bool Handle(const Request& request, Peer& peer);
  static bool SendBusy(const Peer& peer, bool in_pieces);
  Response Transact(const std::string& body);
  Response Get(const std::string& target);
  Response Feed(const std::string& target);
  json::array RowsOf(const std::string& table,
                     std::int64_t after,
                     bool with_removed) const;
  Response Reply(unsigned status, json::object body) const;
  void Apply(const std::string& table, const std::string& key, Row row);

  Record& record_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Table> tables_;
  std::vector<Change> changes_;
  std::int64_t version_ = 0;
  std::int64_t era_ = 1;
  bool away_ = false;
  bool busy_ = false;
  bool busy_in_pieces_ = false;
  bool rewriting_ = false;
  Server server_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_3_ROW_STORE_H_
