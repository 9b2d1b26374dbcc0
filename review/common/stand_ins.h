// Stand-ins for the platform's store and for replicas, after PROTOCOL.md.
#ifndef REVIEW_COMMON_STAND_INS_H_
#define REVIEW_COMMON_STAND_INS_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "http.h"

namespace review {

namespace json = boost::json;

/** The platform's store: rows-tx, rows-get and rows-feed. */
class Store {
 public:
  Store();

  std::string address() const { return listener_->address(); }
  /** Writes a row as the operator or a replica does. */
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);

 private:
  struct Row {
    std::string value;
    std::int64_t version = 0;
    bool removed = false;
  };

  void Serve(const ConnectionPtr& connection);
  std::string Answer(const Message& request);
  std::string Transact(const std::string& body);
  std::string Feed(const std::string& target);
  json::array Rows(const std::string& table, std::int64_t after, bool removed);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::int64_t version_ = 0;
  std::unique_ptr<Listener> listener_;
};

struct ReplicaOptions {
  std::string id;
  std::string service;
  std::string zone = "zone-a";
  int slots = 64;
  std::map<std::string, std::int64_t> models;
};

/** A replica. Requests that it accepts are passed to `work`, which answers. */
class Replica {
 public:
  using Work = std::function<void(const Message&, const ConnectionPtr&)>;

  Replica(Store& store, ReplicaOptions options, Work work);

  const std::string& id() const { return options_.id; }
  std::string address() const { return listener_->address(); }
  /** Writes the row, and again every 1,200 ms until it is removed. */
  void Register();
  /** Removes the row; goes on serving. */
  void Deregister();
  /** Ends as a killed process does. The platform removes the row at once. */
  void Kill();
  std::int64_t Version(const std::string& model);

  /** The headers of an answer to the request. */
  std::map<std::string, std::string> Headers(const Message& request);

 private:
  void Serve(const ConnectionPtr& connection);
  std::string Report();
  int Order(const std::string& body);
  std::string Row();

  Store& store_;
  ReplicaOptions options_;
  Work work_;
  std::mutex mutex_;
  bool registered_ = false;
  std::int64_t beats_ = 0;
  std::int64_t orders_ = 0;
  bool busy_ = false;
  std::int64_t born_ms_ = 0;
  std::unique_ptr<Listener> listener_;
};

}  // namespace review

#endif  // REVIEW_COMMON_STAND_INS_H_
