// Runs a fuzz target on deterministic mutations of its seeds, so that unit
// tests cover the target without a fuzzer.
//
// A target is a type with two static functions:
//   std::vector<std::string> Seeds();     // Well-formed inputs.
//   void Run(std::string_view input);     // Fails a PG_CHECK on a finding.
#ifndef TESTING_FUZZ_MUTATIONS_H_
#define TESTING_FUZZ_MUTATIONS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgate::fuzz {

/** How many mutations of a target the tests run. */
inline constexpr int kTestRuns = 20000;

/** Seed of the mutations in the tests. */
inline constexpr std::uint32_t kTestSeed = 17;

/** Mutates texts; the same seed gives the same mutations. */
class Mutator {
 public:
  explicit Mutator(std::uint32_t seed) : random_(seed) {}

  /** A random seed text with a few mutations; may splice in other seeds. */
  std::string Mutate(const std::vector<std::string>& seeds) {
    std::string text = seeds[RandomBelow(seeds.size())];
    const std::size_t count = RandomBelow(kMaxMutations + 1);
    for (std::size_t i = 0; i < count; ++i) {
      ApplyMutation(seeds[RandomBelow(seeds.size())], text);
    }
    return text;
  }

 private:
  static constexpr std::size_t kMaxMutations = 4;
  enum Mutation {
    kFlip,
    kSet,
    kTruncate,
    kRemove,
    kInsert,
    kSplice,
    kMutationCount
  };

  std::size_t RandomBelow(std::size_t limit) { return random_() % limit; }

  void ApplyMutation(const std::string& other, std::string& text) {
    const std::size_t at = RandomBelow(text.size() + 1);
    const std::size_t n = RandomBelow(text.size() - at + 1);
    switch (RandomBelow(kMutationCount)) {
      case kFlip:
        if (at < text.size()) {
          text[at] = static_cast<char>(text[at] ^ (1 << RandomBelow(8)));
        }
        break;
      case kSet:
        if (at < text.size()) {
          text[at] = static_cast<char>(random_());
        }
        break;
      case kTruncate:
        text.resize(at);
        break;
      case kRemove:
        text.erase(at, n);
        break;
      case kInsert:
        text.insert(at, RandomBelow(8), static_cast<char>(random_()));
        break;
      default:
        text.insert(at, other.substr(RandomBelow(other.size() + 1)));
        break;
    }
  }

  std::mt19937 random_;
};

/** Runs `Target` on its seeds and on `runs` mutations of them. */
template <class Target>
void RunMutations(int runs = kTestRuns, std::uint32_t seed = kTestSeed) {
  const std::vector<std::string> seeds = Target::Seeds();
  for (const std::string& it : seeds) {
    Target::Run(it);
  }
  Mutator mutator(seed);
  for (int i = 0; i < runs; ++i) {
    Target::Run(mutator.Mutate(seeds));
  }
}

}  // namespace peridotgate::fuzz

#endif  // TESTING_FUZZ_MUTATIONS_H_
