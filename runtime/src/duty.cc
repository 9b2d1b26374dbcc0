#include "runtime/duty.h"

#include <pthread.h>

namespace peridotgate::runtime {
namespace {

// The kernel's limit on thread names, without the terminating NUL.
constexpr std::size_t kMaxThreadNameLength = 15;

}  // namespace

Duty::Duty(std::string name)
    : name_(std::move(name)), work_(asio::make_work_guard(context_)) {}

Duty::~Duty() {
  Stop();
}

void Duty::Start() {
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(),
                       name_.substr(0, kMaxThreadNameLength).c_str());
    context_.run();
  });
}

void Duty::Stop() {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace peridotgate::runtime
