#include "standins/platform_model.h"

#include <utility>
#include <vector>

namespace peridotgate::standins {
namespace {

// Size limit of a page of query results, as in the real service.
constexpr std::size_t kPageBytes = 1000000;
// The service rejects transactions with more rows, or with a row twice.
constexpr std::size_t kMaxTransactionRows = 100;

namespace json = boost::json;

constexpr unsigned kBadRequest = 400;

std::string StringAttribute(const json::value& attribute) {
  return json::value_to<std::string>(attribute.at("S"));
}

TableAnswer MakeError(std::string_view type) {
  return {kBadRequest,
          {{"__type", std::string("com.amazonaws.dynamodb.v20120810#") +
                          std::string(type)}}};
}

}  // namespace

TableModel::Key TableModel::KeyOf(const json::object& item) {
  return {StringAttribute(item.at("pk")), StringAttribute(item.at("sk"))};
}

TableAnswer TableModel::Call(std::string_view operation,
                             const json::object& body) {
  try {
    if (operation == "GetItem") {
      return GetItem(body);
    }
    if (operation == "Query") {
      return Query(body);
    }
    if (operation == "TransactWriteItems") {
      return TransactWriteItems(body);
    }
  } catch (const std::exception&) {
    return MakeError("ValidationException");
  }
  return MakeError("UnknownOperationException");
}

TableAnswer TableModel::GetItem(const json::object& body) const {
  auto it = rows_.find(KeyOf(body.at("Key").as_object()));
  TableAnswer answer;
  if (it != rows_.end()) {
    answer.body["Item"] = it->second;
  }
  return answer;
}

TableAnswer TableModel::Query(const json::object& body) const {
  const json::value& values = body.at("ExpressionAttributeValues");
  Key after{StringAttribute(values.at(":pk")),
            StringAttribute(values.at(":after"))};
  const auto limit = body.at("Limit").to_number<std::size_t>();
  json::array items;
  TableAnswer answer;
  std::size_t bytes = 0;
  for (auto it = rows_.upper_bound(after);
       it != rows_.end() && it->first.partition == after.partition &&
       items.size() < limit;
       ++it) {
    bytes += it->second.at("body").at("B").as_string().size();
    if (bytes > kPageBytes && !items.empty()) {
      const json::object& last = items.back().as_object();
      answer.body["LastEvaluatedKey"] =
          json::object{{"pk", last.at("pk")}, {"sk", last.at("sk")}};
      break;
    }
    items.push_back(it->second);
  }
  answer.body["Items"] = std::move(items);
  return answer;
}

bool TableModel::ConditionHolds(const json::object& operation,
                                const Key& key) const {
  const json::value* condition = operation.if_contains("ConditionExpression");
  if (condition == nullptr) {
    return true;
  }
  auto it = rows_.find(key);
  if (condition->as_string() == "attribute_not_exists(pk)") {
    return it == rows_.end();
  }
  return it != rows_.end() &&
         it->second.at("v").at("N") ==
             operation.at("ExpressionAttributeValues").at(":expected").at("N");
}

TableAnswer TableModel::TransactWriteItems(const json::object& body) {
  const auto token = json::value_to<std::string>(body.at("ClientRequestToken"));
  if (applied_tokens_.contains(token)) {
    return {};
  }
  const json::array& items = body.at("TransactItems").as_array();
  if (items.empty() || items.size() > kMaxTransactionRows) {
    return MakeError("ValidationException");
  }
  std::vector<std::pair<Key, const json::object*>> writes;
  std::set<Key> keys;
  for (const json::value& it : items) {
    const json::object& item = it.as_object();
    const bool put = item.contains("Put");
    const json::object& operation = item.at(put ? "Put" : "Delete").as_object();
    const json::object& key_source =
        operation.at(put ? "Item" : "Key").as_object();
    const Key key = KeyOf(key_source);
    if (!keys.insert(key).second) {
      return MakeError("ValidationException");
    }
    if (!ConditionHolds(operation, key)) {
      return MakeError("TransactionCanceledException");
    }
    writes.emplace_back(key, put ? &key_source : nullptr);
  }
  for (const auto& [key, item] : writes) {
    if (item == nullptr) {
      rows_.erase(key);
    } else {
      rows_[key] = *item;
    }
  }
  applied_tokens_.insert(token);
  return {};
}

}  // namespace peridotgate::standins
