// A point in the history of a store that may be restored from a backup.
#ifndef COORDINATION_STORE_VERSION_H_
#define COORDINATION_STORE_VERSION_H_

#include <compare>
#include <cstdint>
#include <tuple>

namespace peridotgate::coordination {

/**
 * Orders everything that a store has stored: by era, then by number. A store
 * that is restored from a backup begins a new era and gives numbers out again,
 * so numbers of different eras must not be compared.
 */
struct StoreVersion {
  std::int64_t era = 0;     // 0: the store does not tell its eras.
  std::int64_t number = 0;  // Grows with each transaction of an era.

  bool operator==(const StoreVersion&) const = default;
  std::strong_ordering operator<=>(const StoreVersion& other) const {
    return std::tie(era, number) <=> std::tie(other.era, other.number);
  }
};

/**
 * The fencing token of what was acquired by the transaction `version`. Tokens
 * have the same order as the versions, and no two transactions have the same
 * one, also across a restore that loses all rows.
 */
constexpr std::int64_t FencingToken(const StoreVersion& version) {
  // 10^12 transactions in an era, and 8,000 eras within the 53 bits that a
  // double keeps.
  constexpr int kNumberBits = 40;
  return (version.era << kNumberBits) + version.number;
}

}  // namespace peridotgate::coordination

#endif  // COORDINATION_STORE_VERSION_H_
