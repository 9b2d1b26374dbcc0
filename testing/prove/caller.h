// Client calls through an entry, with the parsed results.
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
  std::string booking;  // Non-repeatable kind.
  std::string lookup;   // Repeatable kind of the same service.
  std::string chat;     // Streamed kind.
};

Organisation Brazos();
Organisation Tapetes();

/** The result of a call as its caller saw it. */
struct CallResult {
  bool answered = false;   // A complete HTTP response arrived.
  bool timed_out = false;  // Neither a response nor a close in time.
  unsigned status = 0;
  std::string outcome;  // From the problem document.
  std::string title;
  std::string body;
  std::string request_id;
  bool replayed = false;

  bool ok() const { return answered && status == 200; }
};

/** A booking or lookup call to the service. */
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
  std::vector<std::string> leading;  // Messages before the prompt.
  std::string prompt;
  std::int64_t tokens = 64;
  std::int64_t hang_up_after = -1;          // Number of events; -1: never.
  std::chrono::milliseconds read_pause{0};  // Between reads.
  std::string last_event_id;
};

/** The result of a streamed chat. */
struct StreamResult {
  unsigned status = 0;
  std::vector<std::string> texts;  // One per event.
  std::string last_event_id;
  std::string text_after_done;
  bool done = false;             // Received [DONE].
  bool error = false;            // Received an error event.
  bool timed_out = false;        // No data within the idle timeout.
  bool connection_lost = false;  // Closed before [DONE] or an error event.
  std::string outcome;           // From a refusal or an error event.
  std::string title;             // From a refusal.
};

asio::awaitable<StreamResult> CallChat(asio::io_context& context,
                                       runtime::Endpoint entry,
                                       Organisation organisation,
                                       ChatCall call);

/** The texts that the stand-in engine generates for `call`. */
std::vector<std::string> ExpectedTexts(const ChatCall& call);

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_CALLER_H_
