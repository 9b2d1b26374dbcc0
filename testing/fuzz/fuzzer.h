// The libFuzzer entry points for a target as described in
// testing/fuzz/mutations.h. Seeds come from code, so no corpus files are
// needed.
#ifndef TESTING_FUZZ_FUZZER_H_
#define TESTING_FUZZ_FUZZER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data,
                                        std::size_t size,
                                        std::size_t max_size);

namespace peridotgate::fuzz {

/** One in this many mutations starts from a seed instead of `data`. */
inline constexpr unsigned kSeedInterval = 16;

/** Mutates `data` in place, sometimes after replacing it with a seed. */
template <class Target>
std::size_t MutateFromSeeds(std::uint8_t* data,
                            std::size_t size,
                            std::size_t max_size,
                            unsigned seed) {
  static const std::vector<std::string> seeds = Target::Seeds();
  if (size <= 1 || seed % kSeedInterval == 0) {
    const std::string& it = seeds[seed / kSeedInterval % seeds.size()];
    size = std::min(it.size(), max_size);
    std::memcpy(data, it.data(), size);
  }
  return LLVMFuzzerMutate(data, size, max_size);
}

}  // namespace peridotgate::fuzz

/** Defines the libFuzzer entry points for `Target`. */
#define PG_FUZZER(Target)                                                   \
  extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,           \
                                        std::size_t size) {                 \
    Target::Run({reinterpret_cast<const char*>(data), size});               \
    return 0;                                                               \
  }                                                                         \
  extern "C" std::size_t LLVMFuzzerCustomMutator(                           \
      std::uint8_t* data, std::size_t size, std::size_t max_size,           \
      unsigned seed) {                                                      \
    return peridotgate::fuzz::MutateFromSeeds<Target>(data, size, max_size, \
                                                      seed);                \
  }

#endif  // TESTING_FUZZ_FUZZER_H_
