#include "rendezvous.h"

#include <initializer_list>

namespace peridotgate::coordination {
namespace {

constexpr std::uint64_t kFnvBasis = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;
constexpr std::uint64_t kMixer = 0xff51afd7ed558ccd;
constexpr int kMixerShift = 33;

}  // namespace

std::uint64_t RendezvousRank(std::string_view candidate,
                             std::string_view purpose) {
  std::uint64_t hash = kFnvBasis;
  for (std::string_view text : {purpose, candidate}) {
    for (const char it : text) {
      hash = (hash ^ static_cast<unsigned char>(it)) * kFnvPrime;
    }
  }
  // FNV alone leaves the high bits equal for names that differ at the end.
  hash = (hash ^ (hash >> kMixerShift)) * kMixer;
  return hash ^ (hash >> kMixerShift);
}

}  // namespace peridotgate::coordination
