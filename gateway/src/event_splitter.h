// Splits a stream into server-sent events without changing their bytes, so that
// only complete events are forwarded and a broken stream can be resumed after
// the last of them.
#ifndef GATEWAY_EVENT_SPLITTER_H_
#define GATEWAY_EVENT_SPLITTER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgate::gateway {

/** One unmodified event, with its id if it has one. */
struct WholeEvent {
  std::string_view bytes;  // Valid until the next call of the splitter.
  std::string_view id;
};

/**
 * Incremental; accepts input in pieces of any size.
 *
 *     splitter.Feed("id: 1\ndata: a\n\nid: 2");
 *     splitter.Next();  // "id: 1\ndata: a\n\n"
 *     splitter.rest();  // "id: 2"
 */
class EventSplitter {
 public:
  /** Maximum size of one event, in bytes. */
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  void Feed(std::string_view piece);

  /** The next complete event, or nothing yet. */
  std::optional<WholeEvent> Next();

  /** The bytes after the last complete event. */
  std::string_view rest() const {
    return std::string_view(buf_).substr(offset_);
  }

  /** Whether `rest` is the beginning of an event, rather than empty lines or a
   * comment. */
  bool inside_event() const;

  bool overflowed() const { return rest().size() > kMaxEventBytes; }

 private:
  std::string buf_;
  std::size_t offset_ = 0;   // Start of the first event not returned yet.
  std::size_t scanned_ = 0;  // No event ends between `offset_` and here.
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_EVENT_SPLITTER_H_
