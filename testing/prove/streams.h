// Streamed chats under faults. Every event is compared with the text that the
// stand-in engine generates for the prompt.
#ifndef TESTING_PROVE_STREAMS_H_
#define TESTING_PROVE_STREAMS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "prove/property.h"

namespace peridotgate::prove {

/** How the callers of a run behave. */
struct StreamBehaviour {
  std::int64_t hang_up_one_in = 0;  // 0: never.
  std::int64_t slow_one_in = 0;     // 0: never.
  std::int64_t min_tokens = 40;
  std::int64_t max_tokens = 200;
};

/** The streams of one run. */
class StreamWorkload {
 public:
  StreamWorkload(Run& run, StreamBehaviour behaviour)
      : run_(run), behaviour_(behaviour) {}

  /** Streams until the run is over. */
  asio::awaitable<void> Caller(std::size_t index);

 private:
  asio::awaitable<void> RunStream(std::string prompt);
  asio::awaitable<void> ResumeStream(Organisation organisation,
                                     ChatCall call,
                                     StreamResult result);
  void CheckStream(const ChatCall& call,
                   std::size_t first,
                   const StreamResult& result);

  Run& run_;
  StreamBehaviour behaviour_;
  std::uint64_t next_prompt_ = 0;
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_STREAMS_H_
