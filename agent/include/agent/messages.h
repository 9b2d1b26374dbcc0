// Messages between the agent's event-loop threads: peers (links to entries),
// backend (calls to the server) and platform (claims in the table).
#ifndef AGENT_MESSAGES_H_
#define AGENT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "coordination/ids.h"
#include "wire/codec.h"

namespace peridotgate::agent {

using coordination::Id128;

/** One attempt at a request. */
struct AttemptId {
  Id128 request_id;
  std::int32_t attempt = 0;
  auto operator<=>(const AttemptId&) const = default;
};

/** Peers to backend: send this call to the server. */
struct BackendCall {
  AttemptId id;
  wire::Dispatch dispatch;
};

/** Peers to backend: abort this call. */
struct BackendCancel {
  AttemptId id;
};

using BackendCommand = std::variant<BackendCall, BackendCancel>;

/** Status and content type of the server's response. */
struct BackendHead {
  std::int32_t status = 0;
  std::string content_type;
};

/** One event of a streamed response, or a non-streamed response's body. */
struct BackendData {
  std::string bytes;
};

/** Token counts that the server reported. */
struct BackendUsage {
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t output_tokens = 0;
};

/** The response is complete. */
struct BackendEnd {
  BackendUsage usage;
};

/** The call failed; if `handed_over`, the server may have run it. If `crashed`,
 * the server has ended meanwhile: it accepts no connection. */
struct BackendFailure {
  bool handed_over = true;
  std::string detail;
  bool crashed = false;
};

/** Backend to peers: progress of a call. */
struct BackendEvent {
  AttemptId id;
  std::variant<BackendHead, BackendData, BackendEnd, BackendFailure> what;
};

/** Backend to peers: the server started, with an empty cache. */
struct EngineStarted {
  std::int64_t incarnation = 0;
  std::int64_t weights_version = 0;
};

/** Backend to peers: the cache state is unknown until `EngineStarted`. */
struct EngineLost {};

/** Backend to peers: the server stored a block in its prefix cache. */
struct BlockStored {
  std::uint64_t block = 0;
  Id128 request_id;
  std::int32_t piece = 0;  // Index in the request's `prefix_keys`.
};

/** Backend to peers: the server evicted a block from its prefix cache. */
struct BlockRemoved {
  std::uint64_t block = 0;
};

using CacheEvent =
    std::variant<EngineStarted, EngineLost, BlockStored, BlockRemoved>;

using BackendReport = std::variant<BackendEvent, CacheEvent>;

/** An idempotency key, scoped to an organisation and a kind of call. */
struct ClaimKey {
  std::string organisation;
  std::string kind;
  std::string key;

  bool operator==(const ClaimKey&) const = default;
  bool operator<(const ClaimKey& other) const {
    return std::tie(organisation, kind, key) <
           std::tie(other.organisation, other.kind, other.key);
  }
};

/** Peers to platform: claim this key for this attempt. */
struct ClaimRequest {
  AttemptId id;
  ClaimKey key;
  std::string body_digest;
  Id128 attempt_token;
};

/** Result of trying to claim an idempotency key. */
enum class ClaimOutcome {
  kClaimed,       // Only this attempt may run.
  kReplay,        // The record holds the response of an earlier run.
  kUnfinished,    // An earlier attempt owns the key; it may have run.
  kKeyReused,     // The key was used with a different body.
  kPlatformDown,  // No claim was made, or it is being released.
};

/** Platform to peers: the result of a `ClaimRequest`. */
struct ClaimAnswer {
  AttemptId id;
  ClaimOutcome outcome = ClaimOutcome::kPlatformDown;
  wire::ClaimRecord record;
};

/** Peers to platform: store a claimed run's response, or release the claim. */
struct ClaimResult {
  ClaimKey key;
  wire::ClaimRecord record;
};

using PlatformCommand = std::variant<ClaimRequest, ClaimResult>;

}  // namespace peridotgate::agent

template <>
struct std::hash<peridotgate::agent::AttemptId> {
  std::size_t operator()(
      const peridotgate::agent::AttemptId& id) const noexcept {
    return std::hash<peridotgate::coordination::Id128>()(id.request_id) +
           static_cast<std::size_t>(id.attempt);
  }
};

#endif  // AGENT_MESSAGES_H_
