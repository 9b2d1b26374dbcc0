#include "coordination/share_exchange.h"

#include <algorithm>
#include <map>
#include <utility>

#include "answer_watch.h"
#include "level_table.h"
#include "rendezvous.h"
#include "slot_owners.h"

namespace peridotgate::coordination {
namespace {

constexpr std::string_view kPhasePurpose = "share-phase/";

// What goes to one receiver.
using Parcels = std::map<std::string, LevelSums>;

}  // namespace

struct ShareExchange::Impl {
  Impl(ShareOptions given, const Clock& clock)
      : options(std::move(given)),
        clock(clock),
        servers(options.max_senders),
        partials(options.max_senders),
        centres(options.max_senders),
        totals(options.max_senders),
        answers(options.unanswered_periods, options.avoidance_period) {
    next_tick = clock.Now() + Phase();
  }

  // Receivers at one stage that hold something of ours.
  using Told = std::map<std::string, PeerAddress>;

  ShareOptions options;
  const Clock& clock;
  SlotOwners owners;
  LevelTable servers;   // Of agents whose home this is.
  LevelTable partials;  // Of entries, for accounts that this entry sums.
  LevelTable centres;   // Of summing entries of other data centres.
  LevelTable totals;
  std::vector<ServiceLevel> served;
  std::vector<ServiceLevel> told_served;  // Which the totals contain.
  std::int64_t agents = 0;
  std::int64_t periods = 0;
  std::uint64_t changes = 0;
  TimePoint next_tick;
  std::optional<TimePoint> totalled;
  Told told_homes;
  Told told_owners;
  Told told_centres;
  AnswerWatch answers;
  std::vector<OutgoingShares> outgoing;

  // So that processes that started together do not tell at once.
  Duration Phase() const {
    const std::uint64_t rank = RendezvousRank(options.instance, kPhasePurpose);
    const auto span = static_cast<std::uint64_t>(options.min_period.count());
    return Duration(static_cast<std::int64_t>(rank % span));
  }

  Duration Period() const {
    const auto entries =
        static_cast<std::int64_t>(owners.CountIn(options.data_centre));
    const std::int64_t heard = agents / std::max<std::int64_t>(entries, 1);
    return std::clamp(
        options.period_per_entry * entries + options.period_per_agent * heard,
        options.min_period, options.max_period);
  }

  SlotOwners::Avoid Avoid() const {
    return [this](const SummingEntry& it) {
      return answers.IsAvoided(it.instance);
    };
  }

  void Send(ShareStage stage,
            const PeerAddress& to,
            std::vector<ServiceLevel> levels) {
    ShareMessage message;
    message.sender = options.instance;
    message.period = options.first_period + periods;
    message.stage = stage;
    message.levels = std::move(levels);
    outgoing.push_back({to, std::move(message)});
  }

  // Sends each receiver its parcel, and nothing to who had one before, which
  // withdraws it. What was meant for this process stays with it.
  void Deliver(ShareStage stage,
               const Parcels& parcels,
               const std::map<std::string, const SummingEntry*>& receivers,
               Told& told) {
    for (const auto& [instance, address] : told) {
      if (!parcels.contains(instance)) {
        Send(stage, address, {});
      }
    }
    told.clear();
    for (const auto& [instance, sums] : parcels) {
      const PeerAddress& to = receivers.at(instance)->address;
      auto levels = Largest(sums, options.max_levels);
      if (instance != options.instance) {
        Send(stage, to, std::move(levels));
        told.emplace(instance, to);
      }
    }
  }

  // Counts what was asked; who answers nothing for long is passed over.
  void Expect(const Told& told) {
    bool news = false;
    for (const auto& [instance, address] : told) {
      news |= answers.OnAsked(instance, clock.Now());
    }
    if (news) {
      ChooseOwners();
    }
  }

  // Agents need no owners, only a home.
  void ChooseOwners() {
    if (options.is_entry) {
      owners.Choose(options.data_centre, Avoid());
    }
  }

  // An agent tells its home what its server gave.
  void TellHome() {
    const SummingEntry* home =
        owners.HomeOf(options.data_centre, options.instance, Avoid());
    told_served = served;
    Parcels parcels;
    if (home != nullptr && !served.empty()) {
      LevelSums& sums = parcels[home->instance];
      for (const ServiceLevel& it : served) {
        sums[it.account] += it.cost_tokens;
      }
      Deliver(ShareStage::kFromServer, parcels, {{home->instance, home}},
              told_homes);
    } else {
      Deliver(ShareStage::kFromServer, parcels, {}, told_homes);
    }
    Expect(told_homes);
  }

  // Cuts `sums` by their owners in `data_centre`.
  void Cut(const LevelSums& sums,
           const std::string& data_centre,
           Parcels& parcels,
           std::map<std::string, const SummingEntry*>& receivers) const {
    for (const auto& [account, cost] : sums) {
      const SummingEntry* owner = owners.OwnerOf(data_centre, account);
      if (owner != nullptr) {
        parcels[owner->instance][account] += cost;
        receivers[owner->instance] = owner;
      }
    }
  }

  // An entry tells those who sum what its agents told.
  void TellOwners() {
    LevelSums sums;
    servers.AddTo(sums);
    Parcels parcels;
    std::map<std::string, const SummingEntry*> receivers;
    Cut(sums, options.data_centre, parcels, receivers);
    TakeOwn(ShareStage::kFromEntry, partials, parcels);
    Deliver(ShareStage::kFromEntry, parcels, receivers, told_owners);
    Expect(told_owners);
  }

  // What this entry owns of its own sums.
  void TakeOwn(ShareStage stage, LevelTable& table, const Parcels& parcels) {
    ShareMessage message;
    message.sender = options.instance;
    message.period = options.first_period + periods;
    message.stage = stage;
    auto own = parcels.find(options.instance);
    if (own != parcels.end()) {
      message.levels = Largest(own->second, options.max_levels);
    }
    table.Take({}, message, clock.Now());
  }

  // A summing entry tells those of other data centres the sum of its own.
  void TellCentres() {
    LevelSums sums;
    partials.AddTo(sums);
    Parcels parcels;
    std::map<std::string, const SummingEntry*> receivers;
    for (const auto& [data_centre, owners_there] : owners.data_centres()) {
      if (data_centre != options.data_centre) {
        Cut(sums, data_centre, parcels, receivers);
      }
    }
    Deliver(ShareStage::kFromDataCentre, parcels, receivers, told_centres);
  }

  // A summing entry answers the entries with the accounts that they named.
  void TellTotals() {
    LevelSums sums;
    partials.AddTo(sums);
    centres.AddTo(sums);
    for (const auto& [sender, it] : partials.told()) {
      if (sender == options.instance) {
        TakeOwnTotal(Named(it.levels, sums));
      } else if (!it.levels.empty()) {
        Send(ShareStage::kTotal, it.address, Named(it.levels, sums));
      }
    }
  }

  void TakeOwnTotal(std::vector<ServiceLevel> levels) {
    ShareMessage message;
    message.sender = options.instance;
    message.period = options.first_period + periods;
    message.stage = ShareStage::kTotal;
    message.levels = std::move(levels);
    TakeTotal({}, message);
  }

  // An entry passes the totals on to its agents.
  void TellServers() {
    const LevelSums sums = Totals();
    for (const auto& [sender, it] : servers.told()) {
      if (!it.levels.empty()) {
        Send(ShareStage::kTotal, it.address, Named(it.levels, sums));
      }
    }
  }

  static std::vector<ServiceLevel> Named(const std::vector<ServiceLevel>& named,
                                         const LevelSums& sums) {
    std::vector<ServiceLevel> levels;
    for (const ServiceLevel& it : named) {
      auto sum = sums.find(it.account);
      if (sum != sums.end()) {
        levels.push_back({it.account, sum->second});
      }
    }
    return levels;
  }

  // While two entries sum an account, each lacks a part: the larger counts.
  LevelSums Totals() const {
    LevelSums sums;
    for (const auto& [sender, it] : totals.told()) {
      for (const ServiceLevel& level : it.levels) {
        std::int64_t& sum = sums[level.account];
        sum = std::max(sum, level.cost_tokens);
      }
    }
    return sums;
  }

  bool TakeTotal(const PeerAddress& from, const ShareMessage& message) {
    if (answers.OnAnswer(message.sender)) {
      ChooseOwners();
    }
    if (!totals.Take(from, message, clock.Now())) {
      return false;
    }
    if (!message.levels.empty()) {
      totalled = clock.Now();
    }
    ++changes;
    return true;
  }

  void Expire() {
    const TimePoint now = clock.Now();
    const TimePoint oldest = now - options.expiry_periods * Period();
    servers.Expire(oldest);
    partials.Expire(oldest);
    centres.Expire(oldest);
    changes += totals.Expire(oldest) ? 1 : 0;
    if (answers.Expire(now)) {
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
      return it.options.is_entry && it.servers.Take(from, message, now);
    case ShareStage::kFromEntry:
      return it.options.is_entry && it.partials.Take(from, message, now);
    case ShareStage::kFromDataCentre:
      return it.options.is_entry && it.centres.Take(from, message, now);
    case ShareStage::kTotal:
      return it.TakeTotal(from, message);
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
  ++it.periods;
  it.Expire();
  if (!it.options.is_entry) {
    it.TellHome();
    return;
  }
  it.TellOwners();
  it.TellCentres();
  it.TellTotals();
  it.TellServers();
}

std::vector<OutgoingShares> ShareExchange::TakeOutgoing() {
  return std::exchange(impl_->outgoing, {});
}

std::vector<ServiceLevel> ShareExchange::Elsewhere() const {
  const Impl& it = *impl_;
  const LevelSums totals = it.Totals();
  std::vector<ServiceLevel> levels;
  for (const ServiceLevel& own : it.told_served) {
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
  state.senders = it.servers.told().size() + it.partials.told().size() +
                  it.centres.told().size();
  state.totals = it.Totals().size();
  if (it.totalled) {
    state.totals_age = it.clock.Now() - *it.totalled;
  }
  return state;
}

}  // namespace peridotgate::coordination
