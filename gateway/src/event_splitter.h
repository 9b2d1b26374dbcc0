// Finds the boundaries of server-sent events without changing their bytes, so
// that only whole events are passed on and a broken stream can be taken up
// again after the last of them.
#ifndef GATEWAY_EVENT_SPLITTER_H_
#define GATEWAY_EVENT_SPLITTER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgate::gateway {

/** One event as it came, with its id if it has one. */
struct WholeEvent {
  std::string_view bytes;  // Valid until the next call of the splitter.
  std::string_view id;
};

/**
 * Fed with pieces of any size.
 *
 *     splitter.Feed("id: 1\ndata: a\n\nid: 2");
 *     splitter.Next();  // "id: 1\ndata: a\n\n"
 *     splitter.rest();  // "id: 2"
 */
class EventSplitter {
 public:
  /** The most that one event may hold, in bytes. */
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  void Feed(std::string_view piece);

  /** The next whole event, or nothing yet. */
  std::optional<WholeEvent> Next();

  /** What came after the last whole event. */
  std::string_view rest() const {
    return std::string_view(buf_).substr(offset_);
  }

  bool overflowed() const { return rest().size() > kMaxEventBytes; }

 private:
  std::string buf_;
  std::size_t offset_ = 0;   // Of the first event that was not handed out.
  std::size_t scanned_ = 0;  // No event ends between the two.
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_EVENT_SPLITTER_H_
