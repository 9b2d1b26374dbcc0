// One account of the bytes that a process holds for its callers: bodies of
// requests, also those that are only partly read, and responses that are held
// until they are complete. Used on one thread.
#ifndef GATEWAY_BUFFER_ACCOUNT_H_
#define GATEWAY_BUFFER_ACCOUNT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "coordination/clock.h"
#include "gateway/settings.h"

namespace peridotgate::gateway {

using coordination::TimePoint;

class PartialBody;

/** What bytes are held for. Each kind may use half of the limit, so that bodies
 * that never end can't keep responses from being delivered. */
enum class BufferKind { kBody, kResponse };

class BufferAccount {
 public:
  /** The limit is that of `settings`, which must outlive all connections. */
  explicit BufferAccount(const GatewaySettings& settings)
      : settings_(settings) {}
  BufferAccount(const BufferAccount&) = delete;
  BufferAccount& operator=(const BufferAccount&) = delete;

  std::size_t used(BufferKind kind) const { return Used(kind); }

  /** Makes room for `n` more bytes of bodies, if need be by closing idle
   * partial bodies, the largest first; false if there is no room. An account
   * without bodies has room for any. */
  bool MakeRoom(std::size_t n, TimePoint now);

 private:
  friend class BufferShare;
  friend class PartialBody;

  std::size_t& Used(BufferKind kind) {
    return kind == BufferKind::kBody ? body_bytes_ : response_bytes_;
  }
  std::size_t Used(BufferKind kind) const {
    return kind == BufferKind::kBody ? body_bytes_ : response_bytes_;
  }
  std::size_t KindLimit() const { return MaxBufferBytes(settings_) / 2; }
  PartialBody* LargestIdle(const PartialBody* except, TimePoint now) const;

  const GatewaySettings& settings_;
  std::size_t body_bytes_ = 0;
  std::size_t response_bytes_ = 0;
  std::set<PartialBody*> partial_;
};

/** The bytes of one owner as part of an account; returned when destroyed. */
class BufferShare {
 public:
  /** Responses of this size always fit. */
  static constexpr std::size_t kFreeBytes = 16 << 10;

  BufferShare(std::shared_ptr<BufferAccount> account, BufferKind kind)
      : account_(std::move(account)), kind_(kind) {}
  ~BufferShare() { Resize(0); }
  BufferShare(BufferShare&& other) noexcept
      : account_(std::move(other.account_)),
        kind_(other.kind_),
        bytes_(std::exchange(other.bytes_, 0)) {}
  BufferShare& operator=(BufferShare&& other) noexcept {
    Resize(0);
    account_ = std::move(other.account_);
    kind_ = other.kind_;
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }

  std::size_t bytes() const { return bytes_; }

  /** Adds `n` bytes of a response; false if there is no room for them. */
  bool Add(std::size_t n);
  /** Sets the size, regardless of the limit. */
  void Resize(std::size_t bytes);

 private:
  std::shared_ptr<BufferAccount> account_;
  BufferKind kind_;
  std::size_t bytes_ = 0;
};

/** The body of a request, with its share of the account. */
struct HeldBody {
  std::string bytes;
  BufferShare share;
};

/**
 * A body that is being received. When others need its memory, it may be closed
 * if it is idle, which means that it made no progress for `kIdleAfter`.
 *
 *     PartialBody body(account, now, [&] { stream.cancel(); });
 *     if (!body.Grow(parser_bytes, now)) { Refuse(503); }
 */
class PartialBody {
 public:
  // A client that needs 10 s for 4 MiB sends 200 KiB in this time. Less than
  // `kProgressBytes` is no progress, so that single bytes don't count.
  static constexpr std::chrono::milliseconds kIdleAfter{500};
  static constexpr std::size_t kProgressBytes = 16 << 10;

  PartialBody(std::shared_ptr<BufferAccount> account,
              TimePoint now,
              std::function<void()> close);
  ~PartialBody();
  PartialBody(const PartialBody&) = delete;
  PartialBody& operator=(const PartialBody&) = delete;

  /** Sets the size; false if there is no room, or it was closed. A single body
   * always has room. */
  bool Grow(std::size_t bytes, TimePoint now);
  bool closed() const { return closed_; }
  /** Hands over the share once the body is complete. */
  BufferShare TakeShare() { return std::move(share_); }

 private:
  friend class BufferAccount;

  bool IdleAt(TimePoint now) const { return now - progress_at_ >= kIdleAfter; }
  void Close();

  std::shared_ptr<BufferAccount> account_;
  BufferShare share_;
  std::function<void()> close_;
  TimePoint progress_at_;
  std::size_t progress_bytes_ = 0;
  bool closed_ = false;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_BUFFER_ACCOUNT_H_
