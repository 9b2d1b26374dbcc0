#include "piece_sender.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace peridotgate::coordination {
namespace {

constexpr std::size_t kChangeOverheadBytes = 64;
constexpr std::size_t kSectionOverheadBytes = 24;

std::size_t SizeOf(const Section& section) {
  return kSectionOverheadBytes + section.name.size() + section.content.size();
}

std::size_t SizeOf(const std::vector<Section>& sections) {
  std::size_t size = kChangeOverheadBytes;
  for (const Section& it : sections) {
    size += SizeOf(it);
  }
  return size;
}

// Splits into at least one part. A part exceeds `limit` only if it consists of
// one larger section.
std::vector<std::vector<Section>> Split(std::vector<Section> sections,
                                        std::size_t limit) {
  std::vector<std::vector<Section>> parts(1);
  std::size_t size = 0;
  for (Section& it : sections) {
    const std::size_t more = SizeOf(it);
    if (!parts.back().empty() && size + more > limit) {
      parts.emplace_back();
      size = 0;
    }
    size += more;
    parts.back().push_back(std::move(it));
  }
  return parts;
}

}  // namespace

std::size_t SizeOf(const Change& change) {
  return SizeOf(change.sections) + change.author.size() +
         change.answers_digest.size();
}

Pieces SplitSnapshot(std::int64_t version,
                     std::vector<Section> sections,
                     std::size_t piece_bytes) {
  auto parts = Split(std::move(sections), piece_bytes);
  auto pieces = std::make_shared<std::vector<SizedPiece>>();
  SnapshotPush push;
  push.version = version;
  push.pieces = static_cast<std::int32_t>(parts.size());
  for (std::vector<Section>& it : parts) {
    push.sections = std::move(it);
    pieces->push_back({push, SizeOf(push.sections)});
    ++push.piece;
  }
  return pieces;
}

Pieces SplitChange(const Change& change, std::size_t piece_bytes) {
  auto parts = Split(change.sections, piece_bytes);
  auto pieces = std::make_shared<std::vector<SizedPiece>>();
  ChangesPush push;
  push.pieces = static_cast<std::int32_t>(parts.size());
  for (std::vector<Section>& it : parts) {
    push.changes = {change};
    push.changes.front().sections = std::move(it);
    pieces->push_back({push, SizeOf(push.changes.front())});
    ++push.piece;
  }
  return pieces;
}

PieceSender::PieceSender(const GossipOptions& options, const Clock& clock)
    : options_(options),
      clock_(clock),
      refilled_(clock.Now()),
      budget_(static_cast<double>(options.bulk_burst_bytes)) {}

bool PieceSender::Start(const PeerAddress& to, Pieces pieces) {
  Refill();
  double bytes = 0;
  for (const SizedPiece& it : *pieces) {
    bytes += static_cast<double>(it.bytes);
  }
  const double needed =
      std::min(bytes, static_cast<double>(options_.bulk_burst_bytes));
  if (transfers_.size() >= options_.bulk_transfers || budget_ < needed) {
    return false;
  }
  budget_ -= bytes;
  transfers_.push_back({to, std::move(pieces), 0});
  return true;
}

bool PieceSender::HasRoom() {
  Refill();
  return transfers_.size() < options_.bulk_transfers && budget_ > 0;
}

bool PieceSender::IsSendingTo(const PeerAddress& to) const {
  return std::any_of(transfers_.begin(), transfers_.end(),
                     [&](const Transfer& it) { return it.to == to; });
}

void PieceSender::Tick(std::vector<OutgoingGossip>& outgoing) {
  for (Transfer& it : transfers_) {
    const std::size_t end =
        std::min(it.pieces->size(), it.next + options_.pieces_per_tick);
    for (; it.next < end; ++it.next) {
      outgoing.push_back({it.to, (*it.pieces)[it.next].message});
    }
  }
  std::erase_if(transfers_, [](const Transfer& it) {
    return it.next == it.pieces->size();
  });
}

void PieceSender::Refill() {
  const std::chrono::duration<double> passed = clock_.Now() - refilled_;
  refilled_ = clock_.Now();
  const double filled =
      budget_ +
      passed.count() * static_cast<double>(options_.bulk_bytes_per_second);
  budget_ = std::min(filled, static_cast<double>(options_.bulk_burst_bytes));
}

}  // namespace peridotgate::coordination
