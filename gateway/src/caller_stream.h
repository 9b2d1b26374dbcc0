// The sending side of one caller's connection, with detection of callers that
// disconnect.
#ifndef GATEWAY_CALLER_STREAM_H_
#define GATEWAY_CALLER_STREAM_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "gateway/protocol.h"

namespace peridotgate::gateway {

namespace beast = boost::beast;

/** One caller's connection. Used on the traffic thread. */
class CallerStream : public std::enable_shared_from_this<CallerStream> {
 public:
  explicit CallerStream(asio::ip::tcp::socket socket);

  beast::tcp_stream& stream() { return stream_; }
  beast::flat_buffer& buf() { return buf_; }

  /** Sends a complete response. `keep` says whether the connection stays open.
   * */
  asio::awaitable<bool> Send(const ResponseHead& head,
                             std::string_view body,
                             bool keep,
                             bool body_expected);
  /** Sends the head of a chunked response with the first bytes of its body. */
  asio::awaitable<bool> BeginChunks(const ResponseHead& head,
                                    std::string_view bytes,
                                    bool keep);
  /** Sends a part of the body of a chunked response. */
  asio::awaitable<bool> WriteChunk(std::string_view bytes);
  /** Ends a chunked response, which marks it as complete. */
  asio::awaitable<bool> EndChunks();
  /** Closes immediately; a response in progress looks truncated. */
  void Abort();

  /** Calls `gone` once if the caller closes the connection. */
  void Watch(std::function<void()> gone);
  void StopWatching();

  bool gone() const { return gone_; }
  /** Checks the socket for a close by the caller, even if its event is still
   * queued or unread bytes precede it. */
  bool HasClosed();
  bool aborted() const { return aborted_; }

 private:
  asio::awaitable<bool> WriteAll(std::string text, std::string_view body = "");
  void WaitForClose();

  beast::tcp_stream stream_;
  beast::flat_buffer buf_;
  std::function<void()> on_gone_;
  bool watching_ = false;
  bool gone_ = false;
  bool aborted_ = false;
};

/** Serialises the head, without the final empty line. */
std::string FormatHead(const ResponseHead& head);

}  // namespace peridotgate::gateway

#endif  // GATEWAY_CALLER_STREAM_H_
