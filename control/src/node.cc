#include "control/node.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "bulk_links.h"
#include "convert.h"
#include "coordination/configuration_gossip.h"
#include "coordination/jitter.h"
#include "crash_relay.h"
#include "directory.h"
#include "list_reader.h"
#include "runtime/log.h"
#include "share_relay.h"
#include "table_follower.h"

namespace peridotgate::control {
namespace {

using coordination::Duration;
using coordination::Jittered;
using coordination::MemberRole;
using coordination::PeerAddress;
using coordination::TimePoint;

constexpr std::size_t kRetainedChanges = 4096;
constexpr std::chrono::milliseconds kTickInterval{100};
constexpr std::chrono::milliseconds kDueReadCheckInterval{250};
constexpr std::chrono::milliseconds kStartJitter{400};
constexpr std::chrono::milliseconds kAgentStartJitter{2000};
constexpr std::chrono::milliseconds kMinReportInterval{1000};
constexpr std::chrono::seconds kReportRefreshPeriod{10};
constexpr std::chrono::seconds kRecentlyHeardWindow{30};
// Time from the first known member until a seed has sent the complete list.
constexpr std::chrono::milliseconds kDirectorySettleTime{2000};

std::int64_t NewIncarnation() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

coordination::MemberRecord MakeSelf(const NodeSettings& settings) {
  coordination::MemberRecord self;
  self.instance = settings.instance;
  self.role = settings.role;
  self.data_centre = settings.data_centre;
  self.address = ToPeer(settings.peers);
  self.target = settings.target;
  self.incarnation = NewIncarnation();
  return self;
}

}  // namespace

struct Node::Impl {
  Impl(asio::io_context& context,
       const coordination::Clock& clock,
       NodeSettings node_settings,
       wire::DatagramSocket& socket,
       runtime::Metrics& metrics,
       NodeHooks hooks)
      : context(context),
        clock(clock),
        settings(std::move(node_settings)),
        socket(socket),
        hooks(std::move(hooks)),
        follower(kRetainedChanges),
        random(coordination::NewId().low),
        members({}, MakeSelf(settings), clock, random()),
        gossip({}, follower, members, clock, random()),
        list_reader(
            context,
            clock,
            settings.instances,
            members,
            metrics,
            {[this](auto instances) { ApplyListedInstances(instances); },
             [this](bool leaving) { SetListedLeaving(leaving); }}),
        table_follower(context,
                       clock,
                       settings.table,
                       members,
                       follower,
                       metrics,
                       [this] { OnNewVersionRead(); }),
        bulk_links(context, clock, metrics),
        share_relay(
            members.self(),
            clock,
            metrics,
            [this](const PeerAddress& to, const wire::Message& message) {
              Send(to, message);
            },
            this->hooks.on_remote_service),
        crash_relay(
            members,
            clock,
            random(),
            metrics,
            [this](const PeerAddress& to, const wire::Message& message) {
              Send(to, message);
            }),
        sent_messages(metrics.GetCounter("peridotgate_control_messages_total")),
        sent_bytes(metrics.GetCounter("peridotgate_control_bytes_total")),
        version_gauge(metrics.GetGauge("peridotgate_rules_version")),
        member_count_gauge(metrics.GetGauge("peridotgate_control_members")) {}

  asio::io_context& context;
  const coordination::Clock& clock;
  NodeSettings settings;
  wire::DatagramSocket& socket;
  NodeHooks hooks;
  coordination::ConfigurationFollower follower;
  coordination::RandomEngine random;
  coordination::Membership members;
  coordination::ConfigurationGossip gossip;
  ListReader list_reader;
  TableFollower table_follower;
  BulkLinks bulk_links;
  ShareRelay share_relay;
  CrashRelay crash_relay;
  runtime::Counter& sent_messages;
  runtime::Counter& sent_bytes;
  runtime::Gauge& version_gauge;
  runtime::Gauge& member_count_gauge;
  std::uint64_t reported_member_changes = 0;
  std::int64_t reported_version = 0;
  TimePoint next_report;
  TimePoint next_refresh;
  std::optional<TimePoint> first_member_at;
  bool settled = false;
  bool listed_leaving = false;
  bool shutting_down = false;

  asio::awaitable<void> Pause(Duration time) {
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  bool is_entry() const { return settings.role == MemberRole::kEntry; }

  void Send(const PeerAddress& to, const wire::Message& message) {
    const std::size_t size = wire::EncodeDatagram(message).size();
    sent_messages.Add();
    sent_bytes.Add(size);
    if (size > wire::kMaxDatagramBytes) {
      bulk_links.Send(to, message);
      return;
    }
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(to.address, ec);
    if (!ec) {
      socket.SendTo({address, to.port}, message);
    }
  }

  void Flush() {
    for (const auto& it : gossip.TakeOutgoing()) {
      Send(it.to, ToWire(it.message, settings.instance));
    }
    for (const auto& it : members.TakeOutgoing()) {
      Send(it.to, wire::Message(ToWire(it.members)));
    }
  }

  void NotifyIfVersionChanged(std::string_view source) {
    if (version_gauge.value() == follower.version()) {
      return;
    }
    version_gauge.Set(follower.version());
    members.SetConfigVersion(follower.version());
    runtime::LogStateChange("rules", std::to_string(follower.version()),
                            source);
    hooks.on_configuration_change();
  }

  // Whether the list was read or other members had time to send their full
  // lists.
  bool HasSettled() {
    if (!first_member_at && !members.members().empty()) {
      first_member_at = clock.Now();
    }
    return list_reader.has_read_all() ||
           (first_member_at &&
            clock.Now() - *first_member_at >= kDirectorySettleTime);
  }

  void NotifyIfMembersChanged() {
    const bool just_settled = !settled && HasSettled();
    settled = settled || just_settled;
    if (reported_member_changes == members.changes() && !just_settled) {
      return;
    }
    reported_member_changes = members.changes();
    member_count_gauge.Set(static_cast<std::int64_t>(members.members().size()));
    share_relay.FollowMembers(members);
    hooks.on_member_change();
  }

  bool OnMessage(const PeerAddress& from, const wire::Message& message) {
    if (const auto* update = std::get_if<wire::MemberUpdate>(&message)) {
      ApplyMemberRecords(from, FromWire(*update));
      return true;
    }
    if (const auto* report = std::get_if<wire::ShareReport>(&message)) {
      share_relay.OnReport(from, *report);
      return true;
    }
    if (const auto* facts = std::get_if<wire::CrashFacts>(&message)) {
      crash_relay.OnFacts(*facts);
      return true;
    }
    auto gossiped = GossipFromWire(message);
    if (!gossiped) {
      return false;
    }
    if (const auto* digest = std::get_if<wire::ConfigDigest>(&message)) {
      members.OnHeard(digest->instance, digest->version);
    }
    gossip.OnMessage(from, *gossiped);
    NotifyIfVersionChanged("from a peer");
    Flush();
    return true;
  }

  void ApplyMemberRecords(
      const PeerAddress& from,
      const std::vector<coordination::MemberRecord>& records) {
    if (records.empty()) {
      return;
    }
    members.OnRecords(from.port == 0 ? records.front().address : from, records);
    Flush();
  }

  asio::awaitable<void> TickForever() {
    while (true) {
      co_await Pause(kTickInterval);
      gossip.Tick();
      members.Tick();
      bulk_links.Tick();
      share_relay.Tick();
      if (crash_relay.Tick()) {
        hooks.on_quarantines();
      }
      ReportVersionToEntry();
      NotifyIfMembersChanged();
      Flush();
    }
  }

  // Each agent reports its version to one entry, periodically even while the
  // version is unchanged, so that the entries together know who is behind.
  void ReportVersionToEntry() {
    const bool unchanged = reported_version == follower.version();
    if (is_entry() || clock.Now() < next_report ||
        (unchanged && clock.Now() < next_refresh)) {
      return;
    }
    auto entry = members.Choose(MemberRole::kEntry, settings.instance);
    if (entry) {
      next_report = clock.Now() + kMinReportInterval;
      next_refresh = clock.Now() + Jittered(kReportRefreshPeriod, random);
      reported_version = follower.version();
      coordination::VersionDigest digest{follower.version()};
      Send(*entry, ToWire(digest, settings.instance));
    }
  }

  asio::awaitable<void> FollowPlatform() {
    Duration jitter = is_entry() ? kStartJitter : kAgentStartJitter;
    if (!settings.seeds.empty()) {
      // Peers usually answer first, which saves reads from the platform.
      jitter *= 2;
    }
    co_await Pause(Jittered(jitter, random) - jitter / 2);
    table_follower.Start();
    while (true) {
      co_await list_reader.ReadDue();
      co_await table_follower.ReadDue();
      co_await Pause(kDueReadCheckInterval);
    }
  }

  void OnNewVersionRead() {
    gossip.OnNews();
    NotifyIfVersionChanged("read from the table");
    Flush();
  }

  void ApplyListedInstances(
      std::span<const platform::ListedInstance> instances) {
    for (const platform::ListedInstance& it : instances) {
      members.AddListed(ToRecord(it));
    }
    NotifyIfMembersChanged();
    Flush();
  }

  void SetListedLeaving(bool leaving) {
    if (shutting_down ||
        (listed_leaving == leaving && !members.told_leaving())) {
      return;
    }
    leaving ? members.Leave() : members.Return();
    if (listed_leaving != leaving) {
      listed_leaving = leaving;
      hooks.on_listed_leaving(leaving);
    }
    Flush();
  }
};

Node::Node(asio::io_context& context,
           const coordination::Clock& clock,
           NodeSettings settings,
           wire::DatagramSocket& socket,
           runtime::Metrics& metrics,
           NodeHooks hooks)
    : impl_(std::make_unique<Impl>(context,
                                   clock,
                                   std::move(settings),
                                   socket,
                                   metrics,
                                   std::move(hooks))) {}

Node::~Node() = default;

void Node::Start() {
  std::vector<PeerAddress> seeds;
  for (const runtime::Endpoint& it : impl_->settings.seeds) {
    seeds.push_back(ToPeer(it));
  }
  impl_->members.AddSeeds(std::move(seeds));
  asio::co_spawn(impl_->context, impl_->TickForever(), asio::detached);
  asio::co_spawn(impl_->context, impl_->FollowPlatform(), asio::detached);
}

coordination::CrashAttribution& Node::crashes() {
  return impl_->crash_relay.crashes();
}

bool Node::OnDatagram(const asio::ip::udp::endpoint& from,
                      const wire::Message& message) {
  return impl_->OnMessage({from.address().to_string(), from.port()}, message);
}

bool Node::OnLinkMessage(const wire::Message& message) {
  return impl_->OnMessage({}, message);
}

void Node::CatchUp(const runtime::Endpoint& agent, std::int64_t version) {
  impl_->gossip.CatchUp(ToPeer(agent), version);
  impl_->Flush();
}

void Node::SetWeightsVersion(std::int64_t version) {
  impl_->members.SetWeightsVersion(version);
}

void Node::SetServed(const wire::ShareReport& report) {
  impl_->share_relay.SetServed(report);
}

void Node::Leave() {
  impl_->shutting_down = true;
  impl_->members.Leave();
  impl_->Flush();
}

const coordination::ConfigurationFollower& Node::configuration() const {
  return impl_->follower;
}

const coordination::Membership& Node::members() const {
  return impl_->members;
}

bool Node::settled() const {
  return impl_->settled;
}

std::vector<platform::ListedInstance> Node::Directory() const {
  return MakeDirectory(impl_->members);
}

std::string Node::MembersJson() const {
  return MembersToJson(impl_->members, impl_->clock.Now(),
                       coordination::Duration::max());
}

std::string Node::HeardJson() const {
  return MembersToJson(impl_->members, impl_->clock.Now(),
                       kRecentlyHeardWindow);
}

}  // namespace peridotgate::control
