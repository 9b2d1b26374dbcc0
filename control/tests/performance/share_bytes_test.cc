// Guards against share exchange traffic beyond the per-node budget. Counts the
// encoded bytes and messages at several fleet sizes up to the target.
#include <algorithm>
#include <cstdio>

#include <gtest/gtest.h>

#include "../../../coordination/tests/share_network.h"
#include "share_relay.h"

namespace peridotgate::control {
namespace {

using coordination::Duration;

constexpr std::size_t kUdpHeaderBytes = 28;
constexpr std::size_t kOrganisations = 650;
constexpr std::size_t kModels = 15;
constexpr std::size_t kModelsPerOrganisation = 2;
// Organisations in one agent's service levels: 1.17 calls a second, each
// visible for the 6 s in which it stays above a twentieth of the total.
constexpr std::size_t kOrganisationsPerAgent = 7;
constexpr std::chrono::seconds kWarmUp{17};
constexpr std::chrono::seconds kMeasurement{16};
constexpr double kMaxBytesPerSecond = 10000;

/** Traffic that a node sent and received. */
struct Traffic {
  double bytes = 0;
  double messages = 0;
};

struct Costs {
  Traffic entry;        // Mean over all entries.
  Traffic worst_entry;  // The entry with the most bytes.
  Traffic agent;        // Mean over all agents.
  std::size_t largest_message = 0;
};

void SetRandomService(coordination::ShareNetwork& network) {
  std::mt19937_64 random(7);
  // Organisations that use one model.
  std::uniform_int_distribution<std::size_t> draw(
      0, kOrganisations * kModelsPerOrganisation / kModels - 1);
  for (std::size_t i = 0; i < network.agent_count(); ++i) {
    const std::string target = "model:" + std::to_string(i % kModels);
    std::vector<coordination::ServiceLevel> levels;
    for (std::size_t j = 0; j < kOrganisationsPerAgent; ++j) {
      const std::string organisation = std::to_string(draw(random));
      levels.push_back({coordination::AccountOf(target, organisation), 20000});
    }
    network.agent(i).SetServed(std::move(levels));
  }
}

Costs Measure(coordination::ShareFleet fleet) {
  coordination::ShareNetwork network(fleet);
  SetRandomService(network);
  std::vector<Traffic> nodes(network.entry_count() + network.agent_count());
  Costs costs;
  network.Run(kWarmUp);
  network.on_sent = [&](std::size_t from, const auto& it) {
    const std::size_t size = wire::EncodeDatagram(ToWire(it.message)).size();
    costs.largest_message = std::max(costs.largest_message, size);
    for (std::size_t node : {from, std::size_t{it.to.port}}) {
      nodes[node].bytes += static_cast<double>(size + kUdpHeaderBytes);
      nodes[node].messages += 1;
    }
  };
  network.Run(kMeasurement);
  const double time = std::chrono::duration<double>(kMeasurement).count();
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const bool is_entry = i < network.entry_count();
    const double node_count = static_cast<double>(
        is_entry ? network.entry_count() : network.agent_count());
    Traffic& mean = is_entry ? costs.entry : costs.agent;
    mean.bytes += nodes[i].bytes / time / node_count;
    mean.messages += nodes[i].messages / time / node_count;
    if (is_entry && nodes[i].bytes / time > costs.worst_entry.bytes) {
      costs.worst_entry = {nodes[i].bytes / time, nodes[i].messages / time};
    }
  }
  const auto period = network.entry(0).period();
  std::printf(
      "shares %zu data centres, %zu entries, %zu agents, period %.2f s: entry "
      "%.0f B/s %.1f messages/s, worst entry %.0f B/s, agent %.0f B/s %.2f "
      "messages/s, largest message %zu B\n",
      fleet.data_centres, network.entry_count(), network.agent_count(),
      std::chrono::duration<double>(period).count(), costs.entry.bytes,
      costs.entry.messages, costs.worst_entry.bytes, costs.agent.bytes,
      costs.agent.messages, costs.largest_message);
  return costs;
}

TEST(ShareBytes, NodeTrafficStaysWithinBudgetUpToTargetSize) {
  for (const coordination::ShareFleet& fleet :
       {coordination::ShareFleet{1, 3, 9}, coordination::ShareFleet{3, 8, 224},
        coordination::ShareFleet{7, 24, 672},
        coordination::ShareFleet{7, 62, 1715}}) {
    const Costs costs = Measure(fleet);
    EXPECT_LE(costs.worst_entry.bytes, kMaxBytesPerSecond);
    EXPECT_LE(costs.agent.bytes, kMaxBytesPerSecond / 10);
    EXPECT_LE(costs.largest_message, wire::kMaxDatagramBytes);
  }
}

}  // namespace
}  // namespace peridotgate::control
