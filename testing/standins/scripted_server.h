// A backend server whose responses are scripted by a test byte for byte:
// complete, truncated, late, duplicated, or missing.
#ifndef TESTING_STANDINS_SCRIPTED_SERVER_H_
#define TESTING_STANDINS_SCRIPTED_SERVER_H_

#include <atomic>
#include <chrono>
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
  std::string bytes;    // Sent unchanged.
  bool close = false;   // Closes the connection afterwards.
  bool silent = false;  // Sends nothing, stays connected.
  bool reset = false;   // Resets the connection afterwards.
  bool crash = false;   // Ends the server: it refuses connections from now on.
  std::string later = {};  // Sent some time after `bytes`.
  std::chrono::milliseconds later_after{0};
};

/**
 * Serves each connection on its own thread and records every request as it was
 * received.
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
  /** The requests so far, each with head and body. */
  std::vector<std::string> requests() const;
  /** How many connections have ended. */
  int closed() const { return closed_connections_.load(); }
  bool crashed() const { return stopping_.load(); }

 private:
  void Accept();
  void Serve(boost::asio::ip::tcp::socket socket);
  void Crash();

  Script script_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  std::vector<int> sockets_;
  std::vector<std::thread> threads_;
  std::atomic<int> closed_connections_{0};
  std::atomic<bool> stopping_{false};
  std::thread accept_thread_;
};

}  // namespace peridotgate::standins

#endif  // TESTING_STANDINS_SCRIPTED_SERVER_H_
