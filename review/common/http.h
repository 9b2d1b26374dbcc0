// Blocking HTTP/1.1 messages over loopback sockets, for the stand-ins and the
// callers of the review's cases.
#ifndef REVIEW_COMMON_HTTP_H_
#define REVIEW_COMMON_HTTP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/** Compares header names without case. */
struct IgnoreCase {
  bool operator()(const std::string& a, const std::string& b) const;
};

/** A request or a response. */
struct Message {
  std::string start_line;
  std::map<std::string, std::string, IgnoreCase> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  /** The second word of the start line: a target, or a status. */
  std::string Word(int index) const;
};

/** A connected socket. Closes on destruction. */
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** Connects to a loopback address; null on failure. */
  static std::shared_ptr<Connection> Open(const std::string& host,
                                          std::uint16_t port);

  /** Sends all bytes; returns false when the connection is over. */
  bool Write(std::string_view bytes) const;
  /** Reads the head of the next message; returns false at the end. */
  bool ReadHead(Message& message);
  /** Reads a body with a length or in chunks, up to its end. Returns whether it
   * is complete. `on_bytes` gets each piece. */
  bool ReadBody(Message& message,
                const std::function<void(std::string_view)>& on_bytes = {});
  /** Limits each read. */
  void SetReadTimeout(Millis timeout) const;
  /** Waits up to `time` for the peer to close; returns whether it has. */
  bool WaitForClose(Millis time) const;
  /** Ends the connection with a reset. */
  void Reset();
  /** Ends the connection; pending reads of other threads return. */
  void Shutdown() const;

 private:
  bool Fill();
  bool ReadLine(std::string& line);

  int fd_;
  std::string buf_;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/** Listens on a loopback address and serves each connection on a thread. */
class Listener {
 public:
  using Handler = std::function<void(const ConnectionPtr&)>;

  /** Port 0 chooses a free one. */
  Listener(std::string host, std::uint16_t port, Handler handler);

  const std::string& host() const { return host_; }
  std::uint16_t port() const { return port_; }
  std::string address() const { return host_ + ":" + std::to_string(port_); }
  /** Stops listening and resets all connections, as a killed process does. */
  void Kill();

 private:
  struct State;
  std::string host_;
  std::uint16_t port_ = 0;
  std::shared_ptr<State> state_;
};

/** A port of `host` that nothing listens on. */
std::uint16_t FreePort(const std::string& host);

/** A response with a length. */
std::string Response(int status,
                     const std::map<std::string, std::string>& headers,
                     std::string_view body);

}  // namespace review

#endif  // REVIEW_COMMON_HTTP_H_
