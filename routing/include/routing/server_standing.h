// What servers said in their answers about new requests: that they are leaving,
// or that they want none for a while. Answers the load of a server that stops
// or is out of room while the list of servers still calls it ready. No I/O.
#ifndef ROUTING_SERVER_STANDING_H_
#define ROUTING_SERVER_STANDING_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/clock.h"

namespace peridotgate::routing {

using coordination::TimePoint;

/** One incarnation of a server. */
struct Incarnation {
  std::string id;
  std::int64_t born_ms = 0;
  bool operator==(const Incarnation&) const = default;
};

/** What one answer of a server said. */
struct ServerNotice {
  Incarnation server;
  bool leaving = false;
  std::optional<coordination::Duration> pause;  // It wants nothing new so long.
  // Requests a second, from all gateways together.
  std::optional<double> limit_per_s = {};
  // The server itself answered a request that was sent at this time, and named
  // no limit.
  std::optional<TimePoint> unlimited_since = {};
};

/** How a server may be used. */
struct Standing {
  bool leaving = false;      // It said so itself: gets nothing new.
  bool reported = false;     // Only another gateway said so: the last choice.
  TimePoint paused_until{};  // Gets nothing new until then.
};

/** A pause of `seconds` that a server asked for; nothing if the figure is
 * invalid. Longer pauses than a minute count as one minute. */
std::optional<coordination::Duration> ReadPause(double seconds);

/**
 * Keeps what was said until a newer incarnation of the server is known. Marks
 * of another gateway alone must not empty a service, so they are kept apart.
 *
 *     if (standing.OnNotice(notice, now)) { Log(...); }
 *     if (standing.Of(id, born_ms).leaving) { ... }
 */
class ServerStanding {
 public:
  /** Records what a server said; returns whether it says anything new. */
  bool OnNotice(const ServerNotice& notice, TimePoint now);
  /** Records that another gateway was told that the server is leaving; returns
   * whether that is new. */
  bool OnReported(const Incarnation& server);

  Standing Of(std::string_view id, std::int64_t born_ms) const;

  /** Forgets servers that have not been listed for a long time. An entry that
   * is missing for a moment doesn't take back what the server said. */
  void OnListed(const std::function<bool(std::string_view id)>& listed,
                TimePoint now);

  /** The servers that said that they are leaving, up to `max` of them: the
   * next ones with each call, in turn. */
  std::vector<Incarnation> NextLeaving(std::size_t max);
  /** Those that said so since the last call. */
  std::vector<Incarnation> TakeNewLeaving();

 private:
  struct Entry {
    std::int64_t born_ms = 0;  // The newest incarnation that said something.
    bool leaving = false;
    TimePoint paused_until{};
    // The newest one that another gateway reported.
    std::optional<std::int64_t> reported_born_ms;
    TimePoint listed_at{};
  };

  std::map<std::string, Entry, std::less<>> entries_;
  std::vector<Incarnation> new_leaving_;
  std::string last_sent_;  // Where `NextLeaving` stopped.
};

}  // namespace peridotgate::routing

#endif  // ROUTING_SERVER_STANDING_H_
