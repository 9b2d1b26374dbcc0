// Cluster membership by SWIM-style gossip. Does no I/O: messages are passed in
// and returned as values, and time comes from the given clock.
#ifndef COORDINATION_MEMBERSHIP_H_
#define COORDINATION_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/clock.h"
#include "coordination/peers.h"

namespace peridotgate::coordination {

enum class MemberRole { kEntry, kAgent };

/** Of two records of equal age, the one with the later state here wins. */
enum class MemberState { kAlive, kSuspect, kLeaving, kGone };

/** A short name for logs and operators. */
std::string_view Name(MemberState state);

/** Gossiped record of one process. Only that process raises its revision. */
struct MemberRecord {
  std::string instance;
  MemberRole role = MemberRole::kAgent;
  std::string data_centre;
  PeerAddress address;
  std::string target;            // Model or service, for agents.
  std::int64_t incarnation = 0;  // Increases with each start; 0: only listed.
  std::int64_t revision = 0;
  MemberState state = MemberState::kAlive;
  std::int64_t weights_version = 0;  // Loaded by its server; 0: unknown.
  std::int64_t config_version = 0;
};

/** A member's record with what this process has observed locally. */
struct KnownMember {
  MemberRecord record;
  TimePoint last_heard;   // Last message received directly from the member.
  TimePoint state_since;  // When this process first saw the state.
};

/** Whether work may be sent to the process in its last known state. */
bool IsUsable(const KnownMember& member);

/** Member records to send. */
struct OutgoingMembers {
  PeerAddress to;
  std::vector<MemberRecord> members;
};

/** Limits and intervals of the membership protocol. */
struct MembershipOptions {
  std::size_t fan_out = 3;              // Peers that receive each broadcast.
  std::size_t records_per_message = 6;  // Keeps a message within a datagram.
  int broadcasts_per_change = 3;        // Times each change is sent.
  int ping_attempts = 3;                // Pings before a peer becomes suspect.
  std::size_t full_lists_per_period = 2;
  Duration broadcast_interval = std::chrono::milliseconds(250);
  Duration ping_period = std::chrono::seconds(1);
  Duration ping_timeout = std::chrono::milliseconds(700);
  Duration suspicion_timeout = std::chrono::seconds(5);
  Duration tombstone_retention = std::chrono::hours(3);
  bool refute_suspicion = true;  // For tests: false ignores wrong suspicion.
};

/**
 * Pings one random member each period: the ping contains the member's last
 * known record, and the member replies with its current one. A member that does
 * not reply becomes suspect, then gone unless it refutes the suspicion in time.
 * Changes are broadcast to a few random members and piggybacked on pings.
 * Members that are gone are pinged occasionally, so that the sides of a healed
 * partition rediscover each other.
 *
 *     Membership members({}, self, clock, seed);
 *     members.AddListed(record);
 *     members.Tick();
 *     for (OutgoingMembers& it : members.TakeOutgoing()) { Send(it); }
 */
class Membership : public PeerSource {
 public:
  Membership(MembershipOptions options,
             MemberRecord self,
             const Clock& clock,
             std::uint64_t seed);
  ~Membership() override;

  /** Merges records received from `from`, and replies to a ping or a join. */
  void OnRecords(const PeerAddress& from,
                 std::span<const MemberRecord> records);

  /**
   * Records that a message of any kind arrived from `instance`, which has
   * configuration `config_version`.
   */
  void OnHeard(std::string_view instance, std::int64_t config_version);

  /**
   * Merges a row of the platform's list, which may lag behind: a new member, or
   * a notice that a member is leaving or stays. New members and leaving ones
   * are broadcast, so that a leaving member hears of it itself.
   */
  void AddListed(const MemberRecord& record);

  /** Sets the addresses to request the member list from after a start. */
  void AddSeeds(std::vector<PeerAddress> seeds);

  /** Marks this process as leaving and broadcasts it immediately. */
  void Leave();

  /** Marks this process as alive again and broadcasts it immediately. */
  void Return();

  /** Whether peers report this process as leaving although it is not. */
  bool told_leaving() const;

  /** Sets the version of the server's weights and broadcasts it. */
  void SetWeightsVersion(std::int64_t version);

  /** Sets the configuration version in this process's own record. */
  void SetConfigVersion(std::int64_t version);

  /** Does periodic work. Call about ten times a second. */
  void Tick();

  /** Returns the messages to send that accumulated since the last call. */
  std::vector<OutgoingMembers> TakeOutgoing();

  // PeerSource:
  std::vector<PeerAddress> Draw(std::size_t n,
                                RandomEngine& random) const override;

  const MemberRecord& self() const;
  const std::vector<KnownMember>& members() const;
  const KnownMember* Find(std::string_view instance) const;

  /** Counts changes to the member list: additions, removals and updates. */
  std::uint64_t changes() const;

  /**
   * Chooses a usable member of `role` for `purpose`. Processes with the same
   * member list make the same choice.
   */
  std::optional<PeerAddress> Choose(MemberRole role,
                                    std::string_view purpose) const;

  /**
   * Whether this process is among the `n` processes of its role and data centre
   * that are chosen for `purpose`.
   */
  bool IsChosen(std::size_t n, std::string_view purpose) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_MEMBERSHIP_H_
