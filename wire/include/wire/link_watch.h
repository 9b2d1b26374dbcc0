// Detects connections that have stopped receiving or are no longer needed.
#ifndef WIRE_LINK_WATCH_H_
#define WIRE_LINK_WATCH_H_

namespace peridotgate::wire {

/** Why a link is kept open. */
enum class LinkUse {
  kWaiting,    // Requests are waiting for the peer.
  kIdle,       // No request is waiting, but the peer may get more.
  kForgotten,  // No request is waiting, and the peer is no longer a member.
};

/** The action to take on a link. */
enum class LinkStep {
  kNothing,
  kAsk,    // Send a keep-alive message that the peer replies to.
  kClose,  // The link is dead, at least in one direction.
  kDrop,   // The link is no longer needed.
};

/** Ticks without a message, or without a use, before each `LinkStep`. */
struct LinkPatience {
  int ask_after_ticks = 0;
  int close_after_ticks = 0;
  int drop_after_ticks = 0;
};

/**
 * Keep-alive state of one link. A connection whose peer has died, or that loses
 * all packets in one direction, does not close by itself. A link with waiting
 * requests is therefore probed when no message arrives, and closed when it
 * stays silent. A link to a process that is no longer known is kept for a
 * while, so that final messages still get through. Timeouts are counted in
 * ticks, not in elapsed time, so that a process that was paused reads the
 * messages that arrived meanwhile before it closes a link.
 */
class LinkWatch {
 public:
  explicit LinkWatch(LinkPatience patience) : timeouts_(patience) {}

  /** Call for each message from the peer. */
  void OnHeard() { quiet_ticks_ = 0; }

  /** Call on each tick; returns the action to take. */
  LinkStep OnTick(LinkUse use) {
    unneeded_ticks_ = use == LinkUse::kForgotten ? unneeded_ticks_ + 1 : 0;
    if (use != LinkUse::kWaiting) {
      quiet_ticks_ = 0;
      const bool drop = use == LinkUse::kForgotten &&
                        unneeded_ticks_ >= timeouts_.drop_after_ticks;
      return drop ? LinkStep::kDrop : LinkStep::kNothing;
    }
    ++quiet_ticks_;
    if (quiet_ticks_ >= timeouts_.close_after_ticks) {
      return LinkStep::kClose;
    }
    return quiet_ticks_ >= timeouts_.ask_after_ticks ? LinkStep::kAsk
                                                     : LinkStep::kNothing;
  }

 private:
  LinkPatience timeouts_;
  int quiet_ticks_ = 0;
  int unneeded_ticks_ = 0;
};

}  // namespace peridotgate::wire

#endif  // WIRE_LINK_WATCH_H_
