// Many gossip instances on one manual clock, connected by a simulated network
// that loses, duplicates, delays and reorders messages.
#ifndef COORDINATION_TESTS_GOSSIP_NETWORK_H_
#define COORDINATION_TESTS_GOSSIP_NETWORK_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/configuration_gossip.h"

namespace peridotgate::coordination {

/** Faults that the network injects. */
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  Duration min_delay = std::chrono::milliseconds(1);
  Duration max_delay = std::chrono::milliseconds(60);
  // Sends messages larger than a datagram over a connection, as real processes
  // do: they arrive in order, and packet loss only slows them down. If false,
  // they are lost like all others.
  bool connections = false;
};

/** A change to one section with slightly more than `bytes` of content. */
inline Change ChangeOf(std::int64_t version, std::size_t bytes = 500) {
  Change change;
  change.version = version;
  change.author = "operator";
  change.sections = {{"organisation/" + std::to_string(version % 8),
                      std::to_string(version) + std::string(bytes, '.'), false,
                      0}};
  return change;
}

/** Bytes as encoded by `wire`, with IP and UDP headers. */
struct NetworkBytes {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t largest = 0;
};

/** A network of nodes 0 to n-1; node i has port i. */
class GossipNetwork {
 public:
  GossipNetwork(std::size_t n,
                GossipOptions options,
                NetworkFaults faults,
                std::uint64_t seed,
                std::size_t kept_changes = 256)
      : options_(options),
        faults_(faults),
        kept_(kept_changes),
        count_(n),
        random_(seed) {
    for (std::size_t i = 0; i < n; ++i) {
      nodes_.push_back(std::make_unique<Node>(*this, i));
    }
  }

  ConfigurationFollower& follower(std::size_t i) { return nodes_[i]->follower; }
  const ManualClock& clock() const { return clock_; }
  std::uint64_t messages() const { return messages_; }
  const NetworkBytes& bytes() const { return bytes_; }

  /** Drops messages for which `cut(from, to)` is true. */
  void Cut(std::function<bool(std::size_t, std::size_t)> cut) {
    cut_ = std::move(cut);
  }

  /** Node i receives a change from the platform. */
  void Accept(std::size_t i, const Change& change) {
    nodes_[i]->follower.Apply(change);
    nodes_[i]->gossip.OnNews();
    Collect(i);
  }

  /** Restarts node i with no state. */
  void Restart(std::size_t i) { nodes_[i] = std::make_unique<Node>(*this, i); }

  void Run(Duration time) {
    const TimePoint end = clock_.Now() + time;
    while (clock_.Now() < end) {
      clock_.Advance(kStep);
      Deliver();
      if (++steps_ % kStepsPerTick == 0) {
        TickAll();
      }
    }
  }

  std::size_t Reached(std::int64_t version) const {
    return static_cast<std::size_t>(std::count_if(
        nodes_.begin(), nodes_.end(),
        [&](const auto& it) { return it->follower.version() >= version; }));
  }

  std::size_t size() const { return nodes_.size(); }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(5);
  static constexpr int kStepsPerTick = 20;
  // As printed by `control_tests --gtest_filter='MessageSize*'`.
  static constexpr std::size_t kHeaderBytes = 28;
  static constexpr std::size_t kDatagramBytes = 1400;
  static constexpr std::size_t kDigestBytes = 31;
  static constexpr std::size_t kPullBytes = 7;
  static constexpr std::size_t kChangeBytes = 36;
  static constexpr std::size_t kSectionBytes = 8;
  static constexpr std::size_t kDeltaBytes = 19;

  struct Peers : PeerSource {
    Peers(std::size_t self, std::size_t n) : self(self), n(n) {}
    std::size_t self;
    std::size_t n;
    std::vector<PeerAddress> Draw(std::size_t wanted,
                                  RandomEngine& random) const override {
      std::uniform_int_distribution<std::size_t> draw(0, n - 1);
      std::vector<PeerAddress> drawn;
      while (drawn.size() < std::min(wanted, n - 1)) {
        const std::size_t it = draw(random);
        const PeerAddress peer{"", static_cast<std::uint16_t>(it)};
        if (it != self &&
            std::find(drawn.begin(), drawn.end(), peer) == drawn.end()) {
          drawn.push_back(peer);
        }
      }
      return drawn;
    }
  };

  struct Node {
    Node(GossipNetwork& network, std::size_t i)
        : follower(network.kept_),
          peers(i, network.count_),
          gossip(network.options_,
                 follower,
                 peers,
                 network.clock_,
                 network.random_()) {}
    ConfigurationFollower follower;
    Peers peers;
    ConfigurationGossip gossip;
  };

  struct InFlight {
    TimePoint at;
    std::size_t from = 0;
    std::size_t to = 0;
    std::shared_ptr<const GossipMessage> message;
    bool operator<(const InFlight& other) const { return at > other.at; }
  };

  static std::size_t SizeOf(const std::vector<Section>& sections) {
    std::size_t size = 0;
    for (const Section& it : sections) {
      size += it.content.size() + it.name.size() +
              (it.checksum == 0 ? kSectionBytes : kDeltaBytes);
    }
    return size;
  }

  static std::size_t SizeOf(const GossipMessage& message) {
    if (std::holds_alternative<VersionDigest>(message)) {
      return kHeaderBytes + kDigestBytes;
    }
    std::size_t size = kHeaderBytes + kPullBytes;
    if (const auto* push = std::get_if<ChangesPush>(&message)) {
      for (const Change& it : push->changes) {
        size += kChangeBytes + SizeOf(it.sections);
      }
    }
    if (const auto* push = std::get_if<SnapshotPush>(&message)) {
      size += SizeOf(push->sections);
    }
    return size;
  }

  void TickAll() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i]->gossip.Tick();
      Collect(i);
    }
  }

  void Collect(std::size_t i) {
    for (OutgoingGossip& it : nodes_[i]->gossip.TakeOutgoing()) {
      ++messages_;
      const std::size_t size = SizeOf(it.message);
      bytes_.sent += size;
      bytes_.largest = std::max<std::uint64_t>(bytes_.largest, size);
      const std::size_t to = it.to.port;
      if (faults_.connections && size > kDatagramBytes) {
        if (!cut_ || !cut_(i, to)) {
          Stream(i, to, size, std::move(it.message));
        }
        continue;
      }
      if (Chance(faults_.loss) || (cut_ && cut_(i, to))) {
        continue;
      }
      auto message =
          std::make_shared<const GossipMessage>(std::move(it.message));
      Launch(i, to, message);
      if (Chance(faults_.duplication)) {
        Launch(i, to, message);
      }
    }
  }

  // Throughput of a connection with packet loss, by the Mathis formula: 1.22
  // segments per round trip, divided by the square root of the loss rate.
  double StreamBytesPerSecond() const {
    constexpr double kSegments = 1.22;
    constexpr double kMinLoss = 1e-4;
    const std::chrono::duration<double> round_trip =
        faults_.min_delay + faults_.max_delay;
    return kSegments * kDatagramBytes / round_trip.count() /
           std::sqrt(std::max(faults_.loss, kMinLoss));
  }

  void Stream(std::size_t from,
              std::size_t to,
              std::size_t size,
              GossipMessage message) {
    TimePoint& free_at = streams_[from * count_ + to];
    const std::chrono::duration<double> time(static_cast<double>(size) /
                                             StreamBytesPerSecond());
    free_at = std::max(free_at, clock_.Now()) +
              std::chrono::duration_cast<Duration>(time);
    in_flight_.push(
        {free_at + faults_.max_delay, from, to,
         std::make_shared<const GossipMessage>(std::move(message))});
  }

  void Launch(std::size_t from,
              std::size_t to,
              std::shared_ptr<const GossipMessage> message) {
    std::uniform_int_distribution<std::int64_t> delay(
        faults_.min_delay.count(), faults_.max_delay.count());
    in_flight_.push({clock_.Now() + Duration(delay(random_)), from, to,
                     std::move(message)});
  }

  void Deliver() {
    while (!in_flight_.empty() && in_flight_.top().at <= clock_.Now()) {
      const InFlight it = in_flight_.top();
      in_flight_.pop();
      bytes_.received += SizeOf(*it.message);
      const PeerAddress from{"", static_cast<std::uint16_t>(it.from)};
      nodes_[it.to]->gossip.OnMessage(from, *it.message);
      Collect(it.to);
    }
  }

  bool Chance(double p) {
    return p > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < p;
  }

  ManualClock clock_;
  GossipOptions options_;
  NetworkFaults faults_;
  std::size_t kept_;
  std::size_t count_;
  RandomEngine random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::priority_queue<InFlight> in_flight_;
  std::unordered_map<std::size_t, TimePoint>
      streams_;  // By sender and receiver.
  std::function<bool(std::size_t, std::size_t)> cut_;
  std::uint64_t steps_ = 0;
  std::uint64_t messages_ = 0;
  NetworkBytes bytes_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_TESTS_GOSSIP_NETWORK_H_
