// Splits a stream of server-sent events into the data of each event.
#ifndef AGENT_SSE_H_
#define AGENT_SSE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgate::agent {

/**
 * Takes input in pieces of any size and returns complete events as in the HTML
 * standard: lines end with LF, CR or CRLF, a byte order mark may come first,
 * data lines are joined with LF, and comments and other fields are ignored. An
 * event is complete only after an empty line.
 *
 *     splitter.Feed("data: a\r\ndata: b\r\n\r\n");
 *     splitter.Next();  // "a\nb"
 */
class SseSplitter {
 public:
  /** Maximum size of one event. */
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  void Feed(std::string_view piece) { buf_.append(piece); }

  /** The data of the next complete event, or `nullopt` if there is none yet. */
  std::optional<std::string> Next();

  /** Whether an incomplete event exceeds `kMaxEventBytes`. */
  bool overflowed() const {
    return data_.size() + buf_.size() - offset_ > kMaxEventBytes;
  }

 private:
  std::optional<std::string_view> NextLine();
  void ParseField(std::string_view line);
  std::optional<std::string> TakeEvent();

  std::string buf_;
  std::size_t offset_ = 0;   // Start of the first unread line in `buf_`.
  std::size_t scanned_ = 0;  // No line ends between `offset_` and here.
  bool first_line_ = true;
  bool after_cr_ = false;  // An LF that comes next belongs to the CR.
  std::string data_;       // Data lines of the event, each followed by LF.
};

}  // namespace peridotgate::agent

#endif  // AGENT_SSE_H_
