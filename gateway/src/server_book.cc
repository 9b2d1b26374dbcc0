#include "gateway/server_book.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <unordered_set>
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
// Bringing a cached token from the cache store, whose link carries some 33
// Gbit/s for tokens of 18 KB.
constexpr double kFetchCostMsPerToken = 0.005;
// Bringing a cached token from another server, whose link carries some 130
// Gbit/s for tokens of 18 KB; twice as long from another data centre.
constexpr double kCopyMsPerToken = 0.0012;
// A server that used a part within this time is taken to hold it still, also
// when running requests need much of its memory.
constexpr seconds kSurelyHeld{3};
// Prompts that share less than this are placed by load alone.
constexpr std::int64_t kLeastSharedTokens = 1024;
// A part saved this recently is taken to be in the cache store, which tells
// late of what it has, and at times never.
constexpr seconds kSavedFor{6};
// Parts that are remembered as saved.
constexpr std::size_t kSavedParts = 8192;
// Old weights cost nothing for this long after new ones were named, then are
// avoided.
constexpr milliseconds kOldWeightsFree{1300};
constexpr double kOldWeightsCostMs = 120;
// Versions of one model whose naming is remembered.
constexpr std::size_t kNamedVersions = 32;
// A process that starts can't know when weights were named: it uses old ones
// for this long.
constexpr milliseconds kOldWeightsAtStart{2000};
// A server whose switch was not reported as done is tried again after this.
constexpr milliseconds kSwitchTimeout{4000};
// The part of a plain request's time that a full server adds.
constexpr double kBusyPlainShare = 0.25;
// Fixed cost of not being at the server that all gateways prefer for a prefix:
// the copy takes memory twice.
constexpr double kAwayCostMs = 40;
// A load figure older than this says nothing of the present.
constexpr milliseconds kLoadAge{1500};
// What another gateway told is repeated within a third of this time while it
// holds.
constexpr milliseconds kPeerUseAge{1800};
// Failures in a row before a server is left alone.
constexpr int kFailuresToDistrust = 3;
constexpr milliseconds kFirstDistrust{500};
constexpr milliseconds kMostDistrust{8000};
// Work time of a plain request, in milliseconds, until one was measured.
constexpr double kPlainWorkMs = 30;
// The part of an engine's memory that is taken to hold the prompts it was sent
// last; outputs and the ends of blocks have the rest.
constexpr double kCachedShare = 0.8;
// Prompts that wait to be told; more are not told.
constexpr std::size_t kMostSent = 256;

std::uint64_t Hash(std::string_view a, std::string_view b) {
  return XXH3_64bits_withSeed(a.data(), a.size(),
                              XXH3_64bits(b.data(), b.size()));
}

// What another gateway told of a server.
struct PeerUse {
  int in_flight = 0;
  std::int64_t unread_tokens = 0;
  TimePoint at{};
};

struct Server {
  BackendServer about;
  int in_flight = 0;
  std::int64_t unread_tokens = 0;  // Of prompts sent, before their first byte.
  ServerLoad load;
  TimePoint load_at{};
  int in_flight_at_load = 0;
  std::map<std::string, PeerUse, std::less<>> peers;
  int failures = 0;  // In a row.
  TimePoint distrusted_until{};
  bool replaced = false;  // Another incarnation answers at the address.
  std::map<std::string, std::int64_t> learned;  // Weights by model, as told.
  std::optional<TimePoint> switching_since;
  PartMemory parts;
  TimePoint copying_until{};  // Its link, with the copies that we asked for.

  bool Switching(TimePoint now) const {
    return switching_since && now - *switching_since < kSwitchTimeout;
  }

  // New weights leave nothing of what was cached.
  void Learn(const std::string& model, std::int64_t version) {
    std::int64_t& known = learned[model];
    if (version > known) {
      if (known != 0) {
        parts.Clear();
      }
      known = version;
    }
  }

  void Take(const BackendServer& listed) {
    about = listed;
    for (const auto& [model, version] : about.weights) {
      Learn(model, version);
    }
  }

  void Take(const RolloutState& told, TimePoint now) {
    Learn(told.model, told.version);
    if (!told.switching) {
      switching_since.reset();
    } else if (!switching_since) {
      switching_since = now;
    }
  }

  std::optional<std::int64_t> Version(std::string_view model) const {
    auto found = learned.find(std::string(model));
    if (found == learned.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  // Requests there now: what the gateways have there, or what it said last and
  // we have sent since, if that is more.
  double Present(TimePoint now) const {
    int told = in_flight;
    for (const auto& [peer, use] : peers) {
      told += now - use.at <= kPeerUseAge ? use.in_flight : 0;
    }
    if (load_at == TimePoint{} || now - load_at > kLoadAge) {
      return told;
    }
    const int since = in_flight - in_flight_at_load;
    return std::max<double>(told, load.running + load.waiting + since);
  }

  // Prompt tokens that all gateways sent and the server has not read yet.
  std::int64_t Unread(TimePoint now) const {
    std::int64_t tokens = unread_tokens;
    for (const auto& [peer, use] : peers) {
      tokens += now - use.at <= kPeerUseAge ? use.unread_tokens : 0;
    }
    return tokens;
  }

  double Slowness(TimePoint now) const {
    return now - load_at > kLoadAge ? 1 : std::max(load.slowness, 0.1);
  }
};

// A request's prompt, as placement reads it.
struct Prompt {
  std::string anchor;  // Key of the deepest part that others share; or empty.
  std::size_t shared_parts = 0;
  std::int64_t shared_tokens = 0;
  std::int64_t tokens = 0;
  const Server* home = nullptr;  // All gateways prefer it for the anchor.
  std::int64_t newest = 0;       // Weights that some server has, as named.
};

// What a server would make of a request.
struct Scored {
  const Server* server = nullptr;
  double cost_ms = 0;
  std::int64_t missing = 0;  // Tokens to be computed.
  bool unsure = false;       // Shared parts may not be there.
};

double ToMs(coordination::Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

// Parts are told apart by the scope within which they are shared.
std::string PartKey(std::string_view scope, std::string_view id) {
  std::string key(scope);
  key += '/';
  key += id;
  return key;
}

std::uint64_t HashOf(std::string_view key) {
  return XXH3_64bits(key.data(), key.size());
}

}  // namespace

struct ServerBook::Contents {
  std::map<std::string, Server, std::less<>> servers;
  std::map<std::string, std::vector<Server*>, std::less<>> by_service;
  std::shared_ptr<const Rules> rules;
  std::shared_ptr<const WeightsTargets> targets;
  std::vector<runtime::Endpoint> cache_stores;
  // When each of the last versions was named, by model.
  std::map<std::string, std::map<std::int64_t, TimePoint>, std::less<>>
      named_at;
  std::vector<SentPrompt> sent;  // Not told to others yet.
  Millis old_weights_limit{0};
  std::set<std::string> stores_up;         // By address.
  std::unordered_set<std::string> stored;  // Keys with scope and version.
  PartMemory saved{kSavedParts};

  std::span<Server* const> Of(std::string_view service) const {
    auto found = by_service.find(service);
    if (found == by_service.end()) {
      return {};
    }
    return found->second;
  }

  static bool Usable(const Server& it) {
    return !it.about.leaving && !it.replaced;
  }

  static bool Trusted(const Server& it, TimePoint now) {
    return Usable(it) && now >= it.distrusted_until;
  }

  // The newest version that was named and that some server has.
  std::int64_t NewestVersion(std::string_view model,
                             std::span<Server* const> of) const {
    std::int64_t newest = 0;
    for (const Server* it : of) {
      if (Usable(*it)) {
        newest = std::max(newest, it->Version(model).value_or(0));
      }
    }
    return newest;
  }

  // How long ago the first version after `version` was named.
  coordination::Duration Outdated(std::string_view model,
                                  std::int64_t version,
                                  TimePoint now) const {
    const auto named = named_at.find(model);
    if (named == named_at.end()) {
      return {};
    }
    const auto next = named->second.upper_bound(version);
    return next == named->second.end() ? coordination::Duration{}
                                       : now - next->second;
  }

  Prompt Read(const Need& need) const {
    Prompt prompt;
    if (need.model.empty()) {
      return prompt;
    }
    const auto all = Of(need.service);
    prompt.newest = NewestVersion(need.model, all);
    prompt.shared_parts = need.prompt.empty() ? 0 : need.prompt.size() - 1;
    for (std::size_t i = 0; i < need.prompt.size(); ++i) {
      prompt.tokens += need.prompt[i].tokens;
      prompt.shared_tokens +=
          i < prompt.shared_parts ? need.prompt[i].tokens : 0;
    }
    // Short shared parts are cheaper to read again than to look for.
    if (prompt.shared_tokens < kLeastSharedTokens) {
      return prompt;
    }
    prompt.anchor =
        PartKey(need.cache_scope, need.prompt[prompt.shared_parts - 1].id);
    std::uint64_t best = 0;
    for (const Server* it : all) {
      const std::uint64_t hash = Hash(prompt.anchor, it->about.id);
      if (Usable(*it) && (prompt.home == nullptr || hash > best)) {
        prompt.home = it;
        best = hash;
      }
    }
    return prompt;
  }

  double Base(const Server& it, const Need& need) const {
    return it.about.data_centre == need.data_centre ? 0 : kCrossingCostMs;
  }

  // Answers the load of short calls: the least full server, by what it said
  // last and what was sent since.
  std::optional<Scored> ScorePlain(const Server& it,
                                   const Need& need,
                                   TimePoint now) const {
    const double slots = std::max(1, it.about.slots);
    const double present = it.Present(now);
    const double ahead = std::max(0.0, present + 1 - slots);
    const double cost = it.Slowness(now) * kPlainWorkMs *
                        (1 + ahead / slots + kBusyPlainShare * present / slots);
    return Scored{&it, Base(it, need) + cost, 0, false};
  }

  // Answers the load of long shared prompts: the work that is missing at the
  // server against the work that waits there.
  std::optional<Scored> ScoreEngine(const Server& it,
                                    const Need& need,
                                    const Prompt& prompt,
                                    TimePoint now) const {
    if (it.Switching(now)) {
      return std::nullopt;
    }
    double cost = Base(it, need);
    const std::int64_t version = it.Version(need.model).value_or(0);
    if (version < prompt.newest) {
      const auto age = Outdated(need.model, version, now);
      if (age >= old_weights_limit) {
        return std::nullopt;
      }
      cost += age >= kOldWeightsFree ? kOldWeightsCostMs : 0;
    }
    Scored score{&it, 0, prompt.tokens, false};
    if (!prompt.anchor.empty()) {
      const bool known = it.parts.Has(HashOf(prompt.anchor));
      score.unsure = !known;
      score.missing = prompt.tokens - prompt.shared_tokens;
      const auto shared = static_cast<double>(prompt.shared_tokens);
      if (!known && &it == prompt.home) {
        cost += kFetchCostMsPerToken * shared;
      } else if (!known) {
        cost += kAwayCostMs + kFetchCostMsPerToken * shared;
      }
    }
    const double waiting = now - it.load_at <= kLoadAge ? it.load.waiting : 0;
    cost += it.Slowness(now) *
            (static_cast<double>(score.missing + it.Unread(now)) /
                 kPrefillTokensPerMs +
             waiting * kWaitingCostMs + it.Present(now) * kRunningCostMs);
    score.cost_ms = cost;
    return score;
  }

  // The cache store for a prefix: all gateways prefer the same one, so that
  // each store's memory and link carry their part.
  const runtime::Endpoint* StoreFor(std::string_view anchor) const {
    const runtime::Endpoint* store = nullptr;
    std::uint64_t best = 0;
    for (const runtime::Endpoint& it : cache_stores) {
      const std::uint64_t hash = Hash(anchor, runtime::ToString(it));
      if (store == nullptr || hash > best) {
        store = &it;
        best = hash;
      }
    }
    const bool up =
        store != nullptr && stores_up.contains(runtime::ToString(*store));
    return up ? store : nullptr;
  }

  // Another server that surely holds the prompt's shared parts under the same
  // weights. Answers the load of prefixes that many servers need at once: the
  // servers' own links carry them.
  const Server* HolderFor(const Server& target,
                          const Need& need,
                          const Prompt& prompt,
                          TimePoint now) const {
    const std::uint64_t anchor = HashOf(prompt.anchor);
    const auto version = target.Version(need.model);
    const Server* holder = nullptr;
    double least = 0;
    for (const Server* it : Of(need.service)) {
      const bool held = it->parts.Has(anchor) &&
                        now - it->parts.LastUse(anchor) <= kSurelyHeld;
      if (it == &target || !held || !Trusted(*it, now) || it->Switching(now) ||
          it->Version(need.model) != version) {
        continue;
      }
      const double zones =
          it->about.data_centre == target.about.data_centre ? 1 : 2;
      const double wait =
          ToMs(std::max(coordination::Duration{}, it->copying_until - now));
      const double cost = wait + zones * kCopyMsPerToken *
                                     static_cast<double>(prompt.shared_tokens);
      if (holder == nullptr || cost < least) {
        holder = it;
        least = cost;
      }
    }
    return holder;
  }

  Placement MakePlacement(const Scored& score,
                          const Need& need,
                          const Prompt& prompt,
                          TimePoint now) const {
    const Server& it = *score.server;
    Placement place;
    place.server_id = it.about.id;
    place.address = it.about.address;
    place.cost_ms = score.cost_ms;
    place.tokens_missing = score.missing;
    if (need.model.empty()) {
      return place;
    }
    place.model = need.model;
    place.weights_version = it.Version(need.model);
    if (prompt.anchor.empty() || !place.weights_version) {
      return place;
    }
    const runtime::Endpoint* store = StoreFor(prompt.anchor);
    place.saved_key =
        "v" + std::to_string(*place.weights_version) + "/" + prompt.anchor;
    const bool just_saved =
        now - saved.LastUse(HashOf(place.saved_key)) < kSavedFor;
    if (store != nullptr && !just_saved && !stored.contains(place.saved_key)) {
      place.save_to = *store;
    }
    // Links are shared by all, so only what the server is not known to have is
    // looked for elsewhere.
    if (score.unsure) {
      const Server* holder = HolderFor(it, need, prompt, now);
      if (holder != nullptr) {
        place.fetch_from = holder->about.address;
        place.copied_from = holder->about.id;
      } else if (store != nullptr) {
        place.fetch_from = *store;
      }
      place.copied_tokens = prompt.shared_tokens;
    }
    return place;
  }
};

ServerBook::ServerBook(Millis old_weights_limit)
    : contents_(std::make_unique<Contents>()) {
  contents_->old_weights_limit = old_weights_limit;
}

ServerBook::~ServerBook() = default;

void ServerBook::OnView(const FleetView& view, TimePoint now) {
  Contents& it = *contents_;
  const bool first = !it.rules;
  it.rules = view.rules;
  it.cache_stores = CacheStores(view.rules.get());
  const Millis before_start =
      std::max(Millis(0), it.old_weights_limit - kOldWeightsAtStart);
  if (view.weights) {
    for (const auto& [model, version] : *view.weights) {
      const bool known = it.targets && it.targets->contains(model) &&
                         it.targets->at(model) == version;
      if (!known) {
        auto& named = it.named_at[model];
        named[version] = first ? now - before_start : now;
        if (named.size() > kNamedVersions) {
          named.erase(named.begin());
        }
      }
    }
  }
  it.targets = view.weights;
  static const ServerMap none;
  const ServerMap& listed = view.servers ? *view.servers : none;
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
    server.Take(about);
    if (view.rollout) {
      auto told = view.rollout->find(id);
      if (told != view.rollout->end()) {
        server.Take(told->second, now);
      }
    }
    it.by_service[about.service].push_back(&server);
  }
}

std::optional<Placement> ServerBook::Place(const Need& need,
                                           TimePoint now) const {
  const Contents& book = *contents_;
  const Prompt prompt = book.Read(need);
  const Scored* best = nullptr;
  std::vector<Scored> scored;
  // Servers that failed of late are used only when there is no other.
  for (const bool trusted_only : {true, false}) {
    for (const Server* it : book.Of(need.service)) {
      if (trusted_only ? !Contents::Trusted(*it, now)
                       : !Contents::Usable(*it)) {
        continue;
      }
      if (std::find(need.avoided.begin(), need.avoided.end(), it->about.id) !=
          need.avoided.end()) {
        continue;
      }
      auto score = need.model.empty()
                       ? book.ScorePlain(*it, need, now)
                       : book.ScoreEngine(*it, need, prompt, now);
      if (score) {
        scored.push_back(*score);
      }
    }
    for (const Scored& it : scored) {
      if (best == nullptr || it.cost_ms < best->cost_ms) {
        best = &it;
      }
    }
    if (best != nullptr) {
      break;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return book.MakePlacement(*best, need, prompt, now);
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
  return Millis(static_cast<int>(kLeastMs + kPlainWorkMs * ahead / slots));
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
  SentPrompt sent{placement.server_id, {}, {}};
  for (const PromptPart& part : need.prompt) {
    const std::uint64_t id = HashOf(PartKey(need.cache_scope, part.id));
    it.parts.Touch(id, part.tokens, now);
    sent.parts.push_back(id);
    sent.tokens.push_back(static_cast<std::int32_t>(part.tokens));
  }
  if (!sent.parts.empty() && contents_->sent.size() < kMostSent) {
    contents_->sent.push_back(std::move(sent));
  }
  auto holder = contents_->servers.find(placement.copied_from);
  if (holder != contents_->servers.end()) {
    TimePoint& until = holder->second.copying_until;
    until = std::max(until, now) +
            std::chrono::duration_cast<coordination::Duration>(
                std::chrono::duration<double, std::milli>(
                    kCopyMsPerToken *
                    static_cast<double>(placement.copied_tokens)));
  }
  if (placement.save_to) {
    contents_->saved.Touch(HashOf(placement.saved_key), 1, now);
  }
}

void ServerBook::OnHead(const Placement& placement,
                        const ServerHead& head,
                        TimePoint now) {
  auto found = contents_->servers.find(placement.server_id);
  if (found == contents_->servers.end()) {
    return;
  }
  if (!placement.model.empty() && head.weights_version) {
    found->second.Learn(placement.model, *head.weights_version);
  }
  if (!head.load) {
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

void ServerBook::OnCacheStore(const CacheStoreNews& news) {
  Contents& it = *contents_;
  const std::string address = runtime::ToString(news.store);
  if (news.reachable) {
    it.stores_up.insert(address);
  } else {
    it.stores_up.erase(address);
  }
  if (news.emptied) {
    // What other stores hold is saved there again, once.
    it.stored.clear();
    it.saved.Clear();
  }
  for (const CacheEvent& event : news.events) {
    std::string key = PartKey(event.scope, event.part);
    if (event.added) {
      it.stored.insert(std::move(key));
    } else {
      it.stored.erase(key);
    }
  }
}

std::vector<ServerUse> ServerBook::OwnUse() const {
  std::vector<ServerUse> uses;
  for (const auto& [id, it] : contents_->servers) {
    if (it.in_flight > 0) {
      uses.push_back({id, it.in_flight, it.unread_tokens});
    }
  }
  return uses;
}

std::vector<SentPrompt> ServerBook::TakeSent() {
  return std::exchange(contents_->sent, {});
}

void ServerBook::OnPeerSent(std::span<const SentPrompt> prompts,
                            TimePoint now) {
  for (const SentPrompt& it : prompts) {
    auto found = contents_->servers.find(it.server_id);
    if (found == contents_->servers.end()) {
      continue;
    }
    for (std::size_t i = 0; i < it.parts.size() && i < it.tokens.size(); ++i) {
      found->second.parts.Touch(it.parts[i], it.tokens[i], now);
    }
  }
}

void ServerBook::OnPeerUse(std::string_view peer,
                           std::span<const ServerUse> uses,
                           bool whole,
                           TimePoint now) {
  if (whole) {
    for (auto& [id, it] : contents_->servers) {
      auto told = it.peers.find(peer);
      if (told != it.peers.end()) {
        it.peers.erase(told);
      }
    }
  }
  for (const ServerUse& use : uses) {
    auto found = contents_->servers.find(use.server_id);
    if (found != contents_->servers.end()) {
      found->second.peers[std::string(peer)] = {use.in_flight,
                                                use.unread_tokens, now};
    }
  }
}

void ServerBook::OnOtherVersion(std::string_view server_id,
                                std::string_view model,
                                std::optional<std::int64_t> version) {
  auto found = contents_->servers.find(server_id);
  if (found == contents_->servers.end()) {
    return;
  }
  if (version) {
    found->second.Learn(std::string(model), *version);
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
