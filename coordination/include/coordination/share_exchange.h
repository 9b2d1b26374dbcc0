// Sums the service that organisations received over all servers, so that fair
// shares can be enforced globally. Does no I/O: messages are passed in and
// returned as values, and time comes from the given clock.
#ifndef COORDINATION_SHARE_EXCHANGE_H_
#define COORDINATION_SHARE_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/clock.h"
#include "coordination/peers.h"

namespace peridotgate::coordination {

/**
 * Identifies an organisation at one target; shares apply across the servers of
 * a target. Keys are short because they make up most of each message. With
 * 10,000 accounts, the chance that any two collide is 1 in 20,000; colliding
 * accounts share one sum.
 */
using AccountKey = std::uint64_t;

/** Number of low-order bytes of a key that are used. */
inline constexpr std::size_t kAccountKeyBytes = 5;

/** Returns the key of an account; identical in every process. */
AccountKey AccountOf(std::string_view target, std::string_view organisation);

/** Service that an account received recently; decays over time. */
struct ServiceLevel {
  AccountKey account = 0;
  std::int64_t cost_tokens = 0;
};

/** Aggregation stage that a message belongs to. */
enum class ShareStage { kFromServer, kFromEntry, kFromDataCentre, kTotal };

/** A short name for metrics. */
std::string_view Name(ShareStage stage);

/**
 * The complete levels that `sender` reports to the receiver at this stage. Each
 * message replaces the sender's previous one, so a lost, duplicated or late
 * message makes a sum stale until the next message, but never causes lasting
 * errors.
 */
struct ShareMessage {
  std::string sender;
  std::int64_t period = 0;  // Increases, even across restarts of the sender.
  ShareStage stage = ShareStage::kFromServer;
  std::vector<ServiceLevel> levels;
};

/** A message to send. */
struct OutgoingShares {
  PeerAddress to;
  ShareMessage message;
};

/** An entry instance that takes part in the aggregation. */
struct SummingEntry {
  std::string instance;
  std::string data_centre;
  PeerAddress address;

  auto operator<=>(const SummingEntry&) const = default;
};

/** Identity of this process and limits of its messages and memory. */
struct ShareOptions {
  std::string instance;
  std::string data_centre;
  bool is_entry = false;
  std::int64_t first_period = 0;  // Higher at each start of the process.
  Duration min_period = std::chrono::milliseconds(500);
  Duration max_period = std::chrono::seconds(8);
  // The period increases with the number of entries in the data centre and of
  // agents per entry, which bounds the bandwidth.
  Duration period_per_entry = std::chrono::milliseconds(80);
  Duration period_per_agent = std::chrono::milliseconds(110);
  int expiry_periods = 3;      // Until a sender's levels expire.
  int unanswered_periods = 3;  // Until an entry is avoided.
  Duration avoidance_period = std::chrono::seconds(10);
  std::size_t max_levels = 64;     // Per message; the largest are kept.
  std::size_t max_senders = 4096;  // Per stage.
};

/** Size and age of the sums in this process. */
struct ShareState {
  std::size_t senders = 0;  // With unexpired levels, at all stages.
  std::size_t totals = 0;   // Accounts with a total.
  std::optional<Duration> totals_age;
};

/**
 * Each agent reports the service given by its server to one entry of its data
 * centre. Accounts are partitioned into slots, and each slot has one summing
 * entry per data centre. Entries send it their partial sums, and the summing
 * entries of a slot exchange the sums of their data centres. Totals return on
 * the same path to every process that reported the account. Receivers are
 * chosen by rendezvous hashing among the entries known locally; entries that do
 * not respond are avoided for a while. There is no consensus, and all state is
 * soft.
 *
 *     ShareExchange exchange(options, clock);
 *     exchange.SetEntries(entries);
 *     exchange.SetServed(levels);  // Agents only.
 *     exchange.Tick();
 *     for (OutgoingShares& it : exchange.TakeOutgoing()) { Send(it); }
 */
class ShareExchange {
 public:
  ShareExchange(ShareOptions options, const Clock& clock);
  ~ShareExchange();

  /** Sets the usable entries known here, this process included if an entry. */
  void SetEntries(std::vector<SummingEntry> entries);

  /** Sets the number of agents in this data centre. */
  void SetAgents(std::size_t agents);

  /** Sets the service given by this agent's server. */
  void SetServed(std::vector<ServiceLevel> levels);

  /**
   * Processes a message. Returns false when it is rejected: it is invalid or
   * outdated, or the limit of senders is reached.
   */
  bool OnMessage(const PeerAddress& from, const ShareMessage& message);

  /** Does periodic work. Call about ten times a second. */
  void Tick();

  /** Returns the messages to send that accumulated since the last call. */
  std::vector<OutgoingShares> TakeOutgoing();

  /**
   * Service that other servers gave to the accounts that this agent reported.
   * Empty when no unexpired totals are known.
   */
  std::vector<ServiceLevel> Elsewhere() const;

  /** Increases whenever totals arrive or expire, so `Elsewhere` may change. */
  std::uint64_t changes() const;

  /** Time between two reports; depends on the number of entries and agents. */
  Duration period() const;

  ShareState state() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_SHARE_EXCHANGE_H_
