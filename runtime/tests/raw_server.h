// A server for tests that writes scripted bytes on raw sockets, one thread for
// each connection.
#ifndef RUNTIME_TESTS_RAW_SERVER_H_
#define RUNTIME_TESTS_RAW_SERVER_H_

#include <array>
#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "runtime/settings_reader.h"

namespace peridotgate::runtime {

/** Writes all of `bytes`; errors are those of a peer that has closed. */
inline void WriteRaw(boost::asio::ip::tcp::socket& socket,
                     std::string_view bytes) {
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
}

/** Calls a function for each chunk of bytes that arrives, in general a request,
 * with its number over all connections. */
class RawServer {
 public:
  using tcp = boost::asio::ip::tcp;
  using Serve = std::function<void(tcp::socket& socket, int request)>;

  explicit RawServer(Serve serve)
      : serve_(std::move(serve)),
        acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
        port_(acceptor_.local_endpoint().port()),
        thread_([this] { Accept(); }) {}
  ~RawServer() {
    stopping_ = true;
    boost::asio::io_context context;
    tcp::socket last(context);
    boost::system::error_code ignored;
    last.connect({boost::asio::ip::address_v4::loopback(), port_}, ignored);
    thread_.join();
    for (std::thread& it : threads_) {
      it.join();
    }
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  Endpoint endpoint() const { return {"127.0.0.1", port_}; }
  /** How many connections were accepted. */
  int connections() const { return connections_; }

 private:
  void Accept() {
    while (true) {
      tcp::socket socket(context_);
      acceptor_.accept(socket);
      if (stopping_) {
        return;
      }
      ++connections_;
      threads_.emplace_back([this, socket = std::move(socket)]() mutable {
        std::array<char, 4096> buf{};
        boost::system::error_code ec;
        while (socket.is_open() &&
               socket.read_some(boost::asio::buffer(buf), ec) > 0 && !ec) {
          serve_(socket, ++requests_);
        }
      });
    }
  }

  Serve serve_;
  std::atomic<int> requests_{0};
  std::atomic<int> connections_{0};
  std::atomic<bool> stopping_{false};
  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::uint16_t port_;
  std::list<std::thread> threads_;
  std::thread thread_;
};

}  // namespace peridotgate::runtime

#endif  // RUNTIME_TESTS_RAW_SERVER_H_
