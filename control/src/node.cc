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

constexpr std::size_t kKeptChanges = 4096;
constexpr std::chrono::milliseconds kTick{100};
constexpr std::chrono::milliseconds kReadPause{250};
constexpr std::chrono::milliseconds kStartJitter{400};
constexpr std::chrono::milliseconds kAgentStartJitter{2000};
constexpr std::chrono::milliseconds kReportPeriod{1000};
constexpr std::chrono::seconds kReportAgain{10};
constexpr std::chrono::seconds kHeardLately{30};
// After the first member is known, for a whole list to come from a seed.
constexpr std::chrono::milliseconds kSettleTime{2000};

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
       NodeSettings given,
       wire::DatagramSocket& socket,
       runtime::Metrics& metrics,
       NodeHooks hooks)
      : context(context),
        clock(clock),
        settings(std::move(given)),
        socket(socket),
        hooks(std::move(hooks)),
        follower(kKeptChanges),
        random(coordination::NewId().low),
        members({}, MakeSelf(settings), clock, random()),
        gossip({}, follower, members, clock, random()),
        list(context,
             clock,
             settings.instances,
             members,
             metrics,
             {[this](auto lines) { TakeLines(lines); },
              [this](bool leaving) { SetListedLeaving(leaving); }}),
        table(context,
              clock,
              settings.table,
              members,
              follower,
              metrics,
              [this] { TakeGrowth(); }),
        links(context, clock, metrics),
        shares(
            members.self(),
            clock,
            metrics,
            [this](const PeerAddress& to, const wire::Message& message) {
              Send(to, message);
            },
            this->hooks.on_remote_service),
        sent(metrics.GetCounter("peridotgate_control_messages_total")),
        sent_bytes(metrics.GetCounter("peridotgate_control_bytes_total")),
        version(metrics.GetGauge("peridotgate_rules_version")),
        known(metrics.GetGauge("peridotgate_control_members")) {}

  asio::io_context& context;
  const coordination::Clock& clock;
  NodeSettings settings;
  wire::DatagramSocket& socket;
  NodeHooks hooks;
  coordination::ConfigurationFollower follower;
  coordination::RandomEngine random;
  coordination::Membership members;
  coordination::ConfigurationGossip gossip;
  ListReader list;
  TableFollower table;
  BulkLinks links;
  ShareRelay shares;
  runtime::Counter& sent;
  runtime::Counter& sent_bytes;
  runtime::Gauge& version;
  runtime::Gauge& known;
  std::uint64_t seen_changes = 0;
  std::int64_t reported_version = 0;
  TimePoint next_report;
  TimePoint report_again;
  std::optional<TimePoint> first_member;
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
    sent.Add();
    sent_bytes.Add(size);
    if (size > wire::kMaxDatagramBytes) {
      links.Send(to, message);
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

  void NoteConfiguration(std::string_view source) {
    if (version.value() == follower.version()) {
      return;
    }
    version.Set(follower.version());
    members.SetConfigVersion(follower.version());
    runtime::LogStateChange("rules", std::to_string(follower.version()),
                            source);
    hooks.on_configuration_change();
  }

  // The list was read, or members had the time to tell of all others.
  bool HasSettled() {
    if (!first_member && !members.members().empty()) {
      first_member = clock.Now();
    }
    return list.has_read_all() ||
           (first_member && clock.Now() - *first_member >= kSettleTime);
  }

  void NoteMembers() {
    const bool settles = !settled && HasSettled();
    settled = settled || settles;
    if (seen_changes == members.changes() && !settles) {
      return;
    }
    seen_changes = members.changes();
    known.Set(static_cast<std::int64_t>(members.members().size()));
    shares.FollowMembers(members);
    hooks.on_member_change();
  }

  bool OnMessage(const PeerAddress& from, const wire::Message& message) {
    if (const auto* update = std::get_if<wire::MemberUpdate>(&message)) {
      TakeRecords(from, FromWire(*update));
      return true;
    }
    if (const auto* report = std::get_if<wire::ShareReport>(&message)) {
      shares.OnReport(from, *report);
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
    NoteConfiguration("from a peer");
    Flush();
    return true;
  }

  void TakeRecords(const PeerAddress& from,
                   const std::vector<coordination::MemberRecord>& records) {
    if (records.empty()) {
      return;
    }
    members.OnRecords(from.port == 0 ? records.front().address : from, records);
    Flush();
  }

  asio::awaitable<void> TickForever() {
    while (true) {
      co_await Pause(kTick);
      gossip.Tick();
      members.Tick();
      links.Tick();
      shares.Tick();
      ReportHome();
      NoteMembers();
      Flush();
    }
  }

  // Each agent keeps one entry informed of its version, also while it stays as
  // it is, so that the entries together know who is behind.
  void ReportHome() {
    const bool same = reported_version == follower.version();
    if (is_entry() || clock.Now() < next_report ||
        (same && clock.Now() < report_again)) {
      return;
    }
    auto home = members.Choose(MemberRole::kEntry, settings.instance);
    if (home) {
      next_report = clock.Now() + kReportPeriod;
      report_again = clock.Now() + Jittered(kReportAgain, random);
      reported_version = follower.version();
      coordination::VersionDigest digest{follower.version()};
      Send(*home, ToWire(digest, settings.instance));
    }
  }

  asio::awaitable<void> FollowPlatform() {
    Duration jitter = is_entry() ? kStartJitter : kAgentStartJitter;
    if (!settings.seeds.empty()) {
      jitter *= 2;  // Peers are quicker, and spare the platform.
    }
    co_await Pause(Jittered(jitter, random) - jitter / 2);
    table.Start();
    while (true) {
      co_await list.ReadDue();
      co_await table.ReadDue();
      co_await Pause(kReadPause);
    }
  }

  void TakeGrowth() {
    gossip.OnNews();
    NoteConfiguration("read from the table");
    Flush();
  }

  void TakeLines(std::span<const platform::ListedInstance> lines) {
    for (const platform::ListedInstance& it : lines) {
      members.AddListed(ToRecord(it));
    }
    NoteMembers();
    Flush();
  }

  void SetListedLeaving(bool now) {
    if (shutting_down || (listed_leaving == now && !members.told_leaving())) {
      return;
    }
    now ? members.Leave() : members.Return();
    if (listed_leaving != now) {
      listed_leaving = now;
      hooks.on_listed_leaving(now);
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
  impl_->shares.SetServed(report);
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
  return MembersToJson(impl_->members, impl_->clock.Now(), kHeardLately);
}

}  // namespace peridotgate::control
