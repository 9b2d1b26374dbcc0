// Messages exchanged between processes. Suffixes give the unit of times (`_us`,
// `_ms`). Costs are in tokens and sizes in bytes.
namespace cpp peridotgate.wire

// Outcome of a call, as far as the sender knows.
enum Outcome { kRan = 1, kNotRun = 2, kUnknown = 3 }

// Why a call was rejected or a stream ended early.
enum Reason {
  kNone = 0,
  kLeaving = 1,
  kStaleCache = 2,
  kStaleRules = 3,
  kQueueFull = 4,
  kWaitLimit = 5,
  kPlatformDown = 6,
  kKeyReused = 7,
  kInProgress = 8,
  kRevoked = 9,
  kBackendFailed = 10,
  kBadMessage = 11,
  kNoSuchStream = 12,
  kCancelled = 13,
  kNoBackend = 14,
  kLateAnswer = 15,
  kLimit = 16,
  kQuarantinedPart = 17
}

enum Role { kEntry = 1, kAgent = 2 }
enum MemberState { kAlive = 1, kSuspect = 2, kLeaving = 3, kGone = 4 }
enum OrderKind { kLoad = 1, kUnload = 2, kRole = 3 }

struct Id { 1: i64 high, 2: i64 low }

// First message on a connection, in both directions, and its keep-alive. One
// with protocol 0 requests a reply.
struct Hello {
  1: i32 protocol, 2: string instance, 3: string data_centre,
  4: i64 incarnation, 5: i64 config_version
}

// Datagram: asks an agent for its load and for how much of a prompt prefix its
// server has cached.
struct ProbeRequest {
  1: i64 probe_id, 2: string organisation, 3: list<i64> prefix_keys,
  4: i64 prompt_tokens
}

// `wait_us` is the queueing time expected for the organisation in the request.
struct ProbeReply {
  1: i64 probe_id, 2: i64 engine_incarnation, 3: i64 weights_version,
  4: i32 held_pieces, 5: i32 in_flight, 6: i32 queued, 7: i64 wait_us,
  8: bool leaving, 9: i64 prefill_us_per_piece, 10: double slowness,
  11: i32 long_in_flight
}

// A call sent to the agent next to the chosen server.
struct Dispatch {
  1: Id request_id, 2: i32 attempt, 3: i64 config_version,
  4: string organisation, 5: string kind, 6: string target,
  7: string method, 8: string path, 9: string content_type, 10: binary body,
  11: list<i64> prefix_keys, 12: i64 engine_incarnation,
  13: i64 weights_version, 14: bool streamed, 15: i64 resume_position,
  16: bool repeatable, 17: string idempotency_key, 18: i64 wait_limit_us,
  19: i64 prompt_tokens, 20: i64 output_tokens, 21: string traceparent,
  22: bool second_attempt, 23: double weight, 24: bool long_work,
  25: i32 priority, 26: string import_from, 27: list<i64> part_keys
}

struct ReplyHead {
  1: Id request_id, 2: i32 attempt, 3: i64 sequence, 4: i32 status,
  5: string content_type, 6: i64 position, 7: bool replayed
}

// One stream event. `position` is its 0-based index in the whole response.
struct ReplyChunk {
  1: Id request_id, 2: i32 attempt, 3: i64 sequence, 4: i64 position,
  5: binary data
}

// Explicit end of a reply. `sequence` is the number of messages before it, so
// that the receiver can detect missing messages.
struct ReplyEnd {
  1: Id request_id, 2: i32 attempt, 3: i64 sequence, 4: i64 position,
  5: Outcome outcome, 6: Reason reason, 7: string detail,
  8: i64 cached_tokens, 9: i64 prefill_tokens, 10: i64 output_tokens,
  11: i64 queue_us, 12: i64 first_token_us
}

struct Refusal {
  1: Id request_id, 2: i32 attempt, 3: Outcome outcome, 4: Reason reason,
  5: string detail, 6: i64 retry_after_ms, 7: i64 config_version
}

// Cancels an attempt. The result says whether it had already been handed to the
// backend server.
struct Cancel { 1: Id request_id, 2: i32 attempt }
// `incarnation` is the agent's. The result is valid only for this incarnation.
struct CancelResult {
  1: Id request_id, 2: i32 attempt, 3: Outcome outcome, 4: i64 incarnation
}

// Flow control: the receiver can accept events up to `position` of the whole
// response.
struct StreamCredit { 1: Id request_id, 2: i32 attempt, 3: i64 position }

// Resumes a retained stream after `position` events.
struct Attach {
  1: Id request_id, 2: string organisation, 3: i64 position, 4: i32 attempt
}

// Configuration. A change replaces whole sections. Between processes, `content`
// may be a delta: it omits the first `same_prefix` and last `same_suffix` bytes
// that it shares with the previous content, and `checksum` covers the complete
// content. If all three are 0, `content` is complete.
struct ConfigSection {
  1: string name, 2: binary content, 3: bool removed, 4: i32 same_prefix,
  5: i32 same_suffix, 6: i32 checksum
}
struct ConfigChange {
  1: i64 version, 2: Id change_id, 3: string author, 4: i64 at_ms,
  5: string answers_digest, 6: list<ConfigSection> sections
}
struct ConfigDigest { 1: i64 version, 2: string instance }
struct ConfigPull { 1: i64 version }
// If `snapshot` is set, `changes` holds the changes whose sections are in
// force: all of them, or those of piece `piece` (0-based) of `pieces`.
// Otherwise `changes` are consecutive, or hold one piece of a single change.
// If `pieces` is 0, the push is not split.
struct ConfigPush {
  1: bool snapshot, 2: list<ConfigChange> changes, 3: i32 piece, 4: i32 pieces
}

// Membership, spread by gossip. An entry with a higher (incarnation, revision)
// supersedes a lower one.
struct Member {
  1: string instance, 2: Role role, 3: string data_centre, 4: string address,
  5: i32 port, 6: i64 incarnation, 7: i64 revision, 8: MemberState state,
  9: string target, 10: i64 weights_version, 11: i64 config_version
}
struct MemberUpdate { 1: list<Member> members }

// Service received by each organisation, for fair shares across all servers.
// Sums are aggregated from servers to entries to data centres, and the total is
// sent back down.
enum ShareStage {
  kFromServer = 1, kFromEntry = 2, kFromDataCentre = 3, kTotal = 4
}
struct ServiceUse { 1: string organisation, 2: i64 cost_tokens, 3: bool backlogged }
struct ShareReport {
  1: string instance, 2: i64 period, 3: list<ServiceUse> uses,
  4: ShareStage stage
}

// An order to a backend server, with the fencing token of the lease holder.
struct Order {
  1: Id order_id, 2: string lease, 3: i64 fencing_token, 4: OrderKind kind,
  5: string model, 6: string adapter, 7: i64 weights_version, 8: string role
}
struct OrderResult {
  1: Id order_id, 2: bool accepted, 3: i64 highest_token, 4: string detail
}

// Rules, stored as the content of configuration sections.
struct KindRules {
  1: string name, 2: bool repeatable, 3: i64 wait_limit_ms, 4: double share,
  5: string target, 6: bool second_attempt, 7: i64 prompt_tokens,
  8: i64 output_tokens, 9: i64 first_token_objective_ms,
  10: i64 token_gap_objective_ms, 11: double objective_ratio
}
struct OrganisationRules {
  1: string name, 2: double share, 3: list<string> key_digests,
  4: string default_kind, 5: list<KindRules> kinds
}
struct TargetRules {
  1: string name, 2: bool engine, 3: bool checks_fencing_token,
  4: i64 weights_version, 5: i64 max_loads
}
struct FleetRules {
  1: list<TargetRules> targets, 2: list<string> operator_key_digests
}

// Between gateways: progress of the roll-out of weights.
struct RolloutServer {
  1: string id, 2: string model, 3: i64 version, 4: bool switching
}
struct RolloutNotice { 1: string instance, 2: list<RolloutServer> servers }
// A gateway's current load on the backend servers; the highest sequence wins. A
// notice without `whole` lists only changes since the previous one.
// `memory_tokens`: KV cache that its requests there are expected to need, shared
// parts not included.
struct ServerUse {
  1: string id, 2: i32 in_flight, 3: i64 unread_tokens, 4: i64 memory_tokens
}
// A prompt sent to a server, as hashes of its parts in order.
struct SentPrompt { 1: string server, 2: list<i64> parts, 3: list<i32> tokens }
// What an instance knows of servers that crashed on a part of a request. Parts
// and servers are hashes; times are relative to the sending.
struct CrashFact { 1: i64 server, 2: i64 age_ms, 3: list<i64> suspects }
struct SoundFact { 1: i64 part, 2: i64 age_ms }
struct QuarantineFact {
  1: i64 part, 2: i64 age_ms, 3: i64 left_ms, 4: i64 held_ms, 5: i32 crashes,
  6: i32 servers, 7: i32 level
}
struct CrashFacts {
  1: list<CrashFact> crashes, 2: list<SoundFact> sound,
  3: list<QuarantineFact> quarantines
}
// Quota units that the sender has charged to an organisation since it started,
// refunds deducted, and its estimate of the organisation's bucket over all
// gateways.
struct QuotaUse { 1: i64 organisation, 2: i64 charged, 3: i64 level }
// A server whose answers say that it is leaving; `born_ms` tells incarnations
// under the same id apart.
struct LeavingServer { 1: string id, 2: i64 born_ms }
// A server's own limit in requests a second over all gateways (0: it names none
// any more), `age_us` after the answer that said so; what the sender charged since
// it started, and its copy of the bucket, in thousandths of requests.
struct ServerLimit {
  1: string id, 2: i64 born_ms, 3: double per_s, 4: i64 age_us, 5: i64 charged,
  6: i64 level
}
struct UseNotice {
  1: i64 incarnation, 2: i64 sequence, 3: list<ServerUse> uses,
  4: list<SentPrompt> prompts, 5: bool whole, 6: CrashFacts crash_facts,
  7: list<QuotaUse> quotas, 8: list<LeavingServer> leaving, 9: i64 uptime_ms,
  10: list<ServerLimit> limits
}
// One gateway's copy of rows of the platform's store, for gateways that don't
// read the store themselves. `age_ms`: time since the store confirmed the rows.
// `from_store`: the sender reads the store, and its last calls were answered.
// A part of a row's value: `size` bytes at `offset` of the receiver's copy of the
// row, or the next `size` bytes of the literals if `offset` is negative.
struct RowPiece { 1: i64 offset, 2: i64 size }
// Builds the value of a row from the receiver's copy of the row at `base_version`
// of `base_era` (0: of literals only). `literals` is in zlib format, `literal_bytes` long when
// inflated; `checksum` is the XXH3-64 hash of the value.
struct RowPatch {
  1: i64 base_version, 2: list<RowPiece> pieces, 3: binary literals,
  4: i64 literal_bytes, 5: i64 checksum, 6: i64 base_era
}
struct RowCopy {
  1: string key, 2: binary value, 3: i64 version, 4: bool removed,
  5: optional RowPatch patch
}
struct TableCopy {
  1: string name, 2: i64 version, 3: bool whole, 4: list<RowCopy> rows,
  5: i64 era
}
struct FeedCopy {
  1: i64 age_ms, 2: list<TableCopy> tables, 3: bool from_store
}
// Versions are those of the store's `era`; those of the rows too.
// The table version up to which the sender has all rows; 0: it has none.
// `rows` are the large rows that it has.
struct RowMark { 1: string key, 2: i64 version }
struct TableMark {
  1: string name, 2: i64 version, 3: list<RowMark> rows, 4: i64 era
}
// `patches`: whether large rows may come as patches.
struct FeedQuery { 1: i64 wait_ms, 2: list<TableMark> tables, 3: bool patches }

// A claim on an idempotency key, stored in the platform's table. Claims are
// never transferred: `attempt_token` identifies the only attempt that may run.
enum ClaimState { kClaimed = 1, kDone = 2, kNotRun = 3 }
struct ClaimRecord {
  1: Id attempt_token, 2: string agent, 3: string body_digest,
  4: ClaimState state, 5: i32 status, 6: string content_type, 7: binary body,
  8: i64 at_ms
}
