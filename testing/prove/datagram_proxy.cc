#include "prove/datagram_proxy.h"

#include <chrono>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "wire/link.h"

namespace peridotgate::prove {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;
using Socket = std::shared_ptr<udp::socket>;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxBytes = 64 << 10;
constexpr milliseconds kReleasePoll{5};
constexpr milliseconds kMaxDelay{2000};
constexpr milliseconds kMaxCopyDelay{1000};
constexpr milliseconds kMaxReorderDelay{40};
constexpr std::int64_t kFaultOneIn = 2;

// A datagram to be sent.
struct Datagram {
  Socket socket;
  udp::endpoint to;
  std::string bytes;

  void Send() const {
    boost::system::error_code ignored;
    socket->send_to(asio::buffer(bytes), to, 0, ignored);
  }
};

}  // namespace

struct DatagramProxy::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& context,
       const runtime::Endpoint& listen,
       const runtime::Endpoint& target,
       std::uint64_t seed)
      : context(context),
        target(wire::ToUdp(target)),
        listener(std::make_shared<udp::socket>(context, wire::ToUdp(listen))),
        random(seed) {}

  asio::io_context& context;
  udp::endpoint target;
  Socket listener;
  std::map<udp::endpoint, Socket> sender_sockets;
  std::multimap<TimePoint, Datagram> held;
  std::mt19937_64 random;
  DatagramFault fault = DatagramFault::kNone;
  std::size_t disturbed = 0;

  std::int64_t Draw(std::int64_t max) {
    return std::uniform_int_distribution<std::int64_t>(1, max)(random);
  }

  void SendLater(Datagram it, milliseconds max) {
    const auto due =
        std::chrono::steady_clock::now() + milliseconds(Draw(max.count()));
    held.emplace(due, std::move(it));
  }

  void SendOrDisturb(Datagram it) {
    if (fault == DatagramFault::kNone || Draw(kFaultOneIn) != 1) {
      it.Send();
      return;
    }
    ++disturbed;
    switch (fault) {
      case DatagramFault::kDelayed:
        SendLater(std::move(it), kMaxDelay);
        break;
      case DatagramFault::kDuplicated:
        it.Send();
        SendLater(std::move(it), kMaxCopyDelay);
        break;
      case DatagramFault::kReordered:
        SendLater(std::move(it), kMaxReorderDelay);
        break;
      default:
        break;
    }
  }

  asio::awaitable<void> Forward(std::shared_ptr<Impl> /*self*/) {
    std::vector<char> buf(kMaxBytes);
    udp::endpoint peer;
    while (listener->is_open()) {
      auto [ec, n] = co_await listener->async_receive_from(asio::buffer(buf),
                                                           peer, kNoThrow);
      if (ec == asio::error::operation_aborted) {
        co_return;
      }
      if (!ec) {
        SendOrDisturb({SocketFor(peer), target, std::string(buf.data(), n)});
      }
    }
  }

  Socket SocketFor(const udp::endpoint& peer) {
    Socket& slot = sender_sockets[peer];
    if (!slot) {
      slot = std::make_shared<udp::socket>(context,
                                           udp::endpoint(target.address(), 0));
      asio::co_spawn(context, ForwardReplies(shared_from_this(), slot, peer),
                     asio::detached);
    }
    return slot;
  }

  asio::awaitable<void> ForwardReplies(std::shared_ptr<Impl> /*self*/,
                                       Socket socket,
                                       udp::endpoint peer) {
    std::vector<char> buf(kMaxBytes);
    udp::endpoint from;
    while (socket->is_open()) {
      auto [ec, n] = co_await socket->async_receive_from(asio::buffer(buf),
                                                         from, kNoThrow);
      if (ec == asio::error::operation_aborted) {
        co_return;
      }
      if (!ec) {
        SendOrDisturb({listener, peer, std::string(buf.data(), n)});
      }
    }
  }

  asio::awaitable<void> SendHeld(std::shared_ptr<Impl> /*self*/) {
    asio::steady_timer timer(context);
    while (listener->is_open()) {
      timer.expires_after(kReleasePoll);
      co_await timer.async_wait(kNoThrow);
      const auto due = held.upper_bound(std::chrono::steady_clock::now());
      for (auto it = held.begin(); it != due; ++it) {
        it->second.Send();
      }
      held.erase(held.begin(), due);
    }
  }

  void Close() {
    boost::system::error_code ignored;
    listener->close(ignored);
    for (auto& [peer, socket] : sender_sockets) {
      socket->close(ignored);
    }
  }
};

DatagramProxy::DatagramProxy(asio::io_context& context,
                             const runtime::Endpoint& listen,
                             const runtime::Endpoint& target,
                             std::uint64_t seed)
    : impl_(std::make_shared<Impl>(context, listen, target, seed)) {
  asio::co_spawn(context, impl_->Forward(impl_), asio::detached);
  asio::co_spawn(context, impl_->SendHeld(impl_), asio::detached);
}

DatagramProxy::~DatagramProxy() {
  impl_->Close();
}

void DatagramProxy::SetFault(DatagramFault fault) {
  impl_->fault = fault;
}

std::size_t DatagramProxy::disturbed() const {
  return impl_->disturbed;
}

}  // namespace peridotgate::prove
