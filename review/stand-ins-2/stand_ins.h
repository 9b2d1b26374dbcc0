// Stand-ins for the cases of review/: the platform's row store, backend
// servers, clients, and the gateways as separate processes. Blocking sockets,
// one thread a connection; loopback addresses only.
#ifndef REVIEW_STAND_INS_2_STAND_INS_H_
#define REVIEW_STAND_INS_2_STAND_INS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/** Writes `record.txt` and the standard output, with the time since start. */
class Record {
 public:
  explicit Record(const std::string& path);
  void Add(const std::string& line);
  double Seconds() const;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

struct Message {
  std::string start_line;
  std::map<std::string, std::string> fields;  // Names in lower case.
  std::string body;
  std::string Get(const std::string& name) const;
};

/** Reads one message; nothing if the connection ended before its end. A
 * response without a length ends with the connection. */
std::optional<Message> ReadMessage(int fd, std::string& rest, bool response);
bool WriteAll(int fd, std::string_view bytes);
std::string MakeResponse(int status,
                         const std::string& body,
                         const std::string& fields = "");

/** A listening socket whose connections are served by threads. */
class Server {
 public:
  /** Answers one request; returns the bytes to send, or nothing to close. */
  using Handler = std::function<std::optional<std::string>(const Message&)>;

  Server(const std::string& host, int port, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int port() const { return port_; }

 private:
  void Accept();
  void Serve(int fd);

  Handler handler_;
  int port_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::condition_variable closed_;
  std::set<int> open_;  // Each is served by a detached thread.
  std::thread acceptor_;
};

/** The platform's store: tables of rows with versions, and a feed. */
class RowStore {
 public:
  RowStore();
  int port() const { return server_->port(); }
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);

 private:
  struct Row {
    std::string value;  // Base64.
    std::int64_t version = 0;
    bool removed = false;
  };

  std::optional<std::string> Handle(const Message& request);
  std::string Rows(const std::string& table,
                   std::int64_t after,
                   bool removed_too);
  std::string Tail() const;
  std::string Transact(const std::string& body);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::int64_t version_ = 1;
  std::unique_ptr<Server> server_;
};

/** A gateway process, started with the command of the deploy file. */
class Gateway {
 public:
  Gateway(const std::string& host,
          const std::string& name,
          int store_port,
          const std::vector<std::string>& seeds,
          int memory_mb,
          int descriptors);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Signal(int number) const;
  /** Whether the process still runs; its wait status once it has ended. */
  bool Runs();
  int status() const { return status_; }
  /** Resident memory, in KiB. */
  std::int64_t ResidentKb() const;
  bool WaitUntilReady(Millis limit) const;
  const std::string& host() const { return host_; }

  /** The ports, the same for all gateways; free when the first one asks. */
  static int CallersPort();
  static int ReadyPort() { return CallersPort() + 1; }
  static int PeersPort() { return CallersPort() + 2; }
  static int OperatorsPort() { return CallersPort() + 3; }

 private:
  std::string host_;
  pid_t pid_ = 0;
  int status_ = 0;
};

/** Connects; -1 on failure. */
int Connect(const std::string& host, int port);
/** Sends one request on a new connection; nothing without a whole answer. */
std::optional<Message> Ask(const std::string& host,
                           int port,
                           const std::string& request,
                           Millis limit);
int StatusOf(const std::optional<Message>& answer);
std::int64_t NumberIn(const std::string& json, const std::string& name);
std::string TextIn(const std::string& json, const std::string& name);
std::string NewId();
std::int64_t UnixMs();
/** Whether the disruption is left out: TROUBLE=0. */
bool WithoutTrouble();

}  // namespace review

#endif  // REVIEW_STAND_INS_2_STAND_INS_H_
