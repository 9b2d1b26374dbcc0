#include "routing/placement.h"

#include <algorithm>
#include <bit>
#include <limits>

#include <xxhash.h>

namespace peridotgate::routing {
namespace {

// Ring positions tried per key; more of them balance the load over the seats
// better.
constexpr std::uint64_t kProbesPerKey = 12;
// Points per seat on the ring. With few seats, a seat with a single point may
// follow so closely after another that it gets hardly any keys.
constexpr std::uint64_t kPointsPerSeat = 4;

std::uint64_t Mix(std::uint64_t key, std::uint64_t number) {
  return XXH3_64bits_withSeed(&key, sizeof key, number);
}

using Position = std::uint32_t;

constexpr int kPositionBits = 32;

Position PositionOf(std::uint64_t key, std::uint64_t number) {
  return static_cast<Position>(Mix(key, number) >> kPositionBits);
}

// Kept small, since a lookup reads points all over the ring.
struct Point {
  Position position = 0;
  SeatIndex seat = 0;
};

}  // namespace

// `kPointsPerSeat` points of each seat on a ring of 2^32 positions. `first`
// maps the leading bits of a position to the first point at or after it.
struct PlacementTable::Impl {
  std::vector<Point> points;
  std::vector<std::uint32_t> first;
  std::vector<double> weights;  // By seat.
  bool weighted = false;        // Whether the weights differ.
  int shift = kPositionBits - 1;

  void BuildIndex() {
    const std::size_t cells = std::bit_ceil(points.size() + 2);
    shift = kPositionBits - std::countr_zero(cells);
    first.resize(cells);
    std::uint32_t next = 0;
    for (std::size_t i = 0; i < cells; ++i) {
      while (next < points.size() && (points[next].position >> shift) < i) {
        ++next;
      }
      first[i] = next;
    }
  }

  // Index of the first point at or after `position`, wrapping around.
  std::size_t Successor(Position position) const {
    std::size_t n = first[position >> shift];
    while (n < points.size() && points[n].position < position) {
      ++n;
    }
    return n == points.size() ? 0 : n;
  }

  // The point that follows any of the key's probes most closely.
  std::size_t Closest(std::uint64_t key, std::uint64_t rank) const {
    std::size_t best = 0;
    double min_distance = std::numeric_limits<double>::infinity();
    for (std::uint64_t i = 0; i < kProbesPerKey; ++i) {
      const Position position = PositionOf(key, rank * kProbesPerKey + i);
      const std::size_t n = Successor(position);
      const Position steps = points[n].position - position;
      const double distance =
          weighted ? steps / weights[points[n].seat] : steps;
      if (distance < min_distance) {
        min_distance = distance;
        best = n;
      }
    }
    return best;
  }
};

PlacementTable::PlacementTable(std::span<const ServerSeat> seats)
    : impl_(std::make_unique<Impl>()) {
  SeatIndex next = 0;
  for (const ServerSeat& it : seats) {
    const std::uint64_t name = XXH3_64bits(it.name.data(), it.name.size());
    for (std::uint64_t i = 0; i < kPointsPerSeat; ++i) {
      impl_->points.push_back({PositionOf(name, i), next});
    }
    ++next;
    impl_->weights.push_back(it.weight);
    impl_->weighted = impl_->weighted || it.weight != seats.front().weight;
  }
  std::sort(
      impl_->points.begin(), impl_->points.end(),
      [](const Point& a, const Point& b) { return a.position < b.position; });
  impl_->BuildIndex();
}

PlacementTable::~PlacementTable() = default;
PlacementTable::PlacementTable(PlacementTable&&) noexcept = default;
PlacementTable& PlacementTable::operator=(PlacementTable&&) noexcept = default;

std::vector<SeatIndex> PlacementTable::Homes(std::uint64_t key,
                                             std::size_t count) const {
  std::vector<SeatIndex> out;
  AddPreferred(key, count, out);
  return out;
}

void PlacementTable::AddPreferred(std::uint64_t key,
                                  std::size_t count,
                                  std::vector<SeatIndex>& out) const {
  const std::vector<Point>& points = impl_->points;
  const std::size_t limit = std::min(count, size());
  for (std::uint64_t rank = 0; out.size() < limit; ++rank) {
    std::size_t n = impl_->Closest(key, rank);
    // If the seat is already in `out`, takes the next one on the ring.
    while (std::find(out.begin(), out.end(), points[n].seat) != out.end()) {
      n = (n + 1) % points.size();
    }
    out.push_back(points[n].seat);
  }
}

void PlacementTable::AddRandom(std::uint64_t number,
                               std::size_t count,
                               std::vector<SeatIndex>& out) const {
  const std::size_t limit = std::min(count, size());
  for (std::uint64_t rank = 0; out.size() < limit; ++rank) {
    auto seat = static_cast<SeatIndex>(Mix(number, rank) % size());
    while (std::find(out.begin(), out.end(), seat) != out.end()) {
      seat = static_cast<SeatIndex>((seat + 1) % size());
    }
    out.push_back(seat);
  }
}

std::size_t PlacementTable::size() const {
  return impl_->weights.size();
}

}  // namespace peridotgate::routing
