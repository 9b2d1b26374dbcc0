// Claims idempotency keys in the platform's table.
#ifndef AGENT_CLAIMS_H_
#define AGENT_CLAIMS_H_

#include <cstddef>
#include <memory>
#include <string>

#include "agent/messages.h"
#include "platform/object_store.h"
#include "platform/table.h"
#include "runtime/duty.h"

namespace peridotgate::agent {

/** Settings of `Claims`. */
struct ClaimSettings {
  std::string instance;
  std::size_t max_batch = 50;  // Maximum writes in one transaction.
  // Longer responses are stored as objects.
  std::size_t row_answer_bytes = 256 << 10;
};

/**
 * Runs on the platform thread. A claim row is created only if absent and is
 * never taken over from another attempt, so the right to run depends on no
 * clock. If a write gets no reply, the row is read back. Concurrent claims
 * share a transaction. Responses too long for a row are stored in `objects`; if
 * it is null or can't be read, a replay reports the run without its response.
 */
class Claims {
 public:
  Claims(runtime::Duty& duty,
         platform::Table& table,
         runtime::Port<ClaimAnswer>& answers,
         runtime::Metrics& metrics,
         ClaimSettings settings,
         platform::ObjectStore* objects = nullptr);
  ~Claims();

  void OnCommand(PlatformCommand command);

  /** Number of results and releases not yet in the table. Thread-safe. */
  std::size_t pending() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_CLAIMS_H_
