// What all cases share: the record, the gateway's process, and callers.
#ifndef REVIEW_COMMON_SCENARIO_H_
#define REVIEW_COMMON_SCENARIO_H_

#include <sys/types.h>

#include <cstdint>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>

#include "http.h"
#include "stand_ins.h"

namespace review {

/** Exit codes of a case. */
enum class Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

/** Writes lines with the time since the start to `record.txt`. */
class Record {
 public:
  explicit Record(const std::string& path);
  void Add(const std::string& line);
  double Seconds() const;

 private:
  std::mutex mutex_;
  std::FILE* file_;
  Clock::time_point start_ = Clock::now();
};

/** One `peridotgate gateway`, as the deploy file starts it. */
class Gateway {
 public:
  Gateway(std::string name, const std::string& store, Record& record);
  ~Gateway() { Kill(); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /** Writes the settings file, as the platform does when settings change. */
  void WriteSettings(const std::string& retry_slack);
  /** The last line that the process wrote. */
  std::string LastOutput() const;
  bool Start();
  /** Kills the process and waits for its end. */
  void Kill();
  void Signal(int signal);
  /** Whether the process still runs. */
  bool Running();
  /** The memory of the process, in MB. */
  double MemoryMb() const;
  std::uint16_t port() const { return callers_; }
  /** Waits until it says that it is ready. */
  bool WaitUntilReady(Millis time) const;

 private:
  std::string name_;
  std::string store_;
  std::string settings_;
  std::string log_;
  Record& record_;
  std::uint16_t callers_;
  std::uint16_t readiness_;
  std::uint16_t peers_;
  std::uint16_t operators_;
  pid_t pid_ = -1;
};

/** A request of a caller. */
struct Request {
  std::string id;
  std::string method = "POST";
  std::string path;
  std::string key;
  std::int64_t deadline_ms = 4000;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Answer {
  int status = 0;         // 0: none.
  bool complete = false;  // The whole answer came.
  std::string body;
  std::string seal;
  std::int64_t version = 0;  // Of the weights.
};

constexpr const char* kHost = "shop.example";

/** Sends a request on the connection and reads the answer. */
Answer Exchange(Connection& connection, const Request& request);
/** The same on a connection of its own. */
Answer ExchangeOnce(std::uint16_t port, const Request& request);

/** The parts of a configuration. */
json::object Route(const std::string& prefix,
                   const std::string& kind,
                   const std::string& service,
                   std::int64_t timeout_ms,
                   std::int64_t slo_ms);
json::object EngineService(const std::string& name);
json::object PlainService(const std::string& name);
json::object Tenant(const std::string& name,
                    const std::string& key,
                    bool dedicated);
std::string Configuration(std::int64_t version,
                          json::array routes,
                          json::array services,
                          json::array tenants);

/** Ends the gateway and this process. Threads of stand-ins may still run. */
[[noreturn]] void Finish(Record& record, Gateway& gateway, Verdict verdict);

/** Whether the disruption is part of the run: TROUBLE isn't 0. */
bool Trouble();
void Sleep(Millis time);

}  // namespace review

#endif  // REVIEW_COMMON_SCENARIO_H_
