// Case: the store comes back from a copy between two rollouts of weights. Rule
// ONE, for the orders that each replica gets.
#include <algorithm>
#include <cstdio>
#include <string>
#include <thread>

#include <boost/json/src.hpp>

#include "fleet.h"

namespace review {
namespace {

// Whether the orders to one replica break the rule; writes each breach.
bool Judge(const Replica& replica, Record& record) {
  const std::vector<Order> orders = replica.orders();
  bool broken = false;
  const auto report = [&](const Order& a, const Order& b,
                          const std::string& what) {
    broken = true;
    record.Line("ONE broken at replica " + replica.id() + ": " + what + ": " +
                a.holder + " with fence " + std::to_string(a.fence) + " at " +
                std::to_string(a.at_ms) + " ms, " + b.holder + " with fence " +
                std::to_string(b.fence) + " at " + std::to_string(b.at_ms) +
                " ms");
  };
  for (std::size_t i = 0; i < orders.size(); ++i) {
    for (std::size_t k = 0; k < i; ++k) {
      const Order& before = orders[k];
      const Order& after = orders[i];
      if (before.fence == after.fence && before.holder != after.holder) {
        report(before, after, "two holders with one fencing token");
      }
      if (after.fence < before.fence) {
        report(before, after, "a lower fencing token after a higher one");
      }
    }
    if (i > 0 && orders[i - 1].holder != orders[i].holder &&
        Millis(orders[i].at_ms - orders[i - 1].at_ms) < kLease) {
      report(orders[i - 1], orders[i], "turns within the lease");
    }
  }
  return broken;
}

int RunCase(const std::string& folder, const std::string& out, bool trouble) {
  Record record(out);
  Fleet fleet(folder, {.engines = 3, .plain = 1}, record);
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(Millis(6000));
  const TimePoint copied = Now();
  for (const std::int64_t version : {2, 3}) {
    (void)fleet.NameWeights(version);
    if (!fleet.WaitForWeights(version, Millis(10000))) {
      return kCouldNotRun;
    }
    // The lease of the first rollout ends before the second one.
    std::this_thread::sleep_for(version == 2 ? Millis(2200) : Millis(200));
  }
  if (trouble) {
    record.Line(
        "drill: the copy is " +
        std::to_string(
            std::chrono::duration_cast<Millis>(Now() - copied).count()) +
        " ms old");
    fleet.Drill(copied, Millis(1000));
  }
  // Long after the store is stable again.
  std::this_thread::sleep_for(Millis(15000));
  (void)fleet.NameWeights(4);
  (void)fleet.WaitForWeights(4, Millis(20000));
  std::this_thread::sleep_for(Millis(500));
  bool broken = false;
  std::size_t orders = 0;
  for (const auto& it : fleet.engines()) {
    broken = Judge(*it, record) || broken;
    orders += it->orders().size();
  }
  record.Line("orders: " + std::to_string(orders) +
              (broken ? ", rule ONE broken" : ", rule ONE held"));
  if (orders == 0) {
    return kCouldNotRun;
  }
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: FOLDER RECORD TROUBLE\n");
    return review::kCouldNotRun;
  }
  return review::RunCase(argv[1], argv[2], std::string(argv[3]) != "0");
}
