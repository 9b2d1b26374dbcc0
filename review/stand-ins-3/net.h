// Blocking HTTP/1.1 for the stand-ins of these cases: a server with one thread
// for each connection, and a client for one request. Loopback only.
#ifndef REVIEW_STAND_INS_3_NET_H_
#define REVIEW_STAND_INS_3_NET_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using Millis = std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

inline TimePoint Now() {
  return std::chrono::steady_clock::now();
}

/** Writes one line for each thing that was sent, answered or run. */
class Record {
 public:
  explicit Record(const std::string& path) : file_(path), began_(Now()) {}
  void Line(const std::string& text);
  /** Milliseconds since the start. */
  std::int64_t At() const;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  TimePoint began_;
};

/** Names of headers are in lower case. */
using Headers = std::map<std::string, std::string>;

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

struct Response {
  unsigned status = 0;  // 0: the connection is closed without an answer.
  Headers headers;
  std::string body;
};

/** One connection that the server accepted. */
class Peer {
 public:
  explicit Peer(int fd) : fd_(fd) {}
  bool Read(Request& request);
  bool Write(std::string_view bytes) const;
  bool Send(const Response& response) const;
  int fd() const { return fd_; }

 private:
  bool Fill();

  int fd_;
  std::string buf_;
};

/** Writes the whole answer, or returns false to close the connection. */
using Handler = std::function<bool(const Request&, Peer&)>;

class Server {
 public:
  Server(const std::string& host, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return port_; }
  std::string address() const { return host_ + ":" + std::to_string(port_); }
  /** Resets all connections that are open. */
  void ResetAll();

 private:
  void Accept();
  void Serve(int fd);

  std::string host_;
  Handler handler_;
  std::uint16_t port_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
};

/** Sends one request on a new connection. No value: no complete answer. */
std::optional<Response> Fetch(const std::string& host,
                              std::uint16_t port,
                              const Request& request,
                              Millis timeout);

/** A port of `host` that nobody listens on. */
std::uint16_t FreePort(const std::string& host);

}  // namespace review

#endif  // REVIEW_STAND_INS_3_NET_H_
