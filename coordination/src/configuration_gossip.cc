#include "coordination/configuration_gossip.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

#include "bulk_giver.h"
#include "coordination/check.h"
#include "coordination/process_charts.h"
#include "piece_assembly.h"
#include "piece_sender.h"

namespace peridotgate::coordination {
namespace {

// The longest prefix of `changes` within `limit` bytes, but at least one.
void Limit(std::vector<Change>& changes, std::size_t limit) {
  std::size_t size = 0;
  std::size_t n = 0;
  while (n < changes.size()) {
    size += SizeOf(changes[n]);
    if (n > 0 && size > limit) {
      break;
    }
    ++n;
  }
  changes.resize(n);
}

}  // namespace

struct ConfigurationGossip::Impl {
  Impl(GossipOptions options,
       ConfigurationFollower& follower,
       const PeerSource& peers,
       const Clock& clock,
       std::uint64_t seed)
      : options(options),
        follower(follower),
        peers(peers),
        clock(clock),
        random(seed),
        told_version(follower.version()),
        next_digest(clock.Now() + Jitter(options.digest_period)),
        bulk(this->options, follower, clock),
        assembly(clock) {}

  // An outstanding pull and what it is expected to bring.
  struct Pull {
    PeerAddress peer;
    std::int64_t target = 0;
    TimePoint expires;
    std::optional<PeerAddress> other;  // That has told of newer ones since.
  };

  GossipOptions options;
  ConfigurationFollower& follower;
  const PeerSource& peers;
  const Clock& clock;
  RandomEngine random;
  std::int64_t told_version;
  std::optional<TimePoint> last_told;
  TimePoint next_digest;
  BulkGiver bulk;
  PieceAssembly assembly;
  std::optional<Pull> pull;  // Unless `state` is current.
  ChartCursor state{FollowerChart()};
  std::vector<OutgoingGossip> outgoing;

  Duration Jitter(Duration period) {
    std::uniform_int_distribution<std::int64_t> draw(0, period.count());
    return Duration(draw(random));
  }

  void Send(const PeerAddress& to, GossipMessage message) {
    outgoing.push_back({to, std::move(message)});
  }

  void Step(std::string_view event) {
    state.Step(event);
    if (state.Is("current")) {
      pull.reset();
    }
    PG_CHECK(pull.has_value() || state.Is("current"));
  }

  void StartPull(const PeerAddress& peer, std::int64_t target) {
    if (target <= follower.version()) {
      return;
    }
    if (pull && clock.Now() >= pull->expires) {
      Step("silence");
    }
    if (pull) {
      pull->target = std::max(pull->target, target);
      pull->other = peer;
    } else {
      pull = Pull{peer, target, clock.Now() + options.pull_timeout, {}};
      Send(peer, ChangesPull{follower.version()});
    }
    Step("heard_newer");
  }

  // After an answer: goes on while the peer is known to have more.
  void ContinuePull(bool grew) {
    if (!grew && !(pull && pull->target <= follower.version())) {
      return;
    }
    const std::optional<Pull> answered = pull;
    Step("progress");
    if (answered) {
      StartPull(answered->peer, answered->target);
    }
  }

  bool Take(const PeerAddress& from, const VersionDigest& digest) {
    StartPull(from, digest.version);
    if (digest.version < follower.version()) {
      Send(from, VersionDigest{follower.version()});
    }
    return false;
  }

  bool Take(const PeerAddress& from, const ChangesPull& wanted) {
    auto changes = follower.ChangesSince(wanted.version);
    if (!changes) {
      bulk.GiveSnapshot(from, wanted.version);
    } else if (!changes->empty() &&
               SizeOf(changes->front()) > options.push_bytes) {
      bulk.GiveChange(from, changes->front());
    } else if (!changes->empty()) {
      Limit(*changes, options.push_bytes);
      Send(from, ChangesPush{std::move(*changes)});
    }
    StartPull(from, wanted.version);
    return false;
  }

  bool Take(const PeerAddress& /*from*/, const ChangesPush& push) {
    if (push.pieces > 1) {
      return TakePiece(push);
    }
    return Note([&] {
      for (const Change& it : push.changes) {
        follower.Apply(it);
      }
    });
  }

  bool Take(const PeerAddress& /*from*/, const SnapshotPush& push) {
    if (push.pieces <= 1) {
      return Note([&] { follower.ApplySnapshot(push.version, push.sections); });
    }
    auto all =
        TakePiece({true, push.version, push.pieces}, push.piece, push.sections);
    return all && Note([&] { follower.ApplySnapshot(push.version, *all); });
  }

  // A piece of one change.
  bool TakePiece(const ChangesPush& push) {
    if (push.changes.size() != 1) {
      return false;
    }
    Change change = push.changes.front();
    auto all = TakePiece({false, change.version, push.pieces}, push.piece,
                         std::move(change.sections));
    if (!all) {
      return false;
    }
    change.sections = std::move(*all);
    return Note([&] { follower.Apply(change); });
  }

  // More of it is on its way: the pull goes on.
  std::optional<std::vector<Section>> TakePiece(const PieceKey& key,
                                                std::int32_t piece,
                                                std::vector<Section> sections) {
    if (key.version <= follower.version()) {
      return std::nullopt;
    }
    if (pull) {
      pull->expires = clock.Now() + options.pull_timeout;
    }
    Step("piece");
    return assembly.Take(key, piece, std::move(sections));
  }

  // Lets `apply` offer something to the follower; whether its version grew.
  template <class F>
  bool Note(F apply) {
    const std::int64_t before = follower.version();
    apply();
    const bool grew = follower.version() > before;
    if (grew) {
      assembly.Forget(follower.version());
    }
    ContinuePull(grew);
    TellNews();
    return grew;
  }

  void TellNews() {
    const bool paused =
        last_told && clock.Now() - *last_told < options.news_interval;
    if (!options.announce_immediately || paused ||
        told_version >= follower.version()) {
      return;
    }
    for (const PeerAddress& it : peers.Draw(options.fan_out, random)) {
      SendNews(it);
    }
    bulk.NoteTold(told_version);
    told_version = follower.version();
    last_told = clock.Now();
  }

  void SendNews(const PeerAddress& to) {
    auto changes = follower.ChangesSince(told_version);
    if (!options.announce_with_changes || !changes) {
      Send(to, VersionDigest{follower.version()});
      return;
    }
    Limit(*changes, options.push_bytes);
    Send(to, ChangesPush{std::move(*changes)});
  }

  void SendDigest() {
    if (clock.Now() < next_digest) {
      return;
    }
    // The jitter keeps processes that started together apart.
    next_digest =
        clock.Now() + options.digest_period / 2 + Jitter(options.digest_period);
    for (const PeerAddress& it : peers.Draw(1, random)) {
      Send(it, VersionDigest{follower.version()});
    }
  }

  // An answer did not come: another peer is asked, best one that has it.
  void RetryPull() {
    if (!pull || clock.Now() < pull->expires) {
      return;
    }
    const Pull lost = *pull;
    Step("silence");
    if (lost.other) {
      StartPull(*lost.other, lost.target);
      return;
    }
    auto others = peers.Draw(1, random);
    StartPull(others.empty() ? lost.peer : others.front(), lost.target);
  }

  void TellBulkNews() {
    if (!bulk.TakeTell()) {
      return;
    }
    for (const PeerAddress& it : peers.Draw(1, random)) {
      Send(it, VersionDigest{follower.version()});
    }
  }
};

ConfigurationGossip::ConfigurationGossip(GossipOptions options,
                                         ConfigurationFollower& follower,
                                         const PeerSource& peers,
                                         const Clock& clock,
                                         std::uint64_t seed)
    : impl_(std::make_unique<Impl>(options, follower, peers, clock, seed)) {}

ConfigurationGossip::~ConfigurationGossip() = default;

bool ConfigurationGossip::OnMessage(const PeerAddress& from,
                                    const GossipMessage& message) {
  return std::visit([&](const auto& it) { return impl_->Take(from, it); },
                    message);
}

void ConfigurationGossip::OnNews() {
  impl_->TellNews();
}

void ConfigurationGossip::CatchUp(const PeerAddress& peer,
                                  std::int64_t version) {
  impl_->StartPull(peer, version);
}

void ConfigurationGossip::Tick() {
  impl_->RetryPull();
  impl_->TellNews();
  impl_->SendDigest();
  impl_->TellBulkNews();
  impl_->bulk.Tick(impl_->outgoing);
}

std::vector<OutgoingGossip> ConfigurationGossip::TakeOutgoing() {
  return std::exchange(impl_->outgoing, {});
}

}  // namespace peridotgate::coordination
