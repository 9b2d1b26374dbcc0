#include "coordination/configuration_gossip.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

#include "bulk_sender.h"
#include "coordination/check.h"
#include "coordination/process_charts.h"
#include "piece_assembly.h"
#include "piece_sender.h"

namespace peridotgate::coordination {
namespace {

// Truncates `changes` to the longest prefix within `limit` bytes, but keeps at
// least one change.
void TruncateToSize(std::vector<Change>& changes, std::size_t limit) {
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
        announced_version(follower.version()),
        next_digest(clock.Now() + Jitter(options.digest_period)),
        bulk(this->options, follower, clock),
        assembly(clock) {}

  // An outstanding pull and the version that it should reach.
  struct Pull {
    PeerAddress peer;
    std::int64_t target = 0;
    TimePoint expires;
    // Last peer that announced a newer version since the pull was sent.
    std::optional<PeerAddress> alternative;
  };

  GossipOptions options;
  ConfigurationFollower& follower;
  const PeerSource& peers;
  const Clock& clock;
  RandomEngine random;
  std::int64_t announced_version;
  std::optional<TimePoint> last_announcement;
  TimePoint next_digest;
  BulkSender bulk;
  PieceAssembly assembly;
  std::optional<Pull> pull;  // Empty if `state` is "current".
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
      pull->alternative = peer;
    } else {
      pull = Pull{peer, target, clock.Now() + options.pull_timeout, {}};
      Send(peer, ChangesPull{follower.version()});
    }
    Step("heard_newer");
  }

  // After a response, pulls again if the peer is known to have more.
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

  bool Handle(const PeerAddress& from, const VersionDigest& digest) {
    StartPull(from, digest.version);
    if (digest.version < follower.version()) {
      Send(from, VersionDigest{follower.version()});
    }
    return false;
  }

  bool Handle(const PeerAddress& from, const ChangesPull& request) {
    auto changes = follower.ChangesSince(request.version);
    if (!changes) {
      bulk.SendSnapshot(from, request.version);
    } else if (!changes->empty() &&
               SizeOf(changes->front()) > options.push_bytes) {
      bulk.SendChange(from, changes->front());
    } else if (!changes->empty()) {
      TruncateToSize(*changes, options.push_bytes);
      Send(from, ChangesPush{std::move(*changes)});
    }
    StartPull(from, request.version);
    return false;
  }

  bool Handle(const PeerAddress& /*from*/, const ChangesPush& push) {
    if (push.pieces > 1) {
      return HandlePiece(push);
    }
    return ApplyAndAnnounce([&] {
      for (const Change& it : push.changes) {
        follower.Apply(it);
      }
    });
  }

  bool Handle(const PeerAddress& /*from*/, const SnapshotPush& push) {
    if (push.pieces <= 1) {
      return ApplyAndAnnounce(
          [&] { follower.ApplySnapshot(push.version, push.sections); });
    }
    auto all = HandlePiece({true, push.version, push.pieces}, push.piece,
                           push.sections);
    return all && ApplyAndAnnounce(
                      [&] { follower.ApplySnapshot(push.version, *all); });
  }

  // Handles one piece of a large change.
  bool HandlePiece(const ChangesPush& push) {
    if (push.changes.size() != 1) {
      return false;
    }
    Change change = push.changes.front();
    auto all = HandlePiece({false, change.version, push.pieces}, push.piece,
                           std::move(change.sections));
    if (!all) {
      return false;
    }
    change.sections = std::move(*all);
    return ApplyAndAnnounce([&] { follower.Apply(change); });
  }

  // Extends the timeout of the pull, because more pieces are expected.
  std::optional<std::vector<Section>> HandlePiece(
      const PieceKey& key,
      std::int32_t piece,
      std::vector<Section> sections) {
    if (key.version <= follower.version()) {
      return std::nullopt;
    }
    if (pull) {
      pull->expires = clock.Now() + options.pull_timeout;
    }
    Step("piece");
    return assembly.AddPiece(key, piece, std::move(sections));
  }

  // Calls `apply`, which passes input to the follower, then continues the pull
  // and announces. Returns whether the follower's version increased.
  template <class F>
  bool ApplyAndAnnounce(F apply) {
    const std::int64_t before = follower.version();
    apply();
    const bool grew = follower.version() > before;
    if (grew) {
      assembly.DropUpTo(follower.version());
    }
    ContinuePull(grew);
    AnnounceVersion();
    return grew;
  }

  void AnnounceVersion() {
    const bool paused = last_announcement && clock.Now() - *last_announcement <
                                                 options.news_interval;
    if (!options.announce_immediately || paused ||
        announced_version >= follower.version()) {
      return;
    }
    for (const PeerAddress& it : peers.Draw(options.fan_out, random)) {
      SendAnnouncement(it);
    }
    bulk.OnAnnounced(announced_version);
    announced_version = follower.version();
    last_announcement = clock.Now();
  }

  void SendAnnouncement(const PeerAddress& to) {
    auto changes = follower.ChangesSince(announced_version);
    if (!options.announce_with_changes || !changes) {
      Send(to, VersionDigest{follower.version()});
      return;
    }
    TruncateToSize(*changes, options.push_bytes);
    Send(to, ChangesPush{std::move(*changes)});
  }

  void SendDigest() {
    if (clock.Now() < next_digest) {
      return;
    }
    // The jitter desynchronises processes that started together.
    next_digest =
        clock.Now() + options.digest_period / 2 + Jitter(options.digest_period);
    for (const PeerAddress& it : peers.Draw(1, random)) {
      Send(it, VersionDigest{follower.version()});
    }
  }

  // After a timeout, repeats the pull from another peer, preferably one that
  // announced a newer version in the meantime.
  void RetryPull() {
    if (!pull || clock.Now() < pull->expires) {
      return;
    }
    const Pull timed_out = *pull;
    Step("silence");
    if (timed_out.alternative) {
      StartPull(*timed_out.alternative, timed_out.target);
      return;
    }
    auto drawn = peers.Draw(1, random);
    StartPull(drawn.empty() ? timed_out.peer : drawn.front(), timed_out.target);
  }

  void AnnounceBulk() {
    if (!bulk.TakeAnnouncement()) {
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
  return std::visit([&](const auto& it) { return impl_->Handle(from, it); },
                    message);
}

void ConfigurationGossip::OnNews() {
  impl_->AnnounceVersion();
}

void ConfigurationGossip::CatchUp(const PeerAddress& peer,
                                  std::int64_t version) {
  impl_->StartPull(peer, version);
}

void ConfigurationGossip::Tick() {
  impl_->RetryPull();
  impl_->AnnounceVersion();
  impl_->SendDigest();
  impl_->AnnounceBulk();
  impl_->bulk.Tick(impl_->outgoing);
}

std::vector<OutgoingGossip> ConfigurationGossip::TakeOutgoing() {
  return std::exchange(impl_->outgoing, {});
}

}  // namespace peridotgate::coordination
