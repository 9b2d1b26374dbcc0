#include "usage_exchange.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coordination/ids.h"
#include "crash_spread.h"
#include "runtime/event_log.h"
#include "usage_peers.h"
#include "wire/codec.h"
#include "wire/crash_facts.h"

namespace peridotgate::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using runtime::LogClass;
using runtime::LogEvent;

// Changes within this time are sent in one datagram.
constexpr std::chrono::milliseconds kMinGather{4};
// Limit on datagrams sent per second, so that a small instance keeps its
// processor and link for its callers. With more peers, changes are batched for
// longer.
constexpr std::size_t kMaxDatagramsPerSecond = 4000;
// Period of full reports, since datagrams may be lost.
constexpr std::chrono::milliseconds kRepeatPeriod{600};
// The same while instances that have just started look for each other.
constexpr std::chrono::milliseconds kGatheringPeriod{100};
// Limit on the number of peers; in a fleet of hundreds, a gateway only reports
// to some of the others.
constexpr std::size_t kMaxPeers = 128;
constexpr std::size_t kDatagramBytes = 64 << 10;

}  // namespace

struct UsageExchange::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& context,
       const coordination::Clock& clock,
       LoadBalancer& balancer,
       CrashWatch& crashes,
       coordination::QuotaLedger& quotas,
       runtime::Endpoint own)
      : clock(clock),
        balancer(balancer),
        crashes(crashes),
        quotas(quotas),
        own(std::move(own)),
        started_at(clock.Now()),
        socket(context),
        timer(context),
        incarnation(static_cast<std::int64_t>(coordination::NewId().low >> 1)),
        crash_spread(static_cast<std::uint64_t>(incarnation)) {}

  const coordination::Clock& clock;
  LoadBalancer& balancer;
  CrashWatch& crashes;
  coordination::QuotaLedger& quotas;
  runtime::Endpoint own;
  const TimePoint started_at;
  udp::socket socket;
  asio::steady_timer timer;
  std::int64_t incarnation;
  std::int64_t sequence = 0;
  CrashSpread crash_spread;
  std::vector<udp::endpoint> peers;
  std::function<void()> on_notice;
  std::map<std::string, ServerUsage>
      reported;                // Usage last reported to the peers, by server.
  TimePoint full_report_at{};  // Time of the last full report.
  bool pending = false;        // A broadcast is scheduled.
  bool tells_leaving = false;  // There are leaving servers to be repeated.
  std::vector<char> buf = std::vector<char>(kDatagramBytes);
  udp::endpoint sender;
  struct LastNotice {
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
  };
  std::map<std::string, LastNotice> last_notices;  // By peer.

  std::chrono::milliseconds GatherDelay() const {
    const std::chrono::milliseconds paced(1000 * peers.size() /
                                          kMaxDatagramsPerSecond);
    return std::max(kMinGather, paced);
  }

  std::int64_t Uptime(TimePoint now) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                 started_at)
        .count();
  }

  void Schedule(std::chrono::milliseconds after) {
    timer.expires_after(after);
    timer.async_wait([self = shared_from_this()](const error_code& ec) {
      if (!ec) {
        self->Broadcast();
      }
    });
  }

  void OnChange() {
    if (!pending && !peers.empty()) {
      pending = true;
      Schedule(GatherDelay());
    }
  }

  // Usage that changed since the last report, or all usage if `whole`.
  std::vector<ServerUsage> Changes(bool whole) {
    std::map<std::string, ServerUsage> present;
    std::vector<ServerUsage> changes;
    for (ServerUsage& it : balancer.LocalUsage()) {
      const auto previous = reported.find(it.server_id);
      if (whole || previous == reported.end() || !(previous->second == it)) {
        changes.push_back(it);
      }
      present[it.server_id] = std::move(it);
    }
    for (const auto& [id, it] : reported) {
      if (!whole && !present.contains(id)) {
        changes.push_back({id, 0, 0, 0});
      }
    }
    reported = std::move(present);
    return changes;
  }

  void Broadcast() {
    pending = false;
    const TimePoint now = clock.Now();
    const bool was_idle = reported.empty();
    wire::UseNotice notice;
    const bool gathering = quotas.IsGathering(now);
    const auto period = gathering ? kGatheringPeriod : kRepeatPeriod;
    notice.whole = now - full_report_at >= period;
    notice.incarnation = incarnation;
    notice.sequence = ++sequence;
    notice.uptime_ms = Uptime(now);
    for (const ServerUsage& it : Changes(notice.whole)) {
      wire::ServerUse use;
      use.id = it.server_id;
      use.in_flight = it.in_flight;
      use.unread_tokens = it.unread_tokens;
      use.memory_tokens = it.memory_tokens;
      notice.uses.push_back(std::move(use));
    }
    for (SentPrompt& it : balancer.TakeSentPrompts()) {
      wire::SentPrompt prompt;
      prompt.server = std::move(it.server_id);
      prompt.parts.assign(it.parts.begin(), it.parts.end());
      prompt.tokens = std::move(it.tokens);
      notice.prompts.push_back(std::move(prompt));
    }
    AddQuotas(notice, now);
    notice.limits = LimitsToWire(notice.whole, now);
    for (const routing::Incarnation& it : balancer.TakeLeaving(notice.whole)) {
      wire::LeavingServer leaving;
      leaving.id = it.id;
      leaving.born_ms = it.born_ms;
      notice.leaving.push_back(std::move(leaving));
    }
    tells_leaving = !notice.leaving.empty() || (tells_leaving && !notice.whole);
    full_report_at = notice.whole ? now : full_report_at;
    const CrashSpread::Messages facts = crash_spread.Next(
        crashes.TakeNews(),
        notice.whole ? crashes.Current() : coordination::CrashFacts(),
        peers.size());
    notice.crash_facts = wire::ToWire(facts.to_all, now);
    const std::string bytes = wire::EncodeStruct(notice);
    for (const udp::endpoint& it : peers) {
      Send(bytes, it);
    }
    for (const std::size_t it : facts.few) {
      SendFacts(facts.to_few, peers[it]);
    }
    // Peers tell by the reports whether an instance with quotas lives.
    if (!was_idle || !reported.empty() || !facts.to_all.empty() ||
        !facts.to_few.empty() || quotas.active() ||
        balancer.limits().active() || tells_leaving) {
      Schedule(period);
    }
  }

  void AddQuotas(wire::UseNotice& notice, TimePoint now) {
    const auto reports =
        notice.whole ? quotas.Recent(now) : quotas.TakeChanges(now);
    for (const coordination::QuotaReport& it : reports) {
      wire::QuotaUse use;
      use.organisation = static_cast<std::int64_t>(it.organisation);
      use.charged = it.charged;
      use.level = it.level;
      notice.quotas.push_back(use);
    }
  }

  std::vector<wire::ServerLimit> LimitsToWire(bool whole, TimePoint now) {
    std::vector<wire::ServerLimit> limits;
    for (const auto& it : balancer.limits().TakeReports(whole, now)) {
      wire::ServerLimit limit;
      limit.id = it.server.id;
      limit.born_ms = it.server.born_ms;
      limit.per_s = it.per_s;
      limit.age_us =
          std::chrono::duration_cast<std::chrono::microseconds>(it.age).count();
      limit.charged = it.charged;
      limit.level = it.level;
      limits.push_back(std::move(limit));
    }
    return limits;
  }

  void ApplyLimits(const wire::UseNotice& notice) {
    const TimePoint now = clock.Now();
    routing::ServerLimits& limits = balancer.limits();
    std::vector<routing::LimitReport> reports;
    for (const wire::ServerLimit& it : notice.limits) {
      reports.push_back({{it.id, it.born_ms},
                         it.per_s,
                         std::chrono::microseconds(it.age_us),
                         it.charged,
                         it.level});
    }
    std::vector<std::optional<double>> before;
    before.reserve(reports.size());
    for (const routing::LimitReport& it : reports) {
      before.push_back(limits.Get(it.server));
    }
    limits.OnReports({SenderName(), notice.incarnation,
                      std::chrono::milliseconds(notice.uptime_ms)},
                     reports, now);
    for (std::size_t i = 0; i < reports.size(); ++i) {
      const auto after = limits.Get(reports[i].server);
      if (after != before[i]) {
        LogEvent("server_limit", LogClass::kNotable)
            .Add("server", reports[i].server.id)
            .Add("born", reports[i].server.born_ms)
            .Add("per_s", after.value_or(0))
            .Add("source", sender.address().to_string());
      }
    }
  }

  std::string SenderName() const {
    return runtime::ToString(
        runtime::Endpoint{sender.address().to_string(), sender.port()});
  }

  void ApplyLeaving(const wire::UseNotice& notice) {
    std::vector<routing::Incarnation> leaving;
    for (const wire::LeavingServer& it : notice.leaving) {
      leaving.push_back({it.id, it.born_ms});
    }
    for (const routing::Incarnation& it : balancer.OnPeerLeaving(leaving)) {
      LogEvent("server_leaving", LogClass::kNotable)
          .Add("server", it.id)
          .Add("born", it.born_ms)
          .Add("source", sender.address().to_string());
    }
  }

  void ApplyQuotas(const wire::UseNotice& notice) {
    std::vector<coordination::QuotaReport> reports;
    for (const wire::QuotaUse& it : notice.quotas) {
      reports.push_back({static_cast<coordination::QuotaKey>(it.organisation),
                         it.charged, it.level});
    }
    const std::string name = SenderName();
    quotas.OnReports(
        {name, notice.incarnation, std::chrono::milliseconds(notice.uptime_ms)},
        reports, clock.Now());
  }

  void SendFacts(const coordination::CrashFacts& facts,
                 const udp::endpoint& to) {
    if (facts.empty()) {
      return;
    }
    wire::UseNotice notice;
    notice.incarnation = incarnation;
    notice.sequence = ++sequence;
    notice.uptime_ms = Uptime(clock.Now());
    notice.crash_facts = wire::ToWire(facts, clock.Now());
    Send(wire::EncodeStruct(notice), to);
  }

  void Send(std::string_view bytes, const udp::endpoint& to) {
    error_code ignored;  // What is lost is repeated.
    socket.send_to(asio::buffer(bytes), to, 0, ignored);
  }

  void Receive() {
    socket.async_receive_from(
        asio::buffer(buf), sender,
        [self = shared_from_this()](const error_code& ec, std::size_t n) {
          if (ec == asio::error::operation_aborted) {
            return;
          }
          if (!ec) {
            self->ApplyNotice({self->buf.data(), n});
          }
          self->Receive();
        });
  }

  void ApplyNotice(std::string_view bytes) {
    auto notice = wire::DecodeStruct<wire::UseNotice>(bytes);
    if (!notice) {
      return;
    }
    const wire::UseNotice& it = notice.value();
    const std::string peer = sender.address().to_string();
    LastNotice& previous = last_notices[peer];
    if (it.incarnation == previous.incarnation &&
        it.sequence <= previous.sequence) {
      return;  // A newer notice was already received.
    }
    if (it.incarnation != previous.incarnation) {
      // The gateway has just started.
      SendFacts(crashes.Current(), sender);
      if (balancer.limits().active()) {
        full_report_at = {};
        OnChange();
      }
    }
    previous = {it.incarnation, it.sequence};
    crashes.Merge(wire::FromWire(it.crash_facts, clock.Now()));
    std::vector<ServerUsage> uses;
    for (const wire::ServerUse& use : it.uses) {
      uses.push_back(
          {use.id, use.in_flight, use.unread_tokens, use.memory_tokens});
    }
    ApplyLeaving(it);
    balancer.OnPeerUsage(peer, uses, it.whole, clock.Now());
    ApplyQuotas(it);
    ApplyLimits(it);
    std::vector<SentPrompt> prompts;
    for (const wire::SentPrompt& prompt : it.prompts) {
      prompts.push_back({prompt.server,
                         {prompt.parts.begin(), prompt.parts.end()},
                         prompt.tokens});
    }
    balancer.OnPeerPrompts(prompts, clock.Now());
    if (on_notice) {
      on_notice();
    }
  }
};

UsageExchange::UsageExchange(asio::io_context& context,
                             const coordination::Clock& clock,
                             LoadBalancer& balancer,
                             CrashWatch& crashes,
                             coordination::QuotaLedger& quotas,
                             runtime::Endpoint own)
    : impl_(std::make_shared<Impl>(context,
                                   clock,
                                   balancer,
                                   crashes,
                                   quotas,
                                   std::move(own))) {}

UsageExchange::~UsageExchange() = default;

bool UsageExchange::Listen(std::string& error) {
  Impl& it = *impl_;
  error_code ec;
  const auto address = asio::ip::make_address(it.own.address, ec);
  if (!ec) {
    const udp::endpoint endpoint(address, it.own.port);
    it.socket.open(endpoint.protocol(), ec);
    it.socket.bind(endpoint, ec);
  }
  if (ec) {
    error = runtime::ToString(it.own) + ": " + ec.message();
    return false;
  }
  it.socket.non_blocking(true, ec);
  it.Receive();
  return true;
}

void UsageExchange::SetPeers(const std::vector<runtime::Endpoint>& peers) {
  impl_->peers.clear();
  for (const runtime::Endpoint& it :
       SelectUsagePeers(impl_->own, peers, kMaxPeers)) {
    error_code ec;
    const auto address = asio::ip::make_address(it.address, ec);
    if (!ec) {
      impl_->peers.emplace_back(address, it.port);
    }
  }
  // Peers that see a new gateway tell it what it missed.
  impl_->OnChange();
}

void UsageExchange::SetOnNotice(std::function<void()> notify) {
  impl_->on_notice = std::move(notify);
}

void UsageExchange::OnChange() {
  impl_->OnChange();
}

}  // namespace peridotgate::gateway
