// The answering side of one caller's connection, and the watch over whether
// the caller is still there.
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

/** One caller's connection. Belongs to the traffic duty. */
class CallerStream : public std::enable_shared_from_this<CallerStream> {
 public:
  explicit CallerStream(asio::ip::tcp::socket socket);

  beast::tcp_stream& stream() { return stream_; }
  beast::flat_buffer& buf() { return buf_; }

  /** Sends a whole answer. `keep` says whether the connection goes on. */
  asio::awaitable<bool> Send(const ResponseHead& head,
                             std::string_view body,
                             bool keep,
                             bool body_expected);
  /** Sends the head of a chunked answer with the first bytes of its body. */
  asio::awaitable<bool> BeginChunks(const ResponseHead& head,
                                    std::string_view bytes,
                                    bool keep);
  /** Sends a piece of a chunked answer. */
  asio::awaitable<bool> WriteChunk(std::string_view bytes);
  /** Ends a chunked answer so that the caller knows it is whole. */
  asio::awaitable<bool> EndChunks();
  /** Closes at once; an answer under way looks cut off. */
  void Abort();

  /** Calls `gone` once if the caller closes. */
  void Watch(std::function<void()> gone);
  void StopWatching();

  bool gone() const { return gone_; }
  /** Asks the socket whether the caller has closed, also when the event that
   * tells so waits behind others or behind bytes that were not read. */
  bool HasClosed();
  bool aborted() const { return aborted_; }

 private:
  asio::awaitable<bool> WriteAll(std::string text);
  void WaitForClose();

  beast::tcp_stream stream_;
  beast::flat_buffer buf_;
  std::function<void()> on_gone_;
  bool watching_ = false;
  bool gone_ = false;
  bool aborted_ = false;
};

/** The head as it goes over the wire, without the empty line. */
std::string FormatHead(const ResponseHead& head);

}  // namespace peridotgate::gateway

#endif  // GATEWAY_CALLER_STREAM_H_
