#include "gateway/server_book.h"

#include <algorithm>
#include <array>
#include <limits>
#include <unordered_map>
#include <utility>

#include <xxhash.h>

#include "part_memory.h"

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Prompt tokens that an engine computes in a millisecond. The users' sheets
// give 81.9 for the present engines.
constexpr double kPrefillTokensPerMs = 80;
// Work of one request that waits at an engine before ours, in milliseconds: a
// prompt of some three thousand tokens that are not cached.
constexpr double kWaitingCostMs = 40;
// What each running request adds to the time to a first token.
constexpr double kRunningCostMs = 1;
// Crossing data centres: a round trip, and traffic that is paid for.
constexpr double kCrossingCostMs = 3;
// Bringing cached parts from another server, for each thousand tokens.
constexpr double kFetchCostMsPerKilotoken = 2;
// Fixed cost of not being at the server that all gateways prefer for a prefix:
// the copy takes memory twice.
constexpr double kAwayCostMs = 40;
// A load figure older than this says nothing of the present.
constexpr milliseconds kLoadAge{1500};
// Failures in a row before a server is left alone.
constexpr int kFailuresToDistrust = 3;
constexpr milliseconds kFirstDistrust{500};
constexpr milliseconds kMostDistrust{8000};
// Work time of a plain request, in milliseconds, until one was measured.
constexpr double kPlainWorkMs = 30;
// The part of an engine's memory that its cached parts are taken to have.
constexpr double kCachedShare = 0.6;

std::uint64_t Hash(std::string_view a, std::string_view b) {
  return XXH3_64bits_withSeed(a.data(), a.size(),
                              XXH3_64bits(b.data(), b.size()));
}

struct Server {
  BackendServer about;
  int in_flight = 0;
  std::int64_t unread_tokens = 0;  // Of prompts sent, before their first byte.
  ServerLoad load;
  TimePoint load_at{};
  int in_flight_at_load = 0;
  int failures = 0;  // In a row.
  TimePoint distrusted_until{};
  bool replaced = false;  // Another incarnation answers at the address.
  std::map<std::string, std::int64_t> learned;  // Weights by model, as told.
  PartMemory parts;

  std::optional<std::int64_t> Version(std::string_view model) const {
    const std::string key(model);
    auto told = learned.find(key);
    auto listed = about.weights.find(key);
    std::optional<std::int64_t> version;
    if (listed != about.weights.end()) {
      version = listed->second;
    }
    if (told != learned.end()) {
      version = std::max(version.value_or(0), told->second);
    }
    return version;
  }

  // Requests there now: what it said last and what we have sent since.
  double Present(TimePoint now) const {
    if (load_at == TimePoint{} || now - load_at > kLoadAge) {
      return in_flight;
    }
    const int since = in_flight - in_flight_at_load;
    return std::max<double>(in_flight, load.running + load.waiting + since);
  }

  double Slowness(TimePoint now) const {
    return now - load_at > kLoadAge ? 1 : std::max(load.slowness, 0.1);
  }
};

}  // namespace

struct ServerBook::Contents {
  std::map<std::string, Server, std::less<>> servers;
  std::map<std::string, std::vector<Server*>, std::less<>> by_service;
  std::shared_ptr<const Rules> rules;
  std::shared_ptr<const WeightsTargets> targets;
  std::optional<runtime::Endpoint> cache_store;

  std::span<Server* const> Of(std::string_view service) const {
    auto found = by_service.find(service);
    if (found == by_service.end()) {
      return {};
    }
    return found->second;
  }

  static bool Usable(const Server& it) { return !it.about.leaving && !it.replaced; }

  static bool Trusted(const Server& it, TimePoint now) {
    return Usable(it) && now >= it.distrusted_until;
  }

  std::int64_t NewestVersion(std::string_view model,
                             std::span<Server* const> of) const {
    std::int64_t newest = 0;
    if (targets) {
      auto found = targets->find(std::string(model));
      newest = found == targets->end() ? 0 : found->second;
    }
    std::int64_t present = 0;
    for (const Server* it : of) {
      present = std::max(present, it->Version(model).value_or(0));
    }
    return std::min(newest, present) == 0 ? present : std::min(newest, present);
  }
};

ServerBook::ServerBook() : contents_(std::make_unique<Contents>()) {}
ServerBook::~ServerBook() = default;

void ServerBook::OnView(const FleetView& view, TimePoint /*now*/) {
  Contents& it = *contents_;
  it.rules = view.rules;
  it.targets = view.weights;
  it.cache_store.reset();
  if (view.rules) {
    for (const Service& service : view.rules->services()) {
      if (service.cache_store) {
        it.cache_store = service.cache_store;
      }
    }
  }
  static const ServerMap kNone;
  const ServerMap& listed = view.servers ? *view.servers : kNone;
  std::erase_if(it.servers, [&](const auto& entry) {
    auto found = listed.find(entry.first);
    return found == listed.end() ||
           found->second.born_ms != entry.second.about.born_ms;
  });
  it.by_service.clear();
  for (const auto& [id, about] : listed) {
    Server& server = it.servers[id];
    if (server.about.id.empty()) {
      const Service* service =
          view.rules ? view.rules->FindService(about.service) : nullptr;
      if (service != nullptr && service->engine) {
        server.parts = PartMemory(static_cast<std::size_t>(
            kCachedShare * static_cast<double>(service->engine->kv_tokens)));
      }
    }
    server.about = about;
    it.by_service[about.service].push_back(&server);
  }
}

std::optional<Placement> ServerBook::Place(const Need& need,
                                           TimePoint now) const {
  const Contents& book = *contents_;
  const auto all = book.Of(need.service);
  // The deepest part that is shared with other requests.
  const std::size_t shared =
      need.prompt.empty() ? 0 : need.prompt.size() - 1;
  const std::string_view anchor =
      shared == 0 ? std::string_view() : need.prompt[shared - 1].id;
  const std::int64_t newest =
      need.model.empty() ? 0 : book.NewestVersion(need.model, all);

  std::int64_t prompt_tokens = 0;
  for (const PromptPart& it : need.prompt) {
    prompt_tokens += it.tokens;
  }

  // The server that every gateway prefers for the prefix.
  const Server* home = nullptr;
  std::uint64_t best_hash = 0;
  if (!anchor.empty()) {
    for (const Server* it : all) {
      if (!Contents::Usable(*it)) {
        continue;
      }
      const std::uint64_t hash = Hash(anchor, it->about.id);
      if (home == nullptr || hash > best_hash) {
        home = it;
        best_hash = hash;
      }
    }
  }

  const Server* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  std::int64_t best_missing = 0;
  bool best_fetches = false;
  for (const int pass : {0, 1}) {
    for (const Server* it : all) {
      const bool may = pass == 0 ? Contents::Trusted(*it, now)
                                 : Contents::Usable(*it);
      if (!may || std::find(need.avoided.begin(), need.avoided.end(),
                            it->about.id) != need.avoided.end()) {
        continue;
      }
      double cost = it->about.data_centre == need.data_centre ? 0 : kCrossingCostMs;
      std::int64_t missing = prompt_tokens;
      bool fetches = false;
      if (need.model.empty()) {
        const double slots = std::max(1, it->about.slots);
        const double ahead = std::max(0.0, it->Present(now) + 1 - slots);
        cost += it->Slowness(now) * kPlainWorkMs *
                (1 + ahead / slots + it->Present(now) / slots / 4);
      } else {
        const auto version = it->Version(need.model);
        if (version && *version < newest) {
          continue;
        }
        std::int64_t cached = 0;
        std::int64_t shared_tokens = 0;
        for (std::size_t i = 0; i < shared; ++i) {
          shared_tokens += need.prompt[i].tokens;
          if (it == home || it->parts.Has(need.prompt[i].id, now)) {
            cached = shared_tokens;
          }
        }
        missing = prompt_tokens - cached;
        if (it != home && !anchor.empty() && cached < shared_tokens) {
          fetches = true;
          missing = prompt_tokens - shared_tokens;
          cost += kAwayCostMs + kFetchCostMsPerKilotoken *
                                    static_cast<double>(shared_tokens - cached) /
                                    1000;
        }
        const double load =
            now - it->load_at <= kLoadAge ? it->load.waiting : 0;
        cost += it->Slowness(now) *
                (static_cast<double>(missing + it->unread_tokens) /
                     kPrefillTokensPerMs +
                 load * kWaitingCostMs + it->Present(now) * kRunningCostMs);
      }
      if (cost < best_cost) {
        best = it;
        best_cost = cost;
        best_missing = missing;
        best_fetches = fetches;
      }
    }
    if (best != nullptr) {
      break;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  Placement place;
  place.server_id = best->about.id;
  place.address = best->about.address;
  place.cost_ms = best_cost;
  place.tokens_missing = best_missing;
  if (!need.model.empty()) {
    place.weights_version = best->Version(need.model);
    if (best_fetches && home != nullptr && home != best &&
        home->Version(need.model) == place.weights_version) {
      place.fetch_from = home->about.address;
    }
  }
  return place;
}

bool ServerBook::HasServer(std::string_view service, TimePoint /*now*/) const {
  const auto all = contents_->Of(service);
  return std::any_of(all.begin(), all.end(),
                     [](const Server* it) { return Contents::Usable(*it); });
}

bool ServerBook::MayUse(std::string_view server_id) const {
  auto found = contents_->servers.find(server_id);
  return found != contents_->servers.end() && Contents::Usable(found->second);
}

Millis ServerBook::ReturnAfter(std::string_view service) const {
  double ahead = 0;
  double slots = 0;
  for (const Server* it : contents_->Of(service)) {
    if (Contents::Usable(*it)) {
      ahead += it->in_flight;
      slots += std::max(1, it->about.slots);
    }
  }
  constexpr double kNoServerMs = 500;
  if (slots == 0) {
    return Millis(static_cast<int>(kNoServerMs));
  }
  constexpr double kLeastMs = 100;
  return Millis(
      static_cast<int>(kLeastMs + kPlainWorkMs * ahead / slots));
}

void ServerBook::OnDispatch(const Placement& placement,
                            const Need& need,
                            TimePoint now) {
  auto found = contents_->servers.find(placement.server_id);
  if (found == contents_->servers.end()) {
    return;
  }
  Server& it = found->second;
  ++it.in_flight;
  it.unread_tokens += placement.tokens_missing;
  for (const PromptPart& part : need.prompt) {
    it.parts.Touch(part.id, part.tokens, now);
  }
}

void ServerBook::OnHead(const Placement& placement,
                        const ServerHead& head,
                        TimePoint now) {
  auto found = contents_->servers.find(placement.server_id);
  if (found == contents_->servers.end() || !head.load) {
    return;
  }
  found->second.load = *head.load;
  found->second.load_at = now;
  found->second.in_flight_at_load = found->second.in_flight;
}

void ServerBook::OnFirstByte(const Placement& placement) {
  auto found = contents_->servers.find(placement.server_id);
  if (found != contents_->servers.end()) {
    Server& it = found->second;
    it.unread_tokens =
        std::max<std::int64_t>(0, it.unread_tokens - placement.tokens_missing);
  }
}

void ServerBook::OnEnd(const Placement& placement,
                       AttemptOutcome outcome,
                       TimePoint now) {
  auto found = contents_->servers.find(placement.server_id);
  if (found == contents_->servers.end()) {
    return;
  }
  Server& it = found->second;
  it.in_flight = std::max(0, it.in_flight - 1);
  if (outcome == AttemptOutcome::kServed) {
    it.failures = 0;
    it.distrusted_until = {};
    return;
  }
  if (outcome == AttemptOutcome::kNeutral) {
    return;
  }
  const bool unreachable = outcome == AttemptOutcome::kUnreachable;
  it.failures += unreachable ? kFailuresToDistrust : 1;
  if (it.failures >= kFailuresToDistrust) {
    const int doublings = std::min(it.failures / kFailuresToDistrust - 1, 4);
    it.distrusted_until =
        now + std::min(kFirstDistrust * (1 << doublings), kMostDistrust);
  }
}

void ServerBook::OnOtherVersion(std::string_view server_id,
                                std::string_view model,
                                std::optional<std::int64_t> version) {
  auto found = contents_->servers.find(server_id);
  if (found == contents_->servers.end()) {
    return;
  }
  Server& it = found->second;
  const std::string key(model);
  if (version) {
    it.learned[key] = *version;
  }
}

void ServerBook::OnOtherIncarnation(std::string_view server_id) {
  auto found = contents_->servers.find(server_id);
  if (found != contents_->servers.end()) {
    found->second.replaced = true;
  }
}

std::vector<ServerStatus> ServerBook::Status(TimePoint now) const {
  std::vector<ServerStatus> list;
  for (const auto& [id, it] : contents_->servers) {
    list.push_back({id, it.about.service, it.in_flight, it.about.leaving,
                    now < it.distrusted_until});
  }
  return list;
}

}  // namespace peridotgate::gateway
