#include "coordination/share_exchange.h"

#include <algorithm>
#include <map>
#include <utility>

#include "level_table.h"
#include "rendezvous.h"
#include "slot_owners.h"
#include "unresponsive_peers.h"

namespace peridotgate::coordination {
namespace {

constexpr std::string_view kPhasePurpose = "share-phase/";

// Levels to send, by the receiver's instance.
using LevelsByReceiver = std::map<std::string, LevelSums>;

}  // namespace

struct ShareExchange::Impl {
  Impl(ShareOptions given, const Clock& clock)
      : options(std::move(given)),
        clock(clock),
        from_servers(options.max_senders),
        from_entries(options.max_senders),
        from_data_centres(options.max_senders),
        totals(options.max_senders),
        unresponsive(options.unanswered_periods, options.avoidance_period) {
    next_tick = clock.Now() + InitialDelay();
  }

  // Receivers that hold levels of this process at one stage, by instance.
  using ActiveReceivers = std::map<std::string, PeerAddress>;

  ShareOptions options;
  const Clock& clock;
  SlotOwners owners;
  // Levels of agents that report to this entry.
  LevelTable from_servers;
  // Partial sums of entries, for accounts that this entry sums.
  LevelTable from_entries;
  // Sums of other data centres, for accounts that this entry sums.
  LevelTable from_data_centres;
  LevelTable totals;
  std::vector<ServiceLevel> served;
  // `served` as last reported, which the totals include.
  std::vector<ServiceLevel> reported_served;
  std::int64_t agents = 0;
  std::int64_t period_count = 0;
  std::uint64_t changes = 0;
  TimePoint next_tick;
  std::optional<TimePoint> last_total;
  ActiveReceivers active_entries;
  ActiveReceivers active_owners;
  ActiveReceivers active_data_centres;
  UnresponsivePeers unresponsive;
  std::vector<OutgoingShares> outgoing;

  // Spreads out the reports of processes that started at the same time.
  Duration InitialDelay() const {
    const std::uint64_t rank = RendezvousRank(options.instance, kPhasePurpose);
    const auto span = static_cast<std::uint64_t>(options.min_period.count());
    return Duration(static_cast<std::int64_t>(rank % span));
  }

  Duration Period() const {
    const auto entries =
        static_cast<std::int64_t>(owners.CountEntriesIn(options.data_centre));
    const std::int64_t agents_per_entry =
        agents / std::max<std::int64_t>(entries, 1);
    return std::clamp(options.period_per_entry * entries +
                          options.period_per_agent * agents_per_entry,
                      options.min_period, options.max_period);
  }

  SlotOwners::AvoidPredicate AvoidPredicate() const {
    return [this](const SummingEntry& it) {
      return unresponsive.IsAvoided(it.instance);
    };
  }

  void Send(ShareStage stage,
            const PeerAddress& to,
            std::vector<ServiceLevel> levels) {
    ShareMessage message;
    message.sender = options.instance;
    message.period = options.first_period + period_count;
    message.stage = stage;
    message.levels = std::move(levels);
    outgoing.push_back({to, std::move(message)});
  }

  // Sends the levels to their receivers other than this process. A previous
  // receiver without levels now gets an empty message, which withdraws the
  // levels sent to it before.
  void SendToReceivers(
      ShareStage stage,
      const LevelsByReceiver& levels_by_receiver,
      const std::map<std::string, const SummingEntry*>& receivers,
      ActiveReceivers& active) {
    for (const auto& [instance, address] : active) {
      if (!levels_by_receiver.contains(instance)) {
        Send(stage, address, {});
      }
    }
    active.clear();
    for (const auto& [instance, sums] : levels_by_receiver) {
      const PeerAddress& to = receivers.at(instance)->address;
      auto levels = LargestLevels(sums, options.max_levels);
      if (instance != options.instance) {
        Send(stage, to, std::move(levels));
        active.emplace(instance, to);
      }
    }
  }

  // Counts requests without a response. An entry with too many is avoided for a
  // time, for which slot owners are chosen again.
  void ExpectResponses(const ActiveReceivers& active) {
    bool changed = false;
    for (const auto& [instance, address] : active) {
      changed |= unresponsive.OnRequestSent(instance, clock.Now());
    }
    if (changed) {
      ChooseOwners();
    }
  }

  // Only entries need slot owners; an agent reports to one preferred entry.
  void ChooseOwners() {
    if (options.is_entry) {
      owners.Choose(options.data_centre, AvoidPredicate());
    }
  }

  // Agent: reports the service of its server to its preferred entry.
  void ReportServed() {
    const SummingEntry* preferred = owners.PreferredEntry(
        options.data_centre, options.instance, AvoidPredicate());
    reported_served = served;
    LevelsByReceiver levels_by_receiver;
    if (preferred != nullptr && !served.empty()) {
      LevelSums& sums = levels_by_receiver[preferred->instance];
      for (const ServiceLevel& it : served) {
        sums[it.account] += it.cost_tokens;
      }
      SendToReceivers(ShareStage::kFromServer, levels_by_receiver,
                      {{preferred->instance, preferred}}, active_entries);
    } else {
      SendToReceivers(ShareStage::kFromServer, levels_by_receiver, {},
                      active_entries);
    }
    ExpectResponses(active_entries);
  }

  // Partitions `sums` by the slot owners in `data_centre`.
  void PartitionByOwner(
      const LevelSums& sums,
      const std::string& data_centre,
      LevelsByReceiver& levels_by_receiver,
      std::map<std::string, const SummingEntry*>& receivers) const {
    for (const auto& [account, cost] : sums) {
      const SummingEntry* owner = owners.OwnerOf(data_centre, account);
      if (owner != nullptr) {
        levels_by_receiver[owner->instance][account] += cost;
        receivers[owner->instance] = owner;
      }
    }
  }

  // Entry: sends the sums of its agents' levels to the slot owners.
  void SendPartialSums() {
    LevelSums sums;
    from_servers.AddTo(sums);
    LevelsByReceiver levels_by_receiver;
    std::map<std::string, const SummingEntry*> receivers;
    PartitionByOwner(sums, options.data_centre, levels_by_receiver, receivers);
    StoreOwnLevels(ShareStage::kFromEntry, from_entries, levels_by_receiver);
    SendToReceivers(ShareStage::kFromEntry, levels_by_receiver, receivers,
                    active_owners);
    ExpectResponses(active_owners);
  }

  // Stores the part of its own sums that this entry owns.
  void StoreOwnLevels(ShareStage stage,
                      LevelTable& table,
                      const LevelsByReceiver& levels_by_receiver) {
    ShareMessage message;
    message.sender = options.instance;
    message.period = options.first_period + period_count;
    message.stage = stage;
    auto own = levels_by_receiver.find(options.instance);
    if (own != levels_by_receiver.end()) {
      message.levels = LargestLevels(own->second, options.max_levels);
    }
    table.Update({}, message, clock.Now());
  }

  // Summing entry: sends the sums of its data centre to the slot owners of the
  // other data centres.
  void SendDataCentreSums() {
    LevelSums sums;
    from_entries.AddTo(sums);
    LevelsByReceiver levels_by_receiver;
    std::map<std::string, const SummingEntry*> receivers;
    for (const auto& [data_centre, unused_owners] : owners.data_centres()) {
      if (data_centre != options.data_centre) {
        PartitionByOwner(sums, data_centre, levels_by_receiver, receivers);
      }
    }
    SendToReceivers(ShareStage::kFromDataCentre, levels_by_receiver, receivers,
                    active_data_centres);
  }

  // Summing entry: sends each entry the totals of the accounts it reported.
  void SendTotals() {
    LevelSums sums;
    from_entries.AddTo(sums);
    from_data_centres.AddTo(sums);
    for (const auto& [sender, it] : from_entries.reports()) {
      if (sender == options.instance) {
        StoreOwnTotals(SelectReported(it.levels, sums));
      } else if (!it.levels.empty()) {
        Send(ShareStage::kTotal, it.address, SelectReported(it.levels, sums));
      }
    }
  }

  void StoreOwnTotals(std::vector<ServiceLevel> levels) {
    ShareMessage message;
    message.sender = options.instance;
    message.period = options.first_period + period_count;
    message.stage = ShareStage::kTotal;
    message.levels = std::move(levels);
    StoreTotals({}, message);
  }

  // Entry: forwards the totals to its agents.
  void ForwardTotals() {
    const LevelSums sums = Totals();
    for (const auto& [sender, it] : from_servers.reports()) {
      if (!it.levels.empty()) {
        Send(ShareStage::kTotal, it.address, SelectReported(it.levels, sums));
      }
    }
  }

  static std::vector<ServiceLevel> SelectReported(
      const std::vector<ServiceLevel>& reported,
      const LevelSums& sums) {
    std::vector<ServiceLevel> levels;
    for (const ServiceLevel& it : reported) {
      auto sum = sums.find(it.account);
      if (sum != sums.end()) {
        levels.push_back({it.account, sum->second});
      }
    }
    return levels;
  }

  // While two entries sum the same account, each total is incomplete, so the
  // larger one is used.
  LevelSums Totals() const {
    LevelSums sums;
    for (const auto& [sender, it] : totals.reports()) {
      for (const ServiceLevel& level : it.levels) {
        std::int64_t& sum = sums[level.account];
        sum = std::max(sum, level.cost_tokens);
      }
    }
    return sums;
  }

  bool StoreTotals(const PeerAddress& from, const ShareMessage& message) {
    if (unresponsive.OnResponse(message.sender)) {
      ChooseOwners();
    }
    if (!totals.Update(from, message, clock.Now())) {
      return false;
    }
    if (!message.levels.empty()) {
      last_total = clock.Now();
    }
    ++changes;
    return true;
  }

  void Expire() {
    const TimePoint now = clock.Now();
    const TimePoint oldest = now - options.expiry_periods * Period();
    from_servers.Expire(oldest);
    from_entries.Expire(oldest);
    from_data_centres.Expire(oldest);
    changes += totals.Expire(oldest) ? 1 : 0;
    if (unresponsive.Expire(now)) {
      ChooseOwners();
    }
  }
};

ShareExchange::ShareExchange(ShareOptions options, const Clock& clock)
    : impl_(std::make_unique<Impl>(std::move(options), clock)) {}

ShareExchange::~ShareExchange() = default;

void ShareExchange::SetEntries(std::vector<SummingEntry> entries) {
  if (impl_->owners.SetEntries(std::move(entries))) {
    impl_->ChooseOwners();
  }
}

void ShareExchange::SetAgents(std::size_t agents) {
  impl_->agents = static_cast<std::int64_t>(agents);
}

void ShareExchange::SetServed(std::vector<ServiceLevel> levels) {
  impl_->served = std::move(levels);
}

bool ShareExchange::OnMessage(const PeerAddress& from,
                              const ShareMessage& message) {
  Impl& it = *impl_;
  if (message.levels.size() > it.options.max_levels || message.sender.empty()) {
    return false;
  }
  const TimePoint now = it.clock.Now();
  switch (message.stage) {
    case ShareStage::kFromServer:
      return it.options.is_entry && it.from_servers.Update(from, message, now);
    case ShareStage::kFromEntry:
      return it.options.is_entry && it.from_entries.Update(from, message, now);
    case ShareStage::kFromDataCentre:
      return it.options.is_entry &&
             it.from_data_centres.Update(from, message, now);
    case ShareStage::kTotal:
      return it.StoreTotals(from, message);
  }
  return false;
}

void ShareExchange::Tick() {
  Impl& it = *impl_;
  const TimePoint now = it.clock.Now();
  if (now < it.next_tick) {
    return;
  }
  it.next_tick = std::max(it.next_tick + it.Period(), now);
  ++it.period_count;
  it.Expire();
  if (!it.options.is_entry) {
    it.ReportServed();
    return;
  }
  it.SendPartialSums();
  it.SendDataCentreSums();
  it.SendTotals();
  it.ForwardTotals();
}

std::vector<OutgoingShares> ShareExchange::TakeOutgoing() {
  return std::exchange(impl_->outgoing, {});
}

std::vector<ServiceLevel> ShareExchange::Elsewhere() const {
  const Impl& it = *impl_;
  const LevelSums totals = it.Totals();
  std::vector<ServiceLevel> levels;
  for (const ServiceLevel& own : it.reported_served) {
    auto total = totals.find(own.account);
    if (total != totals.end()) {
      const std::int64_t others = total->second - own.cost_tokens;
      levels.push_back({own.account, std::max<std::int64_t>(others, 0)});
    }
  }
  return levels;
}

std::uint64_t ShareExchange::changes() const {
  return impl_->changes;
}

Duration ShareExchange::period() const {
  return impl_->Period();
}

ShareState ShareExchange::state() const {
  const Impl& it = *impl_;
  ShareState state;
  state.senders = it.from_servers.reports().size() +
                  it.from_entries.reports().size() +
                  it.from_data_centres.reports().size();
  state.totals = it.Totals().size();
  if (it.last_total) {
    state.totals_age = it.clock.Now() - *it.last_total;
  }
  return state;
}

}  // namespace peridotgate::coordination
