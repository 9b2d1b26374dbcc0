// What one gateway believes of each backend server, and which server a request
// is placed on. Takes time and events as arguments; does no I/O.
#ifndef GATEWAY_SERVER_BOOK_H_
#define GATEWAY_SERVER_BOOK_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/clock.h"
#include "gateway/fleet_view.h"
#include "gateway/protocol.h"

namespace peridotgate::gateway {

using coordination::TimePoint;

/** What a request needs of the server that it is placed on. */
struct Need {
  std::string_view service;
  std::string_view model;  // Empty for plain services.
  std::span<const PromptPart> prompt;
  std::string_view cache_scope;  // Parts are shared within it only.
  std::string_view data_centre;  // Of this gateway; wins between equals.
  std::span<const std::string> avoided;  // Servers already tried.
};

/** Where a request goes, and what the server should know. */
struct Placement {
  std::string server_id;
  runtime::Endpoint address;
  std::string model;  // Empty for plain services.
  std::optional<std::int64_t> weights_version;
  double cost_ms = 0;               // Predicted time to the first byte.
  std::int64_t tokens_missing = 0;  // Of the prompt, to be computed there.
  std::optional<runtime::Endpoint> fetch_from;  // Holds more of the prompt.
  std::string copied_from;         // The server at `fetch_from`, if it is one.
  std::int64_t copied_tokens = 0;  // What is looked for there.
  std::optional<runtime::Endpoint> save_to;  // Should keep the prompt too.
  std::string saved_key;  // Under which the book remembers that it was saved.
};

/** How an attempt at one server ended, as far as it speaks for the server. */
enum class AttemptOutcome {
  kServed,
  kRefused,  // Truthfully not run: full, or not the server expected.
  kFailed,   // An error of the server, or its connection broke.
  kUnreachable,
  kNeutral,  // Ended by the caller or by a deadline that was short.
};

/** What a gateway has at one server now. */
struct ServerUse {
  std::string server_id;
  int in_flight = 0;
  std::int64_t unread_tokens = 0;  // Of prompts before their first byte.
  bool operator==(const ServerUse&) const = default;
};

/** A prompt that was sent to a server: its parts by hash, in order. */
struct SentPrompt {
  std::string server_id;
  std::vector<std::uint64_t> parts;
  std::vector<std::int32_t> tokens;
};

/** What is known anew of one cache store. */
struct CacheStoreNews {
  runtime::Endpoint store;
  bool reachable = false;
  bool emptied = false;  // It lost what it had before these events.
  std::vector<CacheEvent> events;
};

/** One server as operators see it. */
struct ServerStatus {
  std::string id;
  std::string service;
  int in_flight = 0;
  bool leaving = false;
  bool distrusted = false;
};

/**
 * Beliefs by server. Runs on the traffic duty.
 *
 *     auto place = book.Place(need, now);
 *     if (place) { book.OnDispatch(place->server_id, *place); ... }
 */
class ServerBook {
 public:
  /** Old weights are not used `old_weights_limit` after newer ones were named.
   */
  explicit ServerBook(
      Millis old_weights_limit = std::chrono::milliseconds(8500));
  ~ServerBook();

  /** Takes new beliefs; figures of servers that stay are kept. */
  void OnView(const FleetView& view, TimePoint now);

  /** The server with the least predicted time, or nothing when none may be
   * used. */
  std::optional<Placement> Place(const Need& need, TimePoint now) const;

  /** Whether any server of the service may be used at all. */
  bool HasServer(std::string_view service, TimePoint now) const;

  /** Whether the server still takes new requests. */
  bool MayUse(std::string_view server_id) const;

  /** Milliseconds until a place is likely to be free at the service. */
  Millis ReturnAfter(std::string_view service) const;

  void OnDispatch(const Placement& placement, const Need& need, TimePoint now);
  void OnHead(const Placement& placement,
              const ServerHead& head,
              TimePoint now);
  /** The first byte of a body came: the prompt was read. */
  void OnFirstByte(const Placement& placement);
  void OnEnd(const Placement& placement, AttemptOutcome outcome, TimePoint now);

  /** What this gateway has at each server that it uses now. */
  std::vector<ServerUse> OwnUse() const;
  /** The prompts that this gateway sent since the last call. */
  std::vector<SentPrompt> TakeSent();
  /** Prompts that another gateway sent. */
  void OnPeerSent(std::span<const SentPrompt> prompts, TimePoint now);
  /** What another gateway has at servers: all of it, in place of what it told
   * before, or only what changed since. */
  void OnPeerUse(std::string_view peer,
                 std::span<const ServerUse> uses,
                 bool whole,
                 TimePoint now);

  void OnCacheStore(const CacheStoreNews& news);

  /** The server refused since its weights have another version. */
  void OnOtherVersion(std::string_view server_id,
                      std::string_view model,
                      std::optional<std::int64_t> version);

  /** Another process has the server's address: it is not used again. */
  void OnOtherIncarnation(std::string_view server_id);

  std::vector<ServerStatus> Status(TimePoint now) const;

 private:
  struct Contents;
  std::unique_ptr<Contents> contents_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_SERVER_BOOK_H_
