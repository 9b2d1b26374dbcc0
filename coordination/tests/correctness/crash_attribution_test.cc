// The part of requests that makes servers crash is found and held back, and
// nothing else is.
#include "coordination/crash_attribution.h"

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace peridotgate::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr PartKey kShared = 1;  // First part of all requests.
constexpr PartKey kDeadly = 2;
constexpr PartKey kOther = 3;

// One instance's attribution, with a clock.
class CrashAttributionTest : public testing::Test {
 protected:
  void Crash(std::uint64_t server, std::vector<PartKey> suspects) {
    attribution_.OnCrash({server, now_, std::move(suspects)});
  }
  void Answer(const std::vector<PartKey>& parts) {
    attribution_.OnSound(parts, now_);
  }
  PartState Check(const std::vector<PartKey>& parts) {
    return attribution_.Check(parts, now_).state;
  }
  void Wait(Duration time) { now_ += time; }

  // Servers crash on the deadly part while others with the first one are
  // served.
  void CrashServers(int n) {
    for (int i = 0; i < n; ++i) {
      Crash(next_server_++, {kShared, kDeadly});
      Wait(milliseconds(200));
      Answer({kShared, kOther});
      Wait(milliseconds(400));
    }
  }

  CrashAttribution attribution_;
  std::uint64_t next_server_ = 10;
  TimePoint now_{seconds(1000)};
};

TEST_F(CrashAttributionTest, FindsThePartThatCrashesHaveInCommon) {
  CrashServers(3);
  EXPECT_EQ(Check({kShared, kDeadly}), PartState::kFree);
  CrashServers(1);
  EXPECT_EQ(Check({kShared, kDeadly}), PartState::kQuarantined);
  {
    SCOPED_TRACE("sound requests with the same first part go on");
    EXPECT_EQ(Check({kShared, kOther}), PartState::kFree);
    EXPECT_EQ(Check({kShared}), PartState::kFree);
  }
  {
    SCOPED_TRACE("on-call sees the evidence");
    const auto list = attribution_.TakeQuarantined();
    ASSERT_EQ(list.size(), 1U);
    EXPECT_EQ(list[0].part, kDeadly);
    EXPECT_EQ(list[0].crashes, 4);
    EXPECT_EQ(list[0].servers, 4);
  }
}

TEST_F(CrashAttributionTest, FindsThePartBesideOthersThatWereLostWithIt) {
  for (PartKey i = 0; i < 4; ++i) {
    Crash(10 + i, {kShared, kDeadly, 100 + i, 200 + i, 200 + i / 2});
    Wait(milliseconds(300));
  }
  Wait(milliseconds(300));
  Answer({kShared});
  EXPECT_EQ(Check({kDeadly}), PartState::kQuarantined);
  for (const PartKey it : {kShared, PartKey{100}, PartKey{200}, PartKey{201}}) {
    EXPECT_EQ(Check({it}), PartState::kFree) << it;
  }
}

TEST_F(CrashAttributionTest, BlamesAPartThatWasNeverSoundBeforeOneThatWas) {
  Answer({kShared});
  Wait(seconds(5));
  for (PartKey i = 0; i < 9; ++i) {
    Crash(10 + i % 3, {kShared, kDeadly});
    Wait(milliseconds(1300));
  }
  EXPECT_EQ(Check({kDeadly}), PartState::kQuarantined);
  EXPECT_EQ(Check({kShared}), PartState::kFree);
}

TEST_F(CrashAttributionTest, FindsSeveralPartsThatCrashServersByTurns) {
  constexpr PartKey kParts = 5;
  for (PartKey i = 0; i < 6 * kParts; ++i) {
    Crash(next_server_++, {kShared, 100 + i % kParts});
    Wait(milliseconds(200));
    Answer({kShared, kOther});
  }
  Wait(milliseconds(300));
  for (PartKey i = 0; i < kParts; ++i) {
    EXPECT_EQ(Check({kShared, 100 + i}), PartState::kQuarantined) << i;
  }
  EXPECT_EQ(Check({kShared, kOther}), PartState::kFree);
}

TEST_F(CrashAttributionTest, SparesAPartThatOnlyLeadsToTheOneBlamed) {
  // Nothing else with the first part was ever sent; keys in both orders.
  for (const auto& parts : {std::vector<PartKey>{7, 8}, {18, 17}}) {
    for (int i = 0; i < 5; ++i) {
      Crash(next_server_++, parts);
      Wait(milliseconds(400));
    }
    EXPECT_EQ(Check({parts[0], kOther}), PartState::kFree);
    EXPECT_EQ(Check(parts), PartState::kQuarantined);
  }
}

TEST_F(CrashAttributionTest, FindsAPartThatComesOnceAMinute) {
  for (int i = 0; i < 5; ++i) {
    Crash(next_server_++, {kShared, kDeadly});
    Wait(seconds(30));
    Answer({kShared, kOther});
    Wait(seconds(30));
  }
  EXPECT_EQ(Check({kShared, kDeadly}), PartState::kQuarantined);
}

TEST_F(CrashAttributionTest, BlamesNoPartAgainForTheCrashesOfAForgottenTerm) {
  CrashServers(4);
  ASSERT_EQ(Check({kDeadly}), PartState::kQuarantined);
  Wait(minutes(3));
  Crash(next_server_++, {kOther});
  Wait(seconds(1));
  EXPECT_EQ(Check({kDeadly}), PartState::kFree);
}

TEST_F(CrashAttributionTest, KeepsNothingOfAPartWhoseTermIsForgotten) {
  CrashServers(4);
  ASSERT_EQ(Check({kDeadly}), PartState::kQuarantined);
  Wait(minutes(3));
  attribution_.Current(now_);
  attribution_.TakeNews();
  // An answer on a part is news only while a crash with it is remembered.
  Answer({kDeadly});
  EXPECT_TRUE(attribution_.TakeNews().own.sound.empty());
}

TEST_F(CrashAttributionTest, BlamesNoPartForServersThatLosePowerTogether) {
  for (PartKey i = 0; i < 30; ++i) {
    Crash(10 + i, {kShared, kOther});
    Wait(milliseconds(1));
  }
  Wait(seconds(1));
  EXPECT_EQ(Check({kShared, kOther}), PartState::kFree);
}

TEST_F(CrashAttributionTest, BlamesNoPartForOneServerThatKeepsCrashing) {
  for (int i = 0; i < 6; ++i) {
    Crash(10, {kShared, kOther});
    Wait(seconds(2));
  }
  EXPECT_EQ(Check({kShared, kOther}), PartState::kFree);
}

TEST_F(CrashAttributionTest, ASoundAnswerEndsAQuarantine) {
  CrashServers(4);
  ASSERT_EQ(Check({kDeadly}), PartState::kQuarantined);
  Wait(milliseconds(1));
  Answer({kShared, kDeadly});
  EXPECT_EQ(Check({kDeadly}), PartState::kFree);
  EXPECT_EQ(attribution_.TakeFreed(), std::vector<PartKey>{kDeadly});
}

TEST_F(CrashAttributionTest, TimeEndsAQuarantineOneRequestAtATime) {
  CrashServers(4);
  ASSERT_EQ(Check({kDeadly}), PartState::kQuarantined);
  Wait(seconds(61));
  EXPECT_EQ(Check({kShared, kDeadly}), PartState::kProbing);
  EXPECT_EQ(Check({kShared, kDeadly}), PartState::kQuarantined);
  {
    SCOPED_TRACE("another crash doubles the term");
    Crash(20, {kDeadly});
    Wait(seconds(110));
    EXPECT_EQ(Check({kDeadly}), PartState::kQuarantined);
    Wait(seconds(15));
    EXPECT_EQ(Check({kDeadly}), PartState::kProbing);
  }
  {
    SCOPED_TRACE("a quiet term is forgotten");
    Wait(minutes(10));
    CrashServers(1);
    EXPECT_EQ(Check({kDeadly}), PartState::kFree);
  }
}

TEST_F(CrashAttributionTest, KeepsBoundedMemory) {
  CrashAttributionLimits limits;
  limits.max_quarantines = 8;
  CrashAttribution small(limits);
  for (PartKey i = 0; i < 100000; ++i) {
    small.OnCrash({i % 50, now_, {i / 8}});
    small.OnSound(std::array<PartKey, 1>{1000000 + i}, now_);
    Wait(milliseconds(90));
  }
  EXPECT_LE(small.quarantines(now_).size(), limits.max_quarantines);
  EXPECT_LE(small.Current(now_).crashes.size(), limits.max_crashes);
  {
    SCOPED_TRACE("also of news that nobody takes");
    const CrashNews news = small.TakeNews();
    for (const CrashFacts* it : {&news.own, &news.relayed}) {
      EXPECT_LE(it->crashes.size(), limits.max_crashes);
      EXPECT_LE(it->sound.size(), limits.max_crashes);
      EXPECT_LE(it->quarantines.size(), limits.max_crashes);
    }
  }
  {
    SCOPED_TRACE("and of suspects of crashes that were dropped");
    small.OnSound(std::array<PartKey, 1>{1}, now_);
    EXPECT_TRUE(small.TakeNews().own.sound.empty());
  }
}

// Instances that exchange what they know, some datagrams being lost.
class Instances {
 public:
  Instances(int n, double lost)
      : list_(static_cast<std::size_t>(n)), lost_(lost) {}

  CrashAttribution& at(std::size_t i) { return list_[i]; }
  std::size_t size() const { return list_.size(); }

  // Every instance sends its news, and now and then all that it knows.
  void Exchange(TimePoint now) {
    std::uniform_real_distribution<double> draw;
    const bool whole = ++rounds_ % 30 == 0;
    for (auto& from : list_) {
      CrashNews news = from.TakeNews();
      const CrashFacts facts =
          whole ? from.Current(now)
                : Join(std::move(news.own), std::move(news.relayed));
      for (auto& to : list_) {
        if (&to != &from && draw(random_) >= lost_) {
          to.Merge(facts, now);
        }
      }
    }
  }

 private:
  std::vector<CrashAttribution> list_;
  double lost_;
  int rounds_ = 0;
  std::mt19937 random_{5};
};

TEST(CrashAttributionInstancesTest, AllKnowWithinTheBound) {
  for (const int n : {2, 10, 60}) {
    SCOPED_TRACE(n);
    Instances instances(n, 0.2);
    TimePoint now{seconds(1000)};
    std::mt19937 random(3);
    // Each crash is seen by another instance.
    for (int i = 0; i < 5; ++i) {
      instances.at(random() % instances.size())
          .OnCrash({static_cast<std::uint64_t>(i), now, {kShared, kDeadly}});
      for (int step = 0; step < 20; ++step) {
        now += milliseconds(20);
        instances.at(random() % instances.size())
            .OnSound(std::array<PartKey, 1>{kShared}, now);
        instances.Exchange(now);
      }
    }
    const TimePoint bound = now + seconds(2);
    while (now < bound) {
      now += milliseconds(20);
      instances.Exchange(now);
    }
    for (std::size_t i = 0; i < instances.size(); ++i) {
      const std::array<PartKey, 2> parts = {kShared, kDeadly};
      const std::array<PartKey, 2> sound = {kShared, kOther};
      EXPECT_EQ(instances.at(i).Check(parts, now).state,
                PartState::kQuarantined);
      EXPECT_EQ(instances.at(i).Check(sound, now).state, PartState::kFree);
    }
  }
}

// A fleet under load: requests of many sessions, retried after a crash.
struct LoadResult {
  int crashes_on_part = 0;   // All of them.
  int sent_after_bound = 0;  // With the part, 3 s after the fifth crash.
  int sound_refused = 0;
  int sound = 0;
};

struct LoadOptions {
  std::uint32_t seed = 1;
  int servers = 9;
  int instances = 6;
  double deadly_share = 0;
  double crashes_per_s = 0;  // Of other causes.
  double requests_per_s = 60;
};

LoadResult PlayLoad(const LoadOptions& options) {
  struct Running {
    std::size_t server;
    std::size_t instance;
    std::vector<PartKey> parts;
    TimePoint ends;
    int attempts;
  };
  std::mt19937 random(options.seed);
  std::uniform_real_distribution<double> draw;
  Instances instances(options.instances, 0.02);
  const auto servers = static_cast<std::size_t>(options.servers);
  std::vector<TimePoint> down_until(servers);
  std::vector<Running> running;
  LoadResult result;
  TimePoint now{seconds(1000)};
  const TimePoint end = now + seconds(30);
  std::optional<TimePoint> bound;
  const auto send = [&](std::vector<PartKey> parts, int attempts) {
    const std::size_t instance = random() % instances.size();
    const bool deadly = parts.back() == kDeadly;
    if (instances.at(instance).Check(parts, now).state ==
        PartState::kQuarantined) {
      result.sound_refused += deadly ? 0 : 1;
      return;
    }
    result.sent_after_bound += deadly && bound && now > *bound ? 1 : 0;
    const std::size_t server = random() % servers;
    if (now >= down_until[server]) {
      running.push_back({server, instance, std::move(parts),
                         now + milliseconds(100 + random() % 400), attempts});
    }
  };
  const auto crash = [&](std::size_t server) {
    down_until[server] = now + seconds(3);
    std::vector<Running> lost;
    std::erase_if(running, [&](const Running& it) {
      if (it.server == server) {
        lost.push_back(it);
      }
      return it.server == server;
    });
    for (const Running& it : lost) {
      instances.at(it.instance).OnCrash({server, now, it.parts});
    }
    for (const Running& it : lost) {
      if (it.attempts < 3) {
        send(it.parts, it.attempts + 1);
      }
    }
  };
  while (now < end) {
    now += milliseconds(10);
    if (draw(random) < options.requests_per_s / 100) {
      // A service, a subject that few requests share, or the deadly part.
      std::vector<PartKey> parts = {kShared + random() % 2 * 1000,
                                    2000 + random() % 400};
      if (draw(random) < options.deadly_share) {
        parts.push_back(kDeadly);
      } else {
        ++result.sound;
      }
      send(std::move(parts), 1);
    }
    if (draw(random) < options.crashes_per_s / 100) {
      crash(random() % servers);
    }
    for (std::size_t i = 0; i < running.size(); ++i) {
      if (running[i].ends > now) {
        continue;
      }
      const Running it = running[i];
      if (it.parts.back() == kDeadly) {
        ++result.crashes_on_part;
        if (result.crashes_on_part == 5) {
          bound = now + seconds(3);
        }
        crash(it.server);
        i = 0;
        continue;
      }
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i--));
      instances.at(it.instance).OnSound(it.parts, now);
    }
    instances.Exchange(now);
  }
  return result;
}

TEST(CrashAttributionLoadTest, StopsADeadlyPartAndNoOtherRequests) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    LoadOptions options;
    options.seed = seed;
    options.deadly_share = 0.03;
    options.crashes_per_s = seed % 2 == 0 ? 0 : 0.3;
    const LoadResult result = PlayLoad(options);
    EXPECT_EQ(result.sent_after_bound, 0);
    EXPECT_EQ(result.sound_refused, 0);
  }
}

TEST(CrashAttributionLoadTest, BlamesNoPartForOrdinaryCrashesUnderLoad) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    LoadOptions options;
    options.seed = seed;
    options.servers = seed % 2 == 0 ? 9 : 49;
    options.instances = seed % 2 == 0 ? 6 : 27;
    options.crashes_per_s = seed % 2 == 0 ? 1.5 : 8;
    options.requests_per_s = seed % 2 == 0 ? 60 : 95;
    EXPECT_EQ(PlayLoad(options).sound_refused, 0);
  }
}

}  // namespace
}  // namespace peridotgate::coordination
