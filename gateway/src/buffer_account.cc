#include "buffer_account.h"

namespace peridotgate::gateway {

bool BufferAccount::MakeRoom(std::size_t n, TimePoint now) {
  while (body_bytes_ > 0 && body_bytes_ + n > KindLimit()) {
    PartialBody* idle = LargestIdle(nullptr, now);
    if (idle == nullptr) {
      return false;
    }
    idle->Close();
  }
  return true;
}

PartialBody* BufferAccount::LargestIdle(const PartialBody* except,
                                        TimePoint now) const {
  PartialBody* largest = nullptr;
  for (PartialBody* it : partial_) {
    const bool larger =
        largest == nullptr || it->share_.bytes() > largest->share_.bytes();
    if (it != except && !it->closed_ && it->share_.bytes() > 0 && larger &&
        it->IdleAt(now)) {
      largest = it;
    }
  }
  return largest;
}

bool BufferShare::Add(std::size_t n) {
  if (bytes_ + n > kFreeBytes &&
      account_->Used(kind_) + n > account_->KindLimit()) {
    return false;
  }
  Resize(bytes_ + n);
  return true;
}

void BufferShare::Resize(std::size_t bytes) {
  if (bytes != bytes_) {
    account_->Used(kind_) += bytes - bytes_;
    bytes_ = bytes;
  }
}

PartialBody::PartialBody(std::shared_ptr<BufferAccount> account,
                         TimePoint now,
                         std::function<void()> close)
    : account_(std::move(account)),
      share_(account_, BufferKind::kBody),
      close_(std::move(close)),
      progress_at_(now) {
  account_->partial_.insert(this);
}

PartialBody::~PartialBody() {
  account_->partial_.erase(this);
}

bool PartialBody::Grow(std::size_t bytes, TimePoint now) {
  if (closed_) {
    return false;
  }
  if (bytes >= progress_bytes_ + kProgressBytes) {
    progress_bytes_ = bytes;
    progress_at_ = now;
  }
  BufferAccount& account = *account_;
  share_.Resize(bytes);
  while (account.body_bytes_ > bytes &&
         account.body_bytes_ > account.KindLimit()) {
    PartialBody* idle = account.LargestIdle(this, now);
    if (idle == nullptr) {
      return false;
    }
    idle->Close();
  }
  return true;
}

void PartialBody::Close() {
  closed_ = true;
  share_.Resize(0);
  close_();
}

}  // namespace peridotgate::gateway
