// A stand-in for one replica: it registers in the store, reports, takes orders
// to load weights, and answers plain requests.
#ifndef REVIEW_STAND_INS_3_REPLICA_H_
#define REVIEW_STAND_INS_3_REPLICA_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "row_store.h"

namespace review {

/** An order as it arrived at a replica. */
struct Order {
  std::int64_t at_ms = 0;
  std::string holder;
  std::int64_t fence = 0;
  std::int64_t version = 0;
  unsigned status = 0;
};

/** A request that a replica ran. */
struct Run {
  std::int64_t at_ms = 0;
  std::string request;
  std::string tenant;
};

struct ReplicaOptions {
  std::string service;
  std::string zone;
  std::string model;  // Empty: a plain service.
  int slots = 6;
  // Whether the end of an answer in chunks arrives in several segments.
  bool in_pieces = false;
  // Whether accepted orders are answered with an empty body in chunks.
  bool empty_in_chunks = false;
};

class Replica {
 public:
  Replica(const std::string& host,
          std::string id,
          ReplicaOptions options,
          RowStore& store,
          Record& record);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  const std::string& id() const { return id_; }
  /** Writes the entry in the store. */
  void Register();
  /** The operator named this version, so that orders for it are valid. */
  void Name(std::int64_t version);
  std::int64_t version() const;
  std::vector<Order> orders() const;
  std::vector<Run> runs() const;

 private:
  bool Handle(const Request& request, Peer& peer);
  bool SendEmpty(const Peer& peer, const std::string& head) const;
  Response TakeOrder(const Request& request);
  Response Report();
  void FinishLoading();

  std::string id_;
  ReplicaOptions options_;
  RowStore& store_;
  Record& record_;
  std::int64_t born_ms_ = 0;
  mutable std::mutex mutex_;
  std::set<std::int64_t> named_{1};
  std::int64_t version_ = 1;
  std::int64_t loading_ = 0;
  TimePoint loaded_at_{};
  std::int64_t sequence_ = 0;
  std::vector<Order> orders_;
  std::vector<Run> runs_;
  std::atomic<bool> stopping_{false};
  Server server_;
  std::thread heartbeat_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_3_REPLICA_H_
