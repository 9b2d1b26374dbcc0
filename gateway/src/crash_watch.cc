#include "crash_watch.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "runtime/event_log.h"

namespace peridotgate::gateway {
namespace {

using coordination::CrashAttribution;
using coordination::PartKey;
using coordination::PartVerdict;
using coordination::Quarantine;
using runtime::LogClass;
using runtime::LogEvent;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
// A server that lives accepts a connection within this time.
constexpr Millis kCheckTimeout{300};
// Connections that break within this time after a crash belong to it.
constexpr Millis kSameCrash{1000};
// A gateway that heard of no other server for this long may be cut off itself,
// and its failure to connect proves nothing.
constexpr Millis kWitnessPeriod{2000};
constexpr std::size_t kMaxLoggedParts = 8;

std::uint64_t HashOf(std::string_view text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

double ToSeconds(coordination::Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

std::vector<PartKey> SharedPartKeys(std::string_view service,
                                    std::string_view model,
                                    std::span<const PromptPart> prompt) {
  std::vector<PartKey> keys;
  const std::uint64_t scope = HashOf(model, HashOf(service));
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
    keys.push_back(HashOf(prompt[i].id, scope));
  }
  return keys;
}

struct CrashWatch::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& context,
       const coordination::Clock& clock,
       runtime::Metrics& metrics)
      : context(context),
        clock(clock),
        crashes(metrics.GetCounter("peridotgate_gateway_server_crashes_total")),
        quarantined(metrics.GetGauge("peridotgate_gateway_quarantined_parts")) {
  }

  // A server whose connections broke.
  struct Suspicion {
    TimePoint since{};
    bool down = false;  // The server refused a connection.
    std::vector<PartKey> parts;
  };
  struct Contact {
    std::string server;
    TimePoint at{};
  };

  asio::io_context& context;
  const coordination::Clock& clock;
  runtime::Counter& crashes;
  runtime::Gauge& quarantined;
  CrashAttribution attribution;
  std::function<void()> on_news;
  std::map<std::string, Suspicion, std::less<>> suspicions;  // By server.
  std::array<Contact, 2> contacts;  // The last two servers that answered.

  void OnBroken(const Placement& placement, std::span<const PartKey> parts) {
    const TimePoint now = clock.Now();
    std::erase_if(suspicions, [&](const auto& it) {
      return it.second.down && now - it.second.since > kSameCrash;
    });
    auto found = suspicions.find(placement.server_id);
    if (found != suspicions.end() && found->second.down) {
      RecordCrash(placement, found->second.since, {parts.begin(), parts.end()});
      return;
    }
    const bool unchecked = found == suspicions.end();
    Suspicion& it = suspicions[placement.server_id];
    it.parts.insert(it.parts.end(), parts.begin(), parts.end());
    if (unchecked) {
      it.since = now;
      asio::co_spawn(context, Check(shared_from_this(), placement),
                     asio::detached);
    }
  }

  static asio::awaitable<void> Check(std::shared_ptr<Impl> self,
                                     Placement placement) {
    const bool accepts = co_await self->Accepts(placement.address);
    const auto found = self->suspicions.find(placement.server_id);
    if (found == self->suspicions.end()) {
      co_return;
    }
    if (accepts || !self->IsWitnessOf(placement.server_id)) {
      self->suspicions.erase(found);
      co_return;
    }
    found->second.down = true;
    self->RecordCrash(placement, found->second.since,
                      std::exchange(found->second.parts, {}));
  }

  asio::awaitable<bool> Accepts(runtime::Endpoint server) const {
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(server.address, ec);
    if (ec) {
      co_return false;
    }
    boost::beast::tcp_stream stream(context);
    stream.expires_after(kCheckTimeout);
    const asio::ip::tcp::endpoint endpoint(address, server.port);
    auto [failed] = co_await stream.async_connect(endpoint, kNoThrow);
    co_return !failed;
  }

  // Whether another server answered lately.
  bool IsWitnessOf(std::string_view server_id) const {
    const TimePoint now = clock.Now();
    return std::any_of(contacts.begin(), contacts.end(), [&](const auto& it) {
      return it.server != server_id && now - it.at <= kWitnessPeriod;
    });
  }

  void RecordCrash(const Placement& placement,
                   TimePoint at,
                   std::vector<PartKey> parts) {
    crashes.Add();
    std::string names;
    for (std::size_t i = 0; i < std::min(parts.size(), kMaxLoggedParts); ++i) {
      names += fmt::format("{}{:016x}", i == 0 ? "" : ",", parts[i]);
    }
    LogEvent("server_crashed", LogClass::kNotable)
        .Add("server", placement.server_id)
        .Add("parts", parts.size())
        .Add("first_parts", names);
    const std::uint64_t server = HashOf(runtime::ToString(placement.address));
    attribution.OnCrash({server, at, std::move(parts)});
    on_news();
  }

  // Logs what changed and keeps the gauge.
  void Report() {
    const auto added = attribution.TakeQuarantined();
    const auto freed = attribution.TakeFreed();
    for (const Quarantine& it : added) {
      LogEvent("part_quarantined", LogClass::kNotable)
          .Add("part", fmt::format("{:016x}", it.part))
          .Add("crashes", it.crashes)
          .Add("servers", it.servers)
          .Add("level", it.level)
          .Add("for_s", ToSeconds(it.until - clock.Now()));
    }
    for (const PartKey it : freed) {
      LogEvent("part_freed", LogClass::kNotable)
          .Add("part", fmt::format("{:016x}", it))
          .Add("why", "answered");
    }
    if (!added.empty() || !freed.empty()) {
      quarantined.Set(static_cast<std::int64_t>(
          attribution.quarantines(clock.Now()).size()));
      on_news();
    }
  }
};

CrashWatch::CrashWatch(asio::io_context& context,
                       const coordination::Clock& clock,
                       runtime::Metrics& metrics)
    : impl_(std::make_shared<Impl>(context, clock, metrics)) {
  impl_->on_news = [] {};
}

CrashWatch::~CrashWatch() = default;

void CrashWatch::SetOnNews(std::function<void()> on_news) {
  impl_->on_news = std::move(on_news);
}

PartVerdict CrashWatch::Check(std::span<const PartKey> parts) {
  const PartVerdict verdict =
      impl_->attribution.Check(parts, impl_->clock.Now());
  impl_->Report();
  if (verdict.state == coordination::PartState::kProbing) {
    impl_->on_news();
  }
  return verdict;
}

void CrashWatch::OnBroken(const Placement& placement,
                          std::span<const PartKey> parts) {
  if (!parts.empty()) {
    impl_->OnBroken(placement, parts);
  }
}

void CrashWatch::OnContact(std::string_view server_id) {
  auto& contacts = impl_->contacts;
  if (contacts[0].server != server_id) {
    contacts[1] = std::exchange(contacts[0], {std::string(server_id), {}});
  }
  contacts[0].at = impl_->clock.Now();
}

void CrashWatch::OnSound(std::span<const PartKey> parts) {
  impl_->attribution.OnSound(parts, impl_->clock.Now());
  impl_->Report();
}

void CrashWatch::Merge(const coordination::CrashFacts& facts) {
  impl_->attribution.Merge(facts, impl_->clock.Now());
  impl_->Report();
}

coordination::CrashNews CrashWatch::TakeNews() {
  return impl_->attribution.TakeNews();
}

coordination::CrashFacts CrashWatch::Current() {
  return impl_->attribution.Current(impl_->clock.Now());
}

}  // namespace peridotgate::gateway
