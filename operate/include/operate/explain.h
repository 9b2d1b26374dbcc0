// Reconstructs what happened to one request from all processes' event logs.
#ifndef OPERATE_EXPLAIN_H_
#define OPERATE_EXPLAIN_H_

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgate::operate {

/**
 * Builds the timeline of one request from event logs: its events in order, with
 * each process's last known state before its first event.
 *
 *     Explanation explanation("9c41d07be2a35f68");
 *     explanation.Read(file);
 *     for (const std::string& it : explanation.Timeline()) { Print(it); }
 *
 * Events of a process are ordered by its sequence number, as the wall clock may
 * jump; processes are ordered by the Unix time of their first event.
 */
class Explanation {
 public:
  explicit Explanation(std::string request) : request_(std::move(request)) {}

  /** Adds a log; skips lines that are not events. */
  void Read(std::istream& log);

  /** One line per event; empty if no log has the request. */
  std::vector<std::string> Timeline() const;

 private:
  struct Line {
    std::string instance;
    std::int64_t incarnation = 0;  // Counts process starts in file order.
    std::int64_t sequence = 0;
    std::int64_t unix_ms = 0;
    bool is_state = false;  // A state change of the process.
    std::string text;
  };

  std::string request_;
  std::vector<Line> lines_;
};

}  // namespace peridotgate::operate

#endif  // OPERATE_EXPLAIN_H_
