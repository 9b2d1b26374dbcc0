// A backend server that answers as a test tells it, byte for byte: whole,
// truncated, late, twice, or not at all.
#ifndef TESTING_STANDINS_SCRIPTED_SERVER_H_
#define TESTING_STANDINS_SCRIPTED_SERVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace peridotgate::standins {

/** What the server does with one request. */
struct ScriptedAnswer {
  std::string bytes;    // Sent as they are.
  bool close = false;   // Ends the connection after them.
  bool silent = false;  // Sends nothing and keeps the connection.
};

/**
 * One connection at a time is read on a thread of its own; every request is
 * kept as it came.
 *
 *     ScriptedServer server([](const std::string& request) {
 *       return ScriptedAnswer{"HTTP/1.1 200 OK\r\n...", false, false};
 *     });
 */
class ScriptedServer {
 public:
  using Script = std::function<ScriptedAnswer(const std::string& request)>;

  explicit ScriptedServer(Script script);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::uint16_t port() const { return port_; }
  /** The requests so far, head and body. */
  std::vector<std::string> requests() const;
  /** Connections that the other side has closed. */
  int closed() const { return closed_.load(); }

 private:
  void Accept();
  void Serve(boost::asio::ip::tcp::socket socket);

  Script script_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  std::vector<int> sockets_;
  std::vector<std::thread> threads_;
  std::atomic<int> closed_{0};
  std::atomic<bool> stopping_{false};
  std::thread accepting_;
};

}  // namespace peridotgate::standins

#endif  // TESTING_STANDINS_SCRIPTED_SERVER_H_
