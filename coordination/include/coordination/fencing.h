// Tracks the highest fencing token and rejects orders with older tokens.
#ifndef COORDINATION_FENCING_H_
#define COORDINATION_FENCING_H_

#include <algorithm>
#include <cstdint>

namespace peridotgate::coordination {

/** Whether an order may be carried out. */
enum class FenceVerdict {
  kAccepted,
  kStale,    // A higher token was seen in an order or in the table.
  kUnknown,  // The current token has not been read since startup.
};

/**
 * Checks the fencing tokens of orders for one server. It rejects all orders
 * until the current token has been read from the table, so that stale orders
 * are rejected even after a restart.
 *
 *     FencingGate gate;
 *     gate.OnCurrentToken(7);
 *     gate.Admit(6);  // kStale
 */
class FencingGate {
 public:
  /** Records the current token from the table. */
  void OnCurrentToken(std::int64_t token) {
    known_ = true;
    highest_ = std::max(highest_, token);
  }

  /** Decides whether to accept an order, and records its token if so. */
  FenceVerdict Admit(std::int64_t token) {
    if (!known_) {
      return FenceVerdict::kUnknown;
    }
    if (token < highest_) {
      return FenceVerdict::kStale;
    }
    highest_ = token;
    return FenceVerdict::kAccepted;
  }

  bool known() const { return known_; }
  std::int64_t highest() const { return highest_; }

 private:
  bool known_ = false;
  std::int64_t highest_ = 0;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_FENCING_H_
