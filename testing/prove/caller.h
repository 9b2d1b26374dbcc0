// Callers that send work through an entry and check every byte they get.
#ifndef TESTING_PROVE_CALLER_H_
#define TESTING_PROVE_CALLER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "runtime/http.h"

namespace peridotgate::prove {

namespace asio = boost::asio;

/** An organisation of the demo's rules. */
struct Organisation {
  std::string name;
  std::string key;
  std::string booking;  // A kind that may not be repeated.
  std::string lookup;   // A kind of the same service that may.
  std::string chat;     // A streamed kind.
};

Organisation Brazos();
Organisation Tapetes();

/** How a call ended for its caller. */
struct CallResult {
  bool answered = false;   // An HTTP answer came whole.
  bool timed_out = false;  // Neither an answer nor an end came in time.
  unsigned status = 0;
  std::string outcome;  // Of a problem document.
  std::string title;
  std::string body;
  std::string request_id;
  bool replayed = false;

  bool ok() const { return answered && status == 200; }
};

/** A booking or a lookup at the plain service. */
struct ServiceCall {
  std::string kind;
  std::string path;
  std::string idempotency_key;
  std::string body;
};

asio::awaitable<CallResult> CallService(asio::io_context& context,
                                        runtime::Endpoint entry,
                                        Organisation organisation,
                                        ServiceCall call);

/** A streamed chat. */
struct ChatCall {
  std::string prompt;
  std::int64_t tokens = 64;
  std::int64_t hang_up_after = -1;          // Events after which to hang up.
  std::chrono::milliseconds read_pause{0};  // Pause between reads.
  std::string last_event_id;
};

/** What a streamed chat gave. */
struct StreamResult {
  unsigned status = 0;
  std::vector<std::string> texts;  // One an event.
  std::string last_event_id;
  std::string text_after_done;
  bool done = false;             // [DONE] came.
  bool error = false;            // An error event came.
  bool timed_out = false;        // Nothing came any more.
  bool connection_lost = false;  // The connection ended without either.
  std::string outcome;           // Of a refusal or an error event.
};

asio::awaitable<StreamResult> CallChat(asio::io_context& context,
                                       runtime::Endpoint entry,
                                       Organisation organisation,
                                       ChatCall call);

/** The texts that the stand-in engine answers `call` with. */
std::vector<std::string> ExpectedTexts(const ChatCall& call);

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_CALLER_H_
