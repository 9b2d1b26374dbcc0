// Peers on the thread of the code under test, whose messages arrive in pieces.
#ifndef TESTING_HTTP_PIECEWISE_H_
#define TESTING_HTTP_PIECEWISE_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "runtime/settings_reader.h"

namespace peridotgate::runtime {

namespace asio = boost::asio;

using Pieces = std::vector<std::string_view>;

/** Splits `text` at the offsets `cuts`, which ascend. */
inline Pieces SplitAt(std::string_view text,
                      const std::vector<std::size_t>& cuts) {
  Pieces pieces;
  std::size_t begin = 0;
  for (const std::size_t it : cuts) {
    pieces.push_back(text.substr(begin, it - begin));
    begin = it;
  }
  pieces.push_back(text.substr(begin));
  return pieces;
}

/** Calls `check` with `text` whole, split once and twice at every byte from
 * `from` on, and byte by byte. */
inline void ForEachSplit(std::string_view text,
                         std::size_t from,
                         const std::function<void(const Pieces&)>& check) {
  check({text});
  for (std::size_t i = from; i < text.size(); ++i) {
    check(SplitAt(text, {i}));
    for (std::size_t j = i + 1; j < text.size(); ++j) {
      check(SplitAt(text, {i, j}));
    }
  }
  Pieces bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    bytes.push_back(text.substr(i, 1));
  }
  check(bytes);
}

/** Splits `text` into random pieces, many of them short. */
inline Pieces RandomSplit(std::string_view text) {
  constexpr std::size_t kMaxPiece = 9;
  std::minstd_rand random(
      static_cast<std::uint32_t>(std::hash<std::string_view>()(text)));
  Pieces pieces;
  while (!text.empty()) {
    const bool rest = random() % 16 == 0;
    const std::size_t n = rest ? text.size() : 1 + random() % kMaxPiece;
    pieces.push_back(text.substr(0, n));
    text.remove_prefix(std::min(n, text.size()));
  }
  return pieces;
}

/** Writes `pieces` and lets `context` handle each before the next. */
inline void WritePieces(asio::io_context& context,
                        asio::ip::tcp::socket& socket,
                        const Pieces& pieces) {
  boost::system::error_code ec;
  for (std::size_t i = 0; i < pieces.size() && !ec; ++i) {
    asio::write(socket, asio::buffer(pieces[i]), ec);
    context.poll();
  }
}

/** A server for one client on the thread of `context`. */
class PiecewiseServer {
 public:
  using tcp = asio::ip::tcp;

  explicit PiecewiseServer(asio::io_context& context)
      : context_(context),
        acceptor_(own_context_, {asio::ip::address_v4::loopback(), 0}) {
    acceptor_.non_blocking(true);
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

  /** Runs `client`, which sends one request, and answers with `response`; then
   * ends the connection if `close` is set. Returns false if the client has not
   * finished within some seconds. */
  bool Serve(asio::awaitable<void> client, const Pieces& response, bool close) {
    bool done = false;
    asio::co_spawn(context_, std::move(client),
                   [&done](const std::exception_ptr&) { done = true; });
    context_.restart();
    if (!WaitForRequest(done)) {
      return false;
    }
    WritePieces(context_, *socket_, response);
    if (close) {
      socket_.reset();
    }
    const auto end = Clock::now() + kTimeout;
    while (!done && Clock::now() < end) {
      context_.restart();
      context_.run_one_for(std::chrono::milliseconds(10));
    }
    context_.restart();
    context_.poll();
    return done;
  }

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr std::chrono::seconds kTimeout{5};

  // Accepts the client's new connection, if any, and reads its request.
  bool WaitForRequest(bool& done) {
    const auto end = Clock::now() + kTimeout;
    while (!done && Clock::now() < end) {
      context_.poll();
      boost::system::error_code ec;
      tcp::socket accepted = acceptor_.accept(ec);
      if (!ec) {
        socket_.emplace(std::move(accepted));
        socket_->set_option(tcp::no_delay(true));
      }
      if (socket_ && socket_->available(ec) > 0) {
        std::array<char, 4096> buf{};
        socket_->read_some(asio::buffer(buf), ec);
        return true;
      }
    }
    return false;
  }

  asio::io_context& context_;
  asio::io_context own_context_;
  tcp::acceptor acceptor_;
  std::optional<tcp::socket> socket_;
};

/** A client of a server on the thread of `context`. */
class PiecewiseClient {
 public:
  using tcp = asio::ip::tcp;

  PiecewiseClient(asio::io_context& context, Endpoint server)
      : context_(context), server_(std::move(server)) {}

  /** Sends `request`, and ends the sending side if `close` is set. Returns the
   * response, or what arrived before the connection ended or some seconds were
   * over. */
  std::string Exchange(const Pieces& request, bool close) {
    Connect();
    context_.restart();
    WritePieces(context_, *socket_, request);
    boost::system::error_code ec;
    if (close) {
      socket_->shutdown(tcp::socket::shutdown_send, ec);
    }
    std::string response;
    const bool kept = Read(response);
    if (!kept || close) {
      // A reset, so that many connections in a row leave no ports behind.
      socket_->set_option(asio::socket_base::linger(true, 0), ec);
      socket_.reset();
      context_.poll();
    }
    return response;
  }

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr std::chrono::seconds kTimeout{5};

  void Connect() {
    if (socket_) {
      return;
    }
    // A signal may interrupt the call, and after many connections in a row no
    // port may be free for a moment.
    const auto end = Clock::now() + kTimeout;
    boost::system::error_code ec;
    do {
      socket_.emplace(own_context_);
      socket_->connect({asio::ip::make_address(server_.address), server_.port},
                       ec);
    } while (ec && Clock::now() < end);
    socket_->set_option(tcp::no_delay(true));
    socket_->non_blocking(true);
  }

  // Returns whether the connection can be used again.
  bool Read(std::string& response) {
    const auto end = Clock::now() + kTimeout;
    while (Clock::now() < end) {
      context_.poll();
      std::array<char, 4096> buf{};
      boost::system::error_code ec;
      const std::size_t n = socket_->read_some(asio::buffer(buf), ec);
      response.append(buf.data(), n);
      if (ec && ec != asio::error::would_block) {
        return false;
      }
      if (IsComplete(response)) {
        return response.find("\r\nConnection: close\r\n") == std::string::npos;
      }
    }
    return false;
  }

  static bool IsComplete(const std::string& response) {
    constexpr std::string_view kLength = "\r\nContent-Length: ";
    const std::size_t head = response.find("\r\n\r\n");
    const std::size_t at = response.find(kLength);
    if (head == std::string::npos || at == std::string::npos || at > head) {
      return false;
    }
    return response.size() >=
           head + 4 + std::stoul(response.substr(at + kLength.size()));
  }

  asio::io_context& context_;
  Endpoint server_;
  asio::io_context own_context_;
  std::optional<tcp::socket> socket_;
};

}  // namespace peridotgate::runtime

#endif  // TESTING_HTTP_PIECEWISE_H_
