#include "gateway/load_balancer.h"

#include <algorithm>
#include <array>
#include <limits>
#include <random>
#include <set>
#include <unordered_set>
#include <utility>

#include <xxhash.h>

#include "routing/even_choice.h"
#include "routing/server_model.h"
#include "server_state.h"

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requests that wait at an engine stand before a prompt of the mean size; this
// one is assumed until prompts were seen.
constexpr double kAssumedPromptTokens = 3000;
// Cost of cross-data-centre requests: a round trip, and traffic that is paid
// for.
constexpr double kCrossDataCentreCostMs = 3;
// How much longer a fetch from the cache store takes than one from an engine:
// its link is slower and shared by all.
constexpr double kStoreFetchFactor = 4;
// A server that used a part within this time is assumed to still have it
// cached, even when running requests need much of its memory.
constexpr seconds kGuaranteedHeld{3};
// A server that used a part within this time holds it even under heavy load.
constexpr milliseconds kSurelyHeld{500};
// Prompts with fewer shared tokens are placed by load alone.
constexpr std::int64_t kMinSharedTokens = 1024;
// A part saved within this time is assumed to be in the cache store, which
// reports new parts late and sometimes never.
constexpr seconds kSaveReportDelay{6};
// Number of saved parts that are remembered.
constexpr std::size_t kMaxSavedParts = 8192;
// Using old weights costs nothing for this long after new ones became the
// target; after that it costs `kOldWeightsCostMs`.
constexpr milliseconds kOldWeightsGrace{1300};
constexpr double kOldWeightsCostMs = 120;
// Target versions per model whose time of change is kept.
constexpr std::size_t kMaxNamedVersions = 32;
// A process that starts does not know when the target versions changed, so it
// uses old weights for up to this long.
constexpr milliseconds kOldWeightsAtStart{2000};
// Fraction by which a fully occupied server prolongs a plain request.
constexpr double kFullServerSlowdown = 0.25;
// Fixed cost of a non-preferred server for a prefix: the additional copy takes
// memory.
constexpr double kNonPreferredCostMs = 40;
// Consecutive failures until a server is ejected.
constexpr int kFailuresToEject = 3;
constexpr milliseconds kFirstEjection{500};
constexpr milliseconds kMaxEjection{8000};
// Assumed processing time of a plain request, in milliseconds.
constexpr double kPlainWorkMs = 30;
// Fraction of an engine's memory assumed to hold the most recently sent
// prompts; the rest goes to outputs and partly filled blocks.
constexpr double kCachedFraction = 0.8;
// Smoothing of what is learned of the peers' requests.
constexpr double kPeerRateWeight = 0.1;
constexpr double kMaxReportAgeMs = 200;
// Added to the age of reports: the way between gateways, and from here to a
// server.
constexpr double kReportWayMs = 2;
// Leaving servers that one whole report repeats, some 40 bytes each; the others
// are repeated in the next ones.
constexpr std::size_t kMaxLeavingRepeated = 16;
// Prompts waiting to be announced to the peers; further ones are not announced.
constexpr std::size_t kMaxUnannounced = 256;

std::uint64_t Hash(std::string_view a, std::string_view b) {
  return XXH3_64bits_withSeed(a.data(), a.size(),
                              XXH3_64bits(b.data(), b.size()));
}

// A request's prompt, as used for placement.
struct Prompt {
  std::string anchor;  // Key of the deepest shared part, or empty.
  std::size_t shared_parts = 0;
  std::int64_t shared_tokens = 0;
  std::int64_t tokens = 0;
  // The preferred server for the anchor, the same for all gateways.
  const Server* preferred = nullptr;
  std::int64_t newest = 0;  // Newest known version that some server has.
};

// Predicted result of placing a request on a server.
struct ScoredServer {
  const Server* server = nullptr;
  double cost_ms = 0;
  std::int64_t missing_tokens = 0;  // Prompt tokens to be computed.
  routing::PrefillWork work;
  bool fits = true;
  bool may_lack_shared = false;  // The shared parts may not be cached there.
};

double StoreFetchMs(const Server& to, double tokens) {
  return kStoreFetchFactor * to.transfer_ms_per_token * tokens;
}

double ToMs(coordination::Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

// Key of a part, unique within the scope in which it is shared.
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

struct LoadBalancer::Impl {
  explicit Impl(std::uint64_t seed) : limits(seed) {}

  std::map<std::string, Server, std::less<>> servers;
  std::map<std::string, std::vector<Server*>, std::less<>> by_service;
  std::map<std::string, routing::ServiceModel, std::less<>> models;
  routing::ServerStanding standing;
  routing::ServerLimits limits;
  mutable std::mt19937_64 random;
  // What the peers send, over all services.
  struct PeerLoad {
    double requests_per_s = 0;
    double report_gap_ms = 0;  // Between two reports of one peer.
    TimePoint counted_since{};
    int counted = 0;
    std::map<std::string, TimePoint, std::less<>> reported_at;
  };
  PeerLoad peer_load;
  std::shared_ptr<const Rules> rules;
  std::shared_ptr<const WeightsTargets> targets;
  std::vector<runtime::Endpoint> cache_stores;
  // When each recent version became the target, by model.
  std::map<std::string, std::map<std::int64_t, TimePoint>, std::less<>>
      named_at;
  std::vector<SentPrompt> unannounced;  // Not announced to the peers yet.
  Millis old_weights_limit{0};
  std::set<std::string> stores_up;  // By address.
  // Keys that include scope and version.
  std::unordered_set<std::string> stored;
  PartLru saved{kMaxSavedParts};

  std::span<Server* const> ServersOf(std::string_view service) const {
    auto found = by_service.find(service);
    if (found == by_service.end()) {
      return {};
    }
    return found->second;
  }

  const routing::PrefillTimes& TimesOf(std::string_view service) const {
    static const routing::ServiceModel prior;
    auto found = models.find(service);
    return found == models.end() ? prior.times() : found->second.times();
  }

  static bool Usable(const Server& it) {
    return !it.info.leaving && !it.replaced && !it.standing.leaving;
  }

  static bool NotEjected(const Server& it, TimePoint now) {
    return Usable(it) && !Paused(it, now) && !it.standing.reported &&
           now >= it.ejected_until;
  }

  static bool Paused(const Server& it, TimePoint now) {
    return now < it.standing.paused_until;
  }

  bool HasLimitRoom(const Server& it, TimePoint now) const {
    return !limits.active() ||
           limits.HasRoom({it.info.id, it.info.born_ms}, now);
  }

  // How far a server is from the first choice: ejected ones come after all
  // others, and then those of which another gateway says that they are leaving.
  static int Preference(const Server& it, TimePoint now) {
    return it.standing.reported ? 2 : NotEjected(it, now) ? 0 : 1;
  }

  void UpdateStanding(const std::string& id) {
    const auto found = servers.find(id);
    if (found != servers.end()) {
      found->second.standing = standing.Of(id, found->second.info.born_ms);
    }
  }

  // The newest version that some usable server has.
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

  // Learns how often the peers report and how much they send.
  void RecordReport(std::string_view peer, TimePoint now) {
    auto found = peer_load.reported_at.find(peer);
    if (found == peer_load.reported_at.end()) {
      peer_load.reported_at.emplace(std::string(peer), now);
    } else {
      const double gap = std::min(ToMs(now - found->second), kMaxReportAgeMs);
      peer_load.report_gap_ms +=
          kPeerRateWeight * (gap - peer_load.report_gap_ms);
      found->second = now;
    }
    const double counted_s = ToMs(now - peer_load.counted_since) / 1000;
    constexpr double kCountS = 0.2;
    if (counted_s >= kCountS) {
      const double rate = peer_load.counted / std::min(counted_s, 1.0);
      peer_load.requests_per_s +=
          kPeerRateWeight * 3 * (rate - peer_load.requests_per_s);
      peer_load.counted = 0;
      peer_load.counted_since = now;
    }
  }

  // How long ago a version newer than `version` first became the target.
  coordination::Duration TimeOutdated(std::string_view model,
                                      std::int64_t version,
                                      TimePoint now) const {
    const auto named_versions = named_at.find(model);
    if (named_versions == named_at.end()) {
      return {};
    }
    const auto next = named_versions->second.upper_bound(version);
    return next == named_versions->second.end() ? coordination::Duration{}
                                                : now - next->second;
  }

  Prompt AnalyzePrompt(const PlacementRequest& request) const {
    Prompt prompt;
    if (request.model.empty()) {
      return prompt;
    }
    const auto all = ServersOf(request.service);
    prompt.newest = NewestVersion(request.model, all);
    prompt.shared_parts =
        request.prompt.empty() ? 0 : request.prompt.size() - 1;
    for (std::size_t i = 0; i < request.prompt.size(); ++i) {
      prompt.tokens += request.prompt[i].tokens;
      prompt.shared_tokens +=
          i < prompt.shared_parts ? request.prompt[i].tokens : 0;
    }
    // Short shared parts are cheaper to recompute than to locate.
    if (prompt.shared_tokens < kMinSharedTokens) {
      return prompt;
    }
    prompt.anchor = PartKey(request.cache_scope,
                            request.prompt[prompt.shared_parts - 1].id);
    std::uint64_t best = 0;
    for (const Server* it : all) {
      const std::uint64_t hash = Hash(prompt.anchor, it->info.id);
      if (Usable(*it) && (prompt.preferred == nullptr || hash > best)) {
        prompt.preferred = it;
        best = hash;
      }
    }
    return prompt;
  }

  // Memory that the request needs beyond the parts that it shares.
  static std::int64_t OwnTokens(const PlacementRequest& request,
                                const Prompt& prompt) {
    return prompt.tokens - prompt.shared_tokens + request.output_tokens;
  }

  // How far costs may be off because of requests that the peers sent and that
  // are not known here.
  double Uncertainty(const PlacementRequest& request,
                     const ScoredServer& best) const {
    routing::UnseenLoad unseen;
    unseen.requests_per_s = peer_load.requests_per_s;
    unseen.age_ms =
        std::min(peer_load.report_gap_ms, kMaxReportAgeMs) + kReportWayMs;
    unseen.servers = ServersOf(request.service).size();
    unseen.request_ms = kPlainWorkMs / std::max(1, best.server->info.slots);
    if (!request.model.empty()) {
      const double tokens = best.server->own_tokens;
      unseen.request_ms = tokens * TimesOf(request.service).ms_per_token;
    }
    return routing::CostUncertainty(unseen);
  }

  const ScoredServer& Choose(const PlacementRequest& request,
                             std::span<const ScoredServer> scored) const {
    std::vector<double> costs;
    costs.reserve(scored.size());
    for (const ScoredServer& it : scored) {
      costs.push_back(it.cost_ms);
    }
    const auto best = std::min_element(costs.begin(), costs.end());
    const double uncertainty = Uncertainty(
        request, scored[static_cast<std::size_t>(best - costs.begin())]);
    return scored[routing::ChooseEvenly(
        costs, uncertainty, std::uniform_real_distribution<double>()(random))];
  }

  double DataCentreCost(const Server& it,
                        const PlacementRequest& request) const {
    return it.info.data_centre == request.data_centre ? 0
                                                      : kCrossDataCentreCostMs;
  }

  // Score for short requests without a prompt: prefers the least loaded server,
  // by its last load report and what was sent since.
  std::optional<ScoredServer> ScorePlain(const Server& it,
                                         const PlacementRequest& request,
                                         TimePoint now) const {
    const double slots = std::max(1, it.info.slots);
    const double present = it.RequestCount(now);
    const double queued = std::max(0.0, present + 1 - slots);
    const double cost =
        it.Slowness(now) * kPlainWorkMs *
        (1 + queued / slots + kFullServerSlowdown * present / slots);
    return ScoredServer{&it, DataCentreCost(it, request) + cost, 0, false};
  }

  // Score for requests with long shared prompts: weighs the prompt tokens that
  // the server would have to compute against the work queued there.
  std::optional<ScoredServer> ScoreEngine(const Server& it,
                                          const PlacementRequest& request,
                                          const Prompt& prompt,
                                          TimePoint now) const {
    if (it.Switching(now)) {
      return std::nullopt;
    }
    double cost = DataCentreCost(it, request);
    const std::int64_t version = it.Version(request.model).value_or(0);
    if (version < prompt.newest) {
      const auto age = TimeOutdated(request.model, version, now);
      if (age >= old_weights_limit) {
        return std::nullopt;
      }
      cost += age >= kOldWeightsGrace ? kOldWeightsCostMs : 0;
    }
    ScoredServer score{&it, 0, prompt.tokens, false};
    if (!prompt.anchor.empty()) {
      const bool known = it.parts.Has(HashOf(prompt.anchor));
      score.may_lack_shared = !known;
      score.missing_tokens = prompt.tokens - prompt.shared_tokens;
      const auto shared = static_cast<double>(prompt.shared_tokens);
      if (!known && &it == prompt.preferred) {
        cost += StoreFetchMs(it, shared);
      } else if (!known) {
        cost += kNonPreferredCostMs + StoreFetchMs(it, shared);
      }
    }
    const double waiting =
        now - it.load_at <= kMaxLoadAge ? it.load.waiting : 0;
    const double over = it.RequestsOverMemory(
        static_cast<double>(OwnTokens(request, prompt)), now);
    const routing::PrefillTimes& times = TimesOf(request.service);
    score.work = {
        static_cast<double>(score.missing_tokens + it.UnreadTokens(now)),
        it.RequestCount(now)};
    const double mean_prompt =
        it.own_tokens == 0 ? kAssumedPromptTokens : it.own_tokens;
    cost += it.Slowness(now) * it.pace.factor() *
            (times.Predict(score.work) +
             std::max(waiting, over) * mean_prompt * times.ms_per_token);
    const int slots = it.info.slots;
    score.fits = over <= 0 && waiting == 0 &&
                 (slots == 0 || it.RequestCount(now) < slots);
    score.cost_ms = cost;
    return score;
  }

  // The cache store for a prefix. All gateways choose the same one, which
  // spreads the prefixes over the memory and links of the stores.
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

  // Another server that is assumed to hold the shared parts under the same
  // weights version. Prefers one whose link is free soon, so that a prefix that
  // many servers need at once is fetched over several links.
  const Server* FindHolder(const Server& target,
                           const PlacementRequest& request,
                           const Prompt& prompt,
                           TimePoint now) const {
    const std::uint64_t anchor = HashOf(prompt.anchor);
    const auto version = target.Version(request.model);
    const Server* holder = nullptr;
    double least = 0;
    for (const Server* it : ServersOf(request.service)) {
      const bool held = it->parts.Has(anchor) &&
                        now - it->parts.LastUse(anchor) <= kGuaranteedHeld;
      if (it == &target || !held || !NotEjected(*it, now) ||
          it->Switching(now) || it->Version(request.model) != version) {
        continue;
      }
      const double zones =
          it->info.data_centre == target.info.data_centre ? 1 : 2;
      const double wait =
          ToMs(std::max(coordination::Duration{}, it->link_busy_until - now));
      const double cost = wait + zones * it->transfer_ms_per_token *
                                     static_cast<double>(prompt.shared_tokens);
      if (holder == nullptr || cost < least) {
        holder = it;
        least = cost;
      }
    }
    return holder;
  }

  Placement MakePlacement(const ScoredServer& score,
                          const PlacementRequest& request,
                          const Prompt& prompt,
                          TimePoint now) const {
    const Server& it = *score.server;
    Placement placement;
    placement.server_id = it.info.id;
    placement.born_ms = it.info.born_ms;
    placement.address = it.info.address;
    placement.cost_ms = score.cost_ms;
    placement.tokens_missing = score.missing_tokens;
    placement.work = score.work;
    placement.fits = score.fits;
    placement.memory_tokens =
        request.model.empty() ? 0 : OwnTokens(request, prompt);
    if (request.model.empty()) {
      return placement;
    }
    placement.model = request.model;
    placement.weights_version = it.Version(request.model);
    if (prompt.anchor.empty() || !placement.weights_version) {
      return placement;
    }
    const runtime::Endpoint* store = StoreFor(prompt.anchor);
    placement.saved_prefix_key =
        "v" + std::to_string(*placement.weights_version) + "/" + prompt.anchor;
    const bool recently_saved =
        now - saved.LastUse(HashOf(placement.saved_prefix_key)) <
        kSaveReportDelay;
    if (store != nullptr && !recently_saved &&
        !stored.contains(placement.saved_prefix_key)) {
      placement.save_to = *store;
    }
    // An engine transfers only what it lacks, so a source is named unless the
    // parts were used there a moment ago. Under load they may be evicted much
    // sooner than `parts` predicts, and would be computed again.
    const bool used_lately =
        now - it.parts.LastUse(HashOf(prompt.anchor)) <= kSurelyHeld;
    if (score.may_lack_shared || !used_lately) {
      const Server* holder = FindHolder(it, request, prompt, now);
      const bool stored_there = stored.contains(placement.saved_prefix_key);
      if (holder != nullptr) {
        placement.fetch_from = holder->info.address;
        placement.fetch_server_id = holder->info.id;
      } else if (store != nullptr && (score.may_lack_shared || stored_there)) {
        placement.fetch_from = *store;
      }
      placement.fetch_tokens = score.may_lack_shared ? prompt.shared_tokens : 0;
    }
    return placement;
  }
};

LoadBalancer::LoadBalancer(Millis old_weights_limit, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(seed)) {
  impl_->random.seed(seed);
  impl_->old_weights_limit = old_weights_limit;
}

LoadBalancer::~LoadBalancer() = default;

void LoadBalancer::OnView(const FleetView& view, TimePoint now) {
  Impl& it = *impl_;
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
        auto& named_versions = it.named_at[model];
        named_versions[version] = first ? now - before_start : now;
        if (named_versions.size() > kMaxNamedVersions) {
          named_versions.erase(named_versions.begin());
        }
      }
    }
  }
  it.targets = view.weights;
  static const ServerMap no_servers;
  const ServerMap& listed_servers = view.servers ? *view.servers : no_servers;
  std::erase_if(it.servers, [&](const auto& entry) {
    auto found = listed_servers.find(entry.first);
    return found == listed_servers.end() ||
           found->second.born_ms != entry.second.info.born_ms ||
           found->second.address != entry.second.info.address;
  });
  it.standing.OnListed(
      [&](std::string_view id) {
        return listed_servers.contains(std::string(id));
      },
      now);
  it.limits.OnListed([&](const routing::Incarnation& server) {
    const auto found = listed_servers.find(server.id);
    return found != listed_servers.end() &&
           found->second.born_ms <= server.born_ms;
  });
  it.by_service.clear();
  for (const auto& [id, info] : listed_servers) {
    Server& server = it.servers[id];
    if (server.info.id.empty()) {
      const Service* service =
          view.rules ? view.rules->FindService(info.service) : nullptr;
      if (service != nullptr && service->engine) {
        server.parts = PartLru(static_cast<std::size_t>(
            kCachedFraction * static_cast<double>(service->engine->kv_tokens)));
        server.transfer_ms_per_token = service->engine->transfer_ms_per_token;
        server.memory_limit = static_cast<double>(service->engine->kv_tokens);
      }
    }
    server.Update(info);
    it.UpdateStanding(id);
    if (view.rollout) {
      auto reported = view.rollout->find(id);
      if (reported != view.rollout->end()) {
        server.Update(reported->second, now);
      }
    }
    it.by_service[info.service].push_back(&server);
  }
}

std::optional<Placement> LoadBalancer::Place(const PlacementRequest& request,
                                             TimePoint now,
                                             EjectedServers ejected) const {
  const Impl& impl = *impl_;
  const Prompt prompt = impl.AnalyzePrompt(request);
  std::vector<ScoredServer> scored;
  constexpr int kLastChoice = 2;
  for (int preference = 0; preference <= kLastChoice; ++preference) {
    for (const Server* it : impl.ServersOf(request.service)) {
      if (!Impl::Usable(*it) || Impl::Paused(*it, now) ||
          Impl::Preference(*it, now) != preference ||
          !impl.HasLimitRoom(*it, now)) {
        continue;
      }
      if (std::find(request.avoided.begin(), request.avoided.end(),
                    it->info.id) != request.avoided.end()) {
        continue;
      }
      auto score = request.model.empty()
                       ? impl.ScorePlain(*it, request, now)
                       : impl.ScoreEngine(*it, request, prompt, now);
      if (score) {
        scored.push_back(*score);
      }
    }
    if (!scored.empty() || ejected == EjectedServers::kNever) {
      break;
    }
  }
  if (scored.empty()) {
    return std::nullopt;
  }
  return impl.MakePlacement(impl.Choose(request, scored), request, prompt, now);
}

bool LoadBalancer::HasServer(std::string_view service,
                             TimePoint /*now*/) const {
  const auto all = impl_->ServersOf(service);
  return std::any_of(all.begin(), all.end(),
                     [](const Server* it) { return Impl::Usable(*it); });
}

bool LoadBalancer::IsUsable(std::string_view server_id,
                            std::int64_t born_ms,
                            TimePoint now) const {
  auto found = impl_->servers.find(server_id);
  return found != impl_->servers.end() &&
         found->second.info.born_ms == born_ms && Impl::Usable(found->second) &&
         !Impl::Paused(found->second, now);
}

std::optional<TimePoint> LoadBalancer::AllPausedUntil(std::string_view service,
                                                      TimePoint now) const {
  std::optional<TimePoint> first;
  for (const Server* it : impl_->ServersOf(service)) {
    if (!Impl::Usable(*it)) {
      continue;
    }
    if (!Impl::Paused(*it, now)) {
      return std::nullopt;
    }
    first =
        std::min(first.value_or(TimePoint::max()), it->standing.paused_until);
  }
  return first;
}

std::optional<LimitedRoom> LoadBalancer::FindLimitedRoom(
    std::string_view service,
    std::span<const std::string> avoided,
    TimePoint now) const {
  LimitedRoom room;
  room.gateways = impl_->limits.gateways();
  for (const Server* it : impl_->ServersOf(service)) {
    const routing::Incarnation server{it->info.id, it->info.born_ms};
    const auto per_s = impl_->limits.Get(server);
    const bool skipped =
        std::find(avoided.begin(), avoided.end(), server.id) != avoided.end();
    if (skipped || !Impl::Usable(*it) || Impl::Paused(*it, now)) {
      continue;
    }
    if (!per_s) {
      return std::nullopt;
    }
    const TimePoint at = now + impl_->limits.TimeToRoom(server, now);
    room.at = room.per_s == 0 ? at : std::min(room.at, at);
    room.per_s += *per_s;
  }
  return room.per_s > 0 ? std::optional(room) : std::nullopt;
}

Millis LoadBalancer::EstimateRetryAfter(std::string_view service) const {
  double queued = 0;
  double slots = 0;
  for (const Server* it : impl_->ServersOf(service)) {
    if (Impl::Usable(*it)) {
      queued += it->in_flight;
      slots += std::max(1, it->info.slots);
    }
  }
  constexpr double kNoServerMs = 500;
  if (slots == 0) {
    return Millis(static_cast<int>(kNoServerMs));
  }
  constexpr double kMinMs = 100;
  return Millis(static_cast<int>(kMinMs + kPlainWorkMs * queued / slots));
}

void LoadBalancer::OnDispatch(const Placement& placement,
                              const PlacementRequest& request,
                              TimePoint now) {
  auto found = impl_->servers.find(placement.server_id);
  if (found == impl_->servers.end()) {
    return;
  }
  Server& it = found->second;
  ++it.in_flight;
  it.unread_tokens += placement.tokens_missing;
  it.memory_tokens += placement.memory_tokens;
  SentPrompt sent{placement.server_id, {}, {}};
  for (const PromptPart& part : request.prompt) {
    const std::uint64_t id = HashOf(PartKey(request.cache_scope, part.id));
    it.parts.Touch(id, part.tokens, now);
    sent.parts.push_back(id);
    sent.tokens.push_back(static_cast<std::int32_t>(part.tokens));
  }
  if (!sent.tokens.empty()) {
    it.RecordPrompt(sent.tokens.back());
  }
  if (!sent.parts.empty() && impl_->unannounced.size() < kMaxUnannounced) {
    impl_->unannounced.push_back(std::move(sent));
  }
  auto holder = impl_->servers.find(placement.fetch_server_id);
  if (holder != impl_->servers.end()) {
    TimePoint& until = holder->second.link_busy_until;
    until = std::max(until, now) +
            std::chrono::duration_cast<coordination::Duration>(
                std::chrono::duration<double, std::milli>(
                    holder->second.transfer_ms_per_token *
                    static_cast<double>(placement.fetch_tokens)));
  }
  if (placement.save_to) {
    impl_->saved.Touch(HashOf(placement.saved_prefix_key), 1, now);
  }
}

void LoadBalancer::OnResponseHead(const Placement& placement,
                                  const ServerHead& head,
                                  TimePoint now) {
  auto found = impl_->servers.find(placement.server_id);
  if (found == impl_->servers.end()) {
    return;
  }
  if (!placement.model.empty() && head.weights_version) {
    found->second.RecordVersion(placement.model, *head.weights_version);
  }
  if (!head.load) {
    return;
  }
  found->second.load = *head.load;
  found->second.load_at = now;
  found->second.in_flight_at_load = found->second.in_flight;
}

void LoadBalancer::OnFirstByte(const Placement& placement,
                               std::optional<coordination::Duration> took) {
  auto found = impl_->servers.find(placement.server_id);
  if (found == impl_->servers.end()) {
    return;
  }
  Server& it = found->second;
  it.unread_tokens =
      std::max<std::int64_t>(0, it.unread_tokens - placement.tokens_missing);
  // What waited for memory or a place says little about the engine's speed.
  if (!took || placement.model.empty() || !placement.fits ||
      placement.fetch_tokens > 0) {
    return;
  }
  routing::ServiceModel& model = impl_->models[it.info.service];
  const double usual = ToMs(*took) / std::max(1.0, it.load.slowness);
  const double predicted = model.times().Predict(placement.work);
  model.Observe(placement.work, usual / it.pace.factor());
  it.pace.Observe(predicted, usual);
}

void LoadBalancer::OnEnd(const Placement& placement,
                         AttemptOutcome outcome,
                         TimePoint now) {
  auto found = impl_->servers.find(placement.server_id);
  if (found == impl_->servers.end()) {
    return;
  }
  Server& it = found->second;
  it.in_flight = std::max(0, it.in_flight - 1);
  it.memory_tokens =
      std::max<std::int64_t>(0, it.memory_tokens - placement.memory_tokens);
  if (outcome == AttemptOutcome::kServed) {
    it.failures = 0;
    it.ejected_until = {};
    return;
  }
  if (outcome == AttemptOutcome::kNeutral) {
    return;
  }
  const bool unreachable = outcome == AttemptOutcome::kUnreachable;
  it.failures += unreachable ? kFailuresToEject : 1;
  if (it.failures >= kFailuresToEject) {
    const int doublings = std::min(it.failures / kFailuresToEject - 1, 4);
    it.ejected_until =
        now + std::min(kFirstEjection * (1 << doublings), kMaxEjection);
  }
}

bool LoadBalancer::OnNotice(const routing::ServerNotice& notice,
                            TimePoint now) {
  const bool changed = impl_->standing.OnNotice(notice, now);
  impl_->UpdateStanding(notice.server.id);
  return changed;
}

std::vector<routing::Incarnation> LoadBalancer::OnPeerLeaving(
    std::span<const routing::Incarnation> leaving) {
  std::vector<routing::Incarnation> added;
  for (const routing::Incarnation& it : leaving) {
    // Peers repeat marks of servers that are not listed here yet.
    if (impl_->servers.contains(it.id) && impl_->standing.OnReported(it)) {
      impl_->UpdateStanding(it.id);
      added.push_back(it);
    }
  }
  return added;
}

std::vector<routing::Incarnation> LoadBalancer::TakeLeaving(bool whole) {
  auto leaving = impl_->standing.TakeNewLeaving();
  if (whole) {
    const auto repeated = impl_->standing.NextLeaving(kMaxLeavingRepeated);
    leaving.insert(leaving.end(), repeated.begin(), repeated.end());
  }
  // The others learn from the list that a server is gone.
  std::erase_if(leaving, [&](const routing::Incarnation& it) {
    return !impl_->servers.contains(it.id);
  });
  return leaving;
}

routing::ServerLimits& LoadBalancer::limits() {
  return impl_->limits;
}

void LoadBalancer::OnCacheStore(const CacheStoreUpdate& update) {
  Impl& it = *impl_;
  const std::string address = runtime::ToString(update.store);
  if (update.reachable) {
    it.stores_up.insert(address);
  } else {
    it.stores_up.erase(address);
  }
  if (update.emptied) {
    // The records do not say which store holds a part, so all are dropped.
    // Parts in other stores are then saved there once more.
    it.stored.clear();
    it.saved.Clear();
  }
  for (const CacheEvent& event : update.events) {
    std::string key = PartKey(event.scope, event.part);
    if (event.added) {
      it.stored.insert(std::move(key));
    } else {
      it.stored.erase(key);
    }
  }
}

std::vector<ServerUsage> LoadBalancer::LocalUsage() const {
  std::vector<ServerUsage> uses;
  for (const auto& [id, it] : impl_->servers) {
    if (it.in_flight > 0) {
      uses.push_back({id, it.in_flight, it.unread_tokens, it.memory_tokens});
    }
  }
  return uses;
}

std::vector<SentPrompt> LoadBalancer::TakeSentPrompts() {
  return std::exchange(impl_->unannounced, {});
}

void LoadBalancer::OnPeerPrompts(std::span<const SentPrompt> prompts,
                                 TimePoint now) {
  impl_->peer_load.counted += static_cast<int>(prompts.size());
  for (const SentPrompt& it : prompts) {
    auto found = impl_->servers.find(it.server_id);
    if (found == impl_->servers.end()) {
      continue;
    }
    if (!it.tokens.empty()) {
      found->second.RecordPrompt(it.tokens.back());
    }
    for (std::size_t i = 0; i < it.parts.size() && i < it.tokens.size(); ++i) {
      found->second.parts.Touch(it.parts[i], it.tokens[i], now);
    }
  }
}

void LoadBalancer::OnPeerUsage(std::string_view peer,
                               std::span<const ServerUsage> uses,
                               bool whole,
                               TimePoint now) {
  impl_->RecordReport(peer, now);
  if (whole) {
    for (auto& [id, it] : impl_->servers) {
      if (it.peers.contains(peer)) {
        it.SetPeerUsage(peer, {0, 0, 0, now});
      }
    }
  }
  for (const ServerUsage& use : uses) {
    auto found = impl_->servers.find(use.server_id);
    if (found != impl_->servers.end()) {
      found->second.SetPeerUsage(
          peer, {use.in_flight, use.unread_tokens, use.memory_tokens, now});
    }
  }
}

void LoadBalancer::OnVersionMismatch(std::string_view server_id,
                                     std::string_view model,
                                     std::optional<std::int64_t> version) {
  auto found = impl_->servers.find(server_id);
  if (found == impl_->servers.end()) {
    return;
  }
  if (version) {
    found->second.RecordVersion(std::string(model), *version);
  }
}

void LoadBalancer::OnIncarnationMismatch(std::string_view server_id) {
  auto found = impl_->servers.find(server_id);
  if (found != impl_->servers.end()) {
    found->second.replaced = true;
  }
}

std::vector<ServerStatus> LoadBalancer::Status(TimePoint now) const {
  std::vector<ServerStatus> list;
  for (const auto& [id, it] : impl_->servers) {
    const bool leaving = it.info.leaving || it.standing.leaving;
    list.push_back(
        {id, it.info.service, it.in_flight, leaving, now < it.ejected_until});
  }
  return list;
}

}  // namespace peridotgate::gateway
