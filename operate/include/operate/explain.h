// Finds what became of one request in the event logs of all processes.
#ifndef OPERATE_EXPLAIN_H_
#define OPERATE_EXPLAIN_H_

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgate::operate {

/**
 * Reads event logs and tells the story of one request: its lines in order, and
 * before each process's first one what that process believed.
 *
 *     Explanation explanation("9c41d07be2a35f68");
 *     explanation.Read(file);
 *     for (const std::string& it : explanation.Story()) { Print(it); }
 *
 * Lines of one process are ordered by its sequence, which no clock disturbs;
 * processes by the Unix time of their first line.
 */
class Explanation {
 public:
  explicit Explanation(std::string request) : request_(std::move(request)) {}

  /** Takes a log; what is no event is passed over. */
  void Read(std::istream& log);

  /** One line each; empty when the request is in no log. */
  std::vector<std::string> Story() const;

 private:
  struct Line {
    std::string instance;
    std::int64_t life = 0;  // Which start of the process, by file order.
    std::int64_t sequence = 0;
    std::int64_t unix_ms = 0;
    bool belief = false;  // Of the process, not about the request.
    std::string text;
  };

  std::string request_;
  std::vector<Line> lines_;
};

}  // namespace peridotgate::operate

#endif  // OPERATE_EXPLAIN_H_
