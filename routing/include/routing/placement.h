// Preferred servers of a prefix by multi-probe consistent hashing.
#ifndef ROUTING_PLACEMENT_H_
#define ROUTING_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "routing/prefix_keys.h"

namespace peridotgate::routing {

/** A backend server as placement sees it. */
struct ServerSeat {
  std::string name;  // Unique, and stable across restarts.
  double weight = 1;
};

/** Index into the seats that a table was built from. */
using SeatIndex = std::uint32_t;

/** The properties of a request that placement and choice use. */
struct RouteQuery {
  std::span<const PrefixKey> chain;
  std::uint64_t salt = 0;    // Differs between requests.
  std::uint64_t target = 0;  // Hash key of the model or service.
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
};

/**
 * Preferred servers of every key over a fixed set of servers. Rebuilt when the
 * set changes; safe to read from any thread. The time of a lookup does not
 * depend on the number of servers, and when a server leaves, only the keys that
 * preferred it move.
 *
 *     PlacementTable table(seats);
 *     auto homes = table.Homes(key, 2);
 */
class PlacementTable {
 public:
  explicit PlacementTable(std::span<const ServerSeat> seats);
  ~PlacementTable();
  PlacementTable(PlacementTable&&) noexcept;
  PlacementTable& operator=(PlacementTable&&) noexcept;

  /** At most `count` different seats for `key`, most preferred first. */
  std::vector<SeatIndex> Homes(std::uint64_t key, std::size_t count) const;

  /** Appends preferred seats of `key` that `out` lacks, until it has `count`.
   * */
  void AddPreferred(std::uint64_t key,
                    std::size_t count,
                    std::vector<SeatIndex>& out) const;

  /**
   * Appends pseudo-random seats that `out` lacks, drawn by `number`, until it
   * has `count`. Needs no lookup of preferred seats.
   */
  void AddRandom(std::uint64_t number,
                 std::size_t count,
                 std::vector<SeatIndex>& out) const;

  std::size_t size() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::routing

#endif  // ROUTING_PLACEMENT_H_
