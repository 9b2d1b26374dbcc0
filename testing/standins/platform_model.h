// The table service of the stand-in platform: rows, conditional writes and
// transactions.
#ifndef TESTING_STANDINS_PLATFORM_MODEL_H_
#define TESTING_STANDINS_PLATFORM_MODEL_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

#include <boost/json.hpp>

namespace peridotgate::standins {

/** A response of the table service: an HTTP status and a JSON body. */
struct TableAnswer {
  unsigned status = 200;
  boost::json::object body;
};

/** A subset of the DynamoDB 2012-08-10 protocol over one table. */
class TableModel {
 public:
  /** Executes `operation`, the last part of X-Amz-Target. */
  TableAnswer Call(std::string_view operation, const boost::json::object& body);

 private:
  struct Key {
    std::string partition;
    std::string sort;
    bool operator<(const Key& other) const {
      return std::tie(partition, sort) < std::tie(other.partition, other.sort);
    }
    bool operator==(const Key&) const = default;
  };

  static Key KeyOf(const boost::json::object& item);
  TableAnswer GetItem(const boost::json::object& body) const;
  TableAnswer Query(const boost::json::object& body) const;
  TableAnswer TransactWriteItems(const boost::json::object& body);
  bool ConditionHolds(const boost::json::object& operation,
                      const Key& key) const;

  std::map<Key, boost::json::object> rows_;
  std::set<std::string> applied_tokens_;
};

}  // namespace peridotgate::standins

#endif  // TESTING_STANDINS_PLATFORM_MODEL_H_
