#include "routing/server_policy.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "routing/prefix_heat.h"

namespace peridotgate::routing {
namespace {

// Seats probed per call: preferred servers of its prefix.
constexpr std::size_t kProbeCount = 3;
// Minimum number of preferred servers of a prefix.
constexpr std::uint64_t kMinHomes = 2;
constexpr std::uint64_t kMaxHomes = 4096;
// Calls with at least this many unshared pieces are long work. They get
// preferred servers of their own: spread over many servers, they would evict
// prefixes that other calls share.
constexpr std::size_t kLongPieces = 8;
// Mixed into the target's key to get the key that places its long work.
constexpr std::uint64_t kLongWorkSalt = 0xd6e8feb86659fd93;
// Number of preferred servers of a prefix, as a multiple of the servers that
// its share of all calls would occupy if calls were spread evenly.
constexpr double kSpareFactor = 1.0;
// Additional seats probed when no response was good enough.
constexpr std::size_t kExtraProbes = 6;
// Waiting time, besides its own prefill, up to which a call stays with its
// preferred servers.
constexpr std::chrono::milliseconds kAcceptableWait{30};

bool Contains(std::span<const SeatIndex> seats, SeatIndex seat) {
  return std::find(seats.begin(), seats.end(), seat) != seats.end();
}

// The prefix that determines the preferred servers of a call, and how many
// there are.
struct Anchor {
  std::uint64_t key = 0;
  std::uint64_t homes = kMinHomes;
};

// The placement key of the preferred server of `anchor` with this rank.
std::uint64_t HomeKey(const Anchor& anchor, std::uint64_t rank) {
  return anchor.key ^ (rank * 0x9e3779b97f4a7c15);
}

// The predicted time to first token at a seat beyond the call's own prefill.
Micros ExtraWait(std::span<const ProbedServer> servers,
                 const RouteQuery& query,
                 SeatIndex seat) {
  for (ProbedServer it : servers) {
    if (it.seat == seat) {
      const Micros predicted = PredictFirstToken(it, query);
      it.queue_wait = Micros(0);
      it.slowness = 1;
      return predicted - PredictFirstToken(it, query);
    }
  }
  return Micros(0);
}

std::vector<SeatIndex> Without(std::vector<SeatIndex> seats,
                               std::span<const SeatIndex> excluded) {
  std::erase_if(seats, [&](SeatIndex it) { return Contains(excluded, it); });
  return seats;
}

}  // namespace

const char* ReasonName(ChoiceReason reason) {
  switch (reason) {
    case ChoiceReason::kOnly:
      return "only";
    case ChoiceReason::kHeld:
      return "held";
    case ChoiceReason::kWait:
      return "wait";
    case ChoiceReason::kEqual:
      return "equal";
  }
  return "";
}

struct ServerPolicy::Impl {
  const coordination::Clock& clock;
  PrefixHeat heat;

  // Number of preferred servers for a prefix, in proportion to its share of all
  // calls.
  std::uint64_t HomeCount(PrefixKey key,
                          const RouteQuery& query,
                          std::size_t seats) const {
    const coordination::TimePoint now = clock.Now();
    const double all = std::max(1.0, heat.Count(query.target, now));
    const double part = heat.Count(key, now) / all;
    const double needed =
        std::ceil(part * static_cast<double>(seats) * kSpareFactor);
    return std::clamp(static_cast<std::uint64_t>(needed), kMinHomes, kMaxHomes);
  }

  static std::uint64_t LongWorkKey(const RouteQuery& query) {
    return query.target ^ kLongWorkSalt;
  }

  std::size_t UnsharedPieces(const RouteQuery& query) const {
    return query.chain.size() - heat.SharedDepth(query.chain, clock.Now());
  }

  // Counts a call. In the totals of its target and of long work, its weight is
  // its number of unshared pieces, which need prefill, but at least 1.
  void Count(const RouteQuery& query) {
    const coordination::TimePoint now = clock.Now();
    heat.Touch(query.chain, 1, now);
    const std::size_t unshared = UnsharedPieces(query);
    const auto weight = static_cast<double>(std::max<std::size_t>(1, unshared));
    heat.Touch({&query.target, 1}, weight, now);
    if (unshared >= kLongPieces) {
      const std::uint64_t key = LongWorkKey(query);
      heat.Touch({&key, 1}, weight, now);
    }
  }

  // The shortest shared prefix for which the minimum number of servers is
  // enough. Hotter prefixes are split by longer ones; if even the longest
  // shared prefix is hot, it gets more servers.
  Anchor AnchorOf(const RouteQuery& query, std::size_t seats) const {
    if (query.chain.empty()) {
      return {query.salt, kMinHomes};
    }
    if (UnsharedPieces(query) >= kLongPieces) {
      const std::uint64_t key = LongWorkKey(query);
      return {key, HomeCount(key, query, seats)};
    }
    const std::size_t shared =
        std::max<std::size_t>(1, heat.SharedDepth(query.chain, clock.Now()));
    Anchor anchor;
    for (std::size_t i = 0; i < shared; ++i) {
      anchor = {query.chain[i], HomeCount(query.chain[i], query, seats)};
      if (anchor.homes <= kMinHomes) {
        break;
      }
    }
    return anchor;
  }
};

ServerPolicy::ServerPolicy(const coordination::Clock& clock)
    : impl_(new Impl{clock, PrefixHeat()}) {}

ServerPolicy::~ServerPolicy() = default;

std::vector<SeatIndex> ServerPolicy::Plan(const PlacementTable& table,
                                          const RouteQuery& query,
                                          std::span<const SeatIndex> excluded) {
  impl_->Count(query);
  const Anchor anchor = impl_->AnchorOf(query, table.size());
  std::vector<SeatIndex> seats;
  // Two preferred servers selected by the call's salt, and the one that would
  // be added if the set grew.
  const std::uint64_t first = query.salt % anchor.homes;
  const std::uint64_t step = 1 + query.salt / anchor.homes % (anchor.homes - 1);
  const std::uint64_t second = (first + step) % anchor.homes;
  for (std::uint64_t rank : {first, second, anchor.homes}) {
    table.AddPreferred(HomeKey(anchor, rank), seats.size() + 1, seats);
  }
  table.AddRandom(query.salt, kProbeCount + excluded.size(), seats);
  seats = Without(std::move(seats), excluded);
  seats.resize(std::min(seats.size(), kProbeCount));
  return seats;
}

std::vector<SeatIndex> ServerPolicy::Widen(
    const PlacementTable& table,
    const RouteQuery& query,
    std::span<const ProbedServer> servers,
    std::span<const SeatIndex> excluded) const {
  auto choice = ChooseServer(servers, query);
  if (choice && ExtraWait(servers, query, choice->seat) <= kAcceptableWait) {
    return {};
  }
  std::vector<SeatIndex> seats(excluded.begin(), excluded.end());
  for (const ProbedServer& it : servers) {
    seats.push_back(it.seat);
  }
  const auto known = static_cast<std::ptrdiff_t>(seats.size());
  table.AddRandom(query.salt + 1, kExtraProbes + seats.size(), seats);
  seats.erase(seats.begin(), seats.begin() + known);
  return seats;
}

std::optional<Decision> ServerPolicy::Decide(
    std::span<const ProbedServer> servers,
    const RouteQuery& query) const {
  auto choice = ChooseServer(servers, query);
  if (!choice) {
    return std::nullopt;
  }
  if (servers.size() == 1) {
    return Decision{*choice, ChoiceReason::kOnly};
  }
  std::int32_t max_held = 0;
  std::int32_t chosen_held = 0;
  bool any_holds_less = false;
  for (const ProbedServer& it : servers) {
    max_held = std::max(max_held, it.held_pieces);
    chosen_held = it.seat == choice->seat ? it.held_pieces : chosen_held;
  }
  for (const ProbedServer& it : servers) {
    any_holds_less = any_holds_less || it.held_pieces < chosen_held;
  }
  const ChoiceReason reason = chosen_held < max_held ? ChoiceReason::kWait
                              : any_holds_less       ? ChoiceReason::kHeld
                                                     : ChoiceReason::kEqual;
  return Decision{*choice, reason};
}

}  // namespace peridotgate::routing
