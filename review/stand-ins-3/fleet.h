// What the cases share: a store, replicas, gateways and the operator's rows.
#ifndef REVIEW_STAND_INS_3_FLEET_H_
#define REVIEW_STAND_INS_3_FLEET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gateways.h"
#include "net.h"
#include "replica.h"
#include "row_store.h"

namespace review {

// Exit status of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

inline constexpr const char* kModel = "daka510000";
inline constexpr const char* kRouteHost = "jepu9.example";

/** The figures of the sheet that the cases need. */
inline constexpr Millis kContact{3000};
inline constexpr Millis kConfigDeadline{2000};
inline constexpr Millis kMaxStretch{5000};
inline constexpr Millis kLease{3000};

struct FleetOptions {
  std::size_t engines = 3;
  std::size_t plain = 3;
  // As in `ReplicaOptions`.
  bool in_pieces = false;
  bool empty_in_chunks = false;
};

/** A small deployment: one gateway in each of three zones. */
class Fleet {
 public:
  Fleet(const std::string& folder, const FleetOptions& options, Record& record);

  RowStore& store() { return store_; }
  Gateways& gateways() { return gateways_; }
  std::vector<std::unique_ptr<Replica>>& engines() { return engines_; }
  const std::vector<std::unique_ptr<Replica>>& plain() const { return plain_; }

  /** Starts all gateways; false if they don't get ready. */
  bool Start();
  /** The operator's configuration; a key is left out if it was taken away.
   * Returns whether the store acknowledged it. */
  bool SendConfiguration(std::int64_t version, bool with_second_key);
  /** Names new weights. Returns whether the store acknowledged it. */
  bool NameWeights(std::int64_t version);
  /** The store is away for `away` and comes back from a copy of the time
   * `copied`. The operator and the replicas write again what they had written;
   * the operator's newest configuration comes first. */
  void Drill(TimePoint copied, Millis away);
  /** Waits until all engines have the version. */
  bool WaitForWeights(std::int64_t version, Millis timeout) const;

 private:
  json::object Configuration() const;

  Record& record_;
  RowStore store_;
  std::vector<std::unique_ptr<Replica>> engines_;
  std::vector<std::unique_ptr<Replica>> plain_;
  Gateways gateways_;
  std::int64_t configuration_ = 0;
  bool with_second_key_ = true;
  std::int64_t weights_ = 1;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_3_FLEET_H_
