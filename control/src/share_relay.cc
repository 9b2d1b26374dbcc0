#include "share_relay.h"

#include <algorithm>
#include <utility>

namespace peridotgate::control {
namespace {

using coordination::AccountKey;
using coordination::ShareStage;

constexpr std::array kStages = {ShareStage::kFromServer, ShareStage::kFromEntry,
                                ShareStage::kFromDataCentre,
                                ShareStage::kTotal};
constexpr int kBitsPerByte = 8;
constexpr std::int64_t kNoAge = -1;

// The wire carries the key, big-endian, in place of the organisation's name.
std::string EncodeKey(AccountKey key) {
  std::string text;
  for (std::size_t i = coordination::kAccountKeyBytes; i > 0; --i) {
    text += static_cast<char>(key >> (kBitsPerByte * (i - 1)));
  }
  return text;
}

AccountKey DecodeKey(std::string_view text) {
  AccountKey key = 0;
  for (const char it : text) {
    key = key << kBitsPerByte | static_cast<unsigned char>(it);
  }
  return key;
}

wire::ShareStage::type StageToWire(ShareStage stage) {
  switch (stage) {
    case ShareStage::kFromServer:
      return wire::ShareStage::kFromServer;
    case ShareStage::kFromEntry:
      return wire::ShareStage::kFromEntry;
    case ShareStage::kFromDataCentre:
      return wire::ShareStage::kFromDataCentre;
    case ShareStage::kTotal:
      break;
  }
  return wire::ShareStage::kTotal;
}

ShareStage StageFromWire(wire::ShareStage::type stage) {
  switch (stage) {
    case wire::ShareStage::kFromEntry:
      return ShareStage::kFromEntry;
    case wire::ShareStage::kFromDataCentre:
      return ShareStage::kFromDataCentre;
    case wire::ShareStage::kTotal:
      return ShareStage::kTotal;
    default:
      return ShareStage::kFromServer;
  }
}

coordination::ShareOptions MakeShareOptions(
    const coordination::MemberRecord& self) {
  coordination::ShareOptions options;
  options.instance = self.instance;
  options.data_centre = self.data_centre;
  options.is_entry = self.role == coordination::MemberRole::kEntry;
  // The start time in milliseconds exceeds every period number of the previous
  // run.
  options.first_period = self.incarnation;
  return options;
}

coordination::SummingEntry MakeSummingEntry(
    const coordination::MemberRecord& it) {
  return {it.instance, it.data_centre, it.address};
}

}  // namespace

wire::ShareReport ToWire(const coordination::ShareMessage& message) {
  wire::ShareReport report;
  report.instance = message.sender;
  report.period = message.period;
  report.stage = StageToWire(message.stage);
  for (const coordination::ServiceLevel& it : message.levels) {
    wire::ServiceUse use;
    use.organisation = EncodeKey(it.account);
    use.cost_tokens = it.cost_tokens;
    report.uses.push_back(std::move(use));
  }
  return report;
}

coordination::ShareMessage FromWire(const wire::ShareReport& report) {
  coordination::ShareMessage message;
  message.sender = report.instance;
  message.period = report.period;
  message.stage = StageFromWire(report.stage);
  for (const wire::ServiceUse& it : report.uses) {
    // Clamped, because a negative level would raise the account's share.
    const std::int64_t cost = std::max<std::int64_t>(it.cost_tokens, 0);
    message.levels.push_back({DecodeKey(it.organisation), cost});
  }
  return message;
}

ShareRelay::ShareRelay(const coordination::MemberRecord& self,
                       const coordination::Clock& clock,
                       runtime::Metrics& metrics,
                       SendFunction send,
                       OnRemoteService on_remote_service)
    : self_(self),
      exchange_(MakeShareOptions(self), clock),
      send_(std::move(send)),
      on_remote_service_(std::move(on_remote_service)),
      refused_messages_(metrics.GetCounter("peridotgate_shares_refused_total")),
      totals_age_(metrics.GetGauge("peridotgate_shares_age_ms")),
      totals_count_(metrics.GetGauge("peridotgate_shares_totals")),
      sender_count_(metrics.GetGauge("peridotgate_shares_senders")) {
  for (std::size_t i = 0; i < kStages.size(); ++i) {
    const std::string_view name = Name(kStages[i]);
    stage_counters_[i] = {
        &metrics.GetCounter("peridotgate_shares_sent_total", {{"stage", name}}),
        &metrics.GetCounter("peridotgate_shares_taken_total",
                            {{"stage", name}})};
  }
}

void ShareRelay::FollowMembers(const coordination::Membership& members) {
  std::vector<coordination::SummingEntry> entries;
  std::size_t agents = 0;
  if (self_.role == coordination::MemberRole::kEntry) {
    entries.push_back(MakeSummingEntry(self_));
  }
  for (const coordination::KnownMember& it : members.members()) {
    if (!IsUsable(it)) {
      continue;
    }
    if (it.record.role == coordination::MemberRole::kEntry) {
      entries.push_back(MakeSummingEntry(it.record));
    } else if (it.record.data_centre == self_.data_centre) {
      ++agents;
    }
  }
  exchange_.SetAgents(agents);
  exchange_.SetEntries(std::move(entries));
}

void ShareRelay::SetServed(const wire::ShareReport& report) {
  std::vector<coordination::ServiceLevel> levels;
  organisation_names_.clear();
  for (const wire::ServiceUse& it : report.uses) {
    const AccountKey key =
        coordination::AccountOf(self_.target, it.organisation);
    organisation_names_[key] = it.organisation;
    levels.push_back({key, it.cost_tokens});
  }
  exchange_.SetServed(std::move(levels));
}

void ShareRelay::OnReport(const coordination::PeerAddress& from,
                          const wire::ShareReport& report) {
  const coordination::ShareMessage message = FromWire(report);
  if (from.port == 0 || !exchange_.OnMessage(from, message)) {
    refused_messages_.Add();
    return;
  }
  stage_counters_[static_cast<std::size_t>(message.stage)].accepted->Add();
  ReportRemoteService();
}

void ShareRelay::Tick() {
  exchange_.Tick();
  for (const coordination::OutgoingShares& it : exchange_.TakeOutgoing()) {
    stage_counters_[static_cast<std::size_t>(it.message.stage)].sent->Add();
    send_(it.to, ToWire(it.message));
  }
  ReportRemoteService();
  UpdateMetrics();
}

void ShareRelay::ReportRemoteService() {
  if (!on_remote_service_ || reported_changes_ == exchange_.changes()) {
    return;
  }
  reported_changes_ = exchange_.changes();
  wire::ShareReport report;
  report.stage = wire::ShareStage::kTotal;
  for (const coordination::ServiceLevel& it : exchange_.Elsewhere()) {
    auto name = organisation_names_.find(it.account);
    if (name != organisation_names_.end()) {
      wire::ServiceUse use;
      use.organisation = name->second;
      use.cost_tokens = it.cost_tokens;
      report.uses.push_back(std::move(use));
    }
  }
  on_remote_service_(report);
}

void ShareRelay::UpdateMetrics() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const coordination::ShareState state = exchange_.state();
  sender_count_.Set(static_cast<std::int64_t>(state.senders));
  totals_count_.Set(static_cast<std::int64_t>(state.totals));
  totals_age_.Set(state.totals_age
                      ? duration_cast<milliseconds>(*state.totals_age).count()
                      : kNoAge);
}

}  // namespace peridotgate::control
