// Agents and entries of several data centres on one manual clock, connected by
// a simulated network that loses messages.
#ifndef COORDINATION_TESTS_SHARE_NETWORK_H_
#define COORDINATION_TESTS_SHARE_NETWORK_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "coordination/share_exchange.h"

namespace peridotgate::coordination {

/** Size of the simulated fleet. */
struct ShareFleet {
  std::size_t data_centres = 2;
  std::size_t entries = 3;  // Per data centre.
  std::size_t agents = 4;   // Per data centre.
};

/** The network; node i has port i, and entries precede agents. */
class ShareNetwork {
 public:
  explicit ShareNetwork(ShareFleet fleet, std::uint64_t seed = 1)
      : fleet_(fleet), random_(seed) {
    for (std::size_t i = 0; i < entry_count(); ++i) {
      entries_.push_back({Instance(i), DataCentre(i), AddressOf(i)});
    }
    for (std::size_t i = 0; i < entry_count() + agent_count(); ++i) {
      nodes_.push_back(nullptr);
      Start(i);
    }
  }

  std::size_t entry_count() const {
    return fleet_.data_centres * fleet_.entries;
  }
  std::size_t agent_count() const {
    return fleet_.data_centres * fleet_.agents;
  }
  const std::vector<SummingEntry>& entries() const { return entries_; }
  ShareExchange& entry(std::size_t i) { return *nodes_[i]; }
  ShareExchange& agent(std::size_t i) { return *nodes_[entry_count() + i]; }
  void SetLoss(double loss) { loss_ = loss; }

  /** Called for each message sent. */
  std::function<void(std::size_t from, const OutgoingShares&)> on_sent;

  /** Stops node i without notifying the others. */
  void Kill(std::size_t i) { nodes_[i] = nullptr; }

  /** Starts a new process as node i. */
  void Start(std::size_t i) {
    ShareOptions options;
    options.instance = Instance(i);
    options.data_centre = DataCentre(i);
    options.is_entry = i < entry_count();
    options.first_period = ++starts_ * kPeriodsOfStart;
    nodes_[i] = std::make_unique<ShareExchange>(options, clock_);
    nodes_[i]->SetEntries(entries_);
    nodes_[i]->SetAgents(fleet_.agents);
  }

  void RestartAgent(std::size_t i) { Start(entry_count() + i); }

  void Run(Duration time) {
    const TimePoint end = clock_.Now() + time;
    while (clock_.Now() < end) {
      clock_.Advance(kStep);
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i]) {
          nodes_[i]->Tick();
          Deliver(i);
        }
      }
    }
  }

  /** Service of others to `account` as known to agent i; -1 if unknown. */
  std::int64_t Elsewhere(std::size_t i, AccountKey account) {
    for (const ServiceLevel& it : agent(i).Elsewhere()) {
      if (it.account == account) {
        return it.cost_tokens;
      }
    }
    return -1;
  }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(50);
  static constexpr std::int64_t kPeriodsOfStart = 1000000;

  static PeerAddress AddressOf(std::size_t i) {
    return {"", static_cast<std::uint16_t>(i)};
  }

  std::string Instance(std::size_t i) const {
    const bool is_entry = i < entry_count();
    return (is_entry ? "entry-" : "agent-") + DataCentre(i) + "-" +
           std::to_string(10000 + i);
  }

  std::string DataCentre(std::size_t i) const {
    const std::size_t n = i < entry_count()
                              ? i / fleet_.entries
                              : (i - entry_count()) / fleet_.agents;
    return "dc-" + std::to_string(n);
  }

  void Deliver(std::size_t from) {
    for (const OutgoingShares& it : nodes_[from]->TakeOutgoing()) {
      if (on_sent) {
        on_sent(from, it);
      }
      ShareExchange* to = nodes_[it.to.port].get();
      const bool lost =
          std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
      if (to != nullptr && !lost) {
        to->OnMessage(AddressOf(from), it.message);
      }
    }
  }

  ShareFleet fleet_;
  std::mt19937_64 random_;
  ManualClock clock_;
  double loss_ = 0;
  std::int64_t starts_ = 0;
  std::vector<SummingEntry> entries_;
  std::vector<std::unique_ptr<ShareExchange>> nodes_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_TESTS_SHARE_NETWORK_H_
