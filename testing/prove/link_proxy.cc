#include "prove/link_proxy.h"

#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace peridotgate::prove {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBufferBytes = 16 << 10;
constexpr std::chrono::milliseconds kReleasePoll{5};

// One direction of a connection.
struct Direction {
  Direction(tcp::socket& from,
            tcp::socket& to,
            std::uint64_t seed,
            LinkUnit unit)
      : from(from), to(to), frames(seed, unit) {}
  tcp::socket& from;
  tcp::socket& to;
  FrameFaults frames;
  std::string unsent;
  bool writing = false;
  bool silent = false;
};

struct Connection {
  Connection(asio::io_context& context, std::uint64_t seed, LinkUnit unit)
      : downstream(context),
        upstream(context),
        to_agent(downstream, upstream, seed, unit),
        to_entry(upstream, downstream, seed + 1, unit) {}
  tcp::socket downstream;
  tcp::socket upstream;
  Direction to_agent;
  Direction to_entry;
  int open_directions = 2;

  void Close() {
    boost::system::error_code ignored;
    downstream.close(ignored);
    upstream.close(ignored);
  }
};

asio::awaitable<void> WriteUnsent(std::shared_ptr<Connection> connection,
                                  Direction& direction) {
  while (!direction.unsent.empty()) {
    const std::string sending = std::exchange(direction.unsent, {});
    auto [ec, n] = co_await asio::async_write(direction.to,
                                              asio::buffer(sending), kNoThrow);
    if (ec) {
      connection->Close();
      break;
    }
  }
  direction.writing = false;
}

// Writes the frames that are due.
void WriteDue(const std::shared_ptr<Connection>& connection,
              Direction& direction) {
  direction.frames.PopDue(std::chrono::steady_clock::now(), direction.unsent);
  if (direction.silent) {
    direction.unsent.clear();
  }
  if (direction.unsent.empty() || direction.writing) {
    return;
  }
  direction.writing = true;
  asio::co_spawn(direction.to.get_executor(),
                 WriteUnsent(connection, direction), asio::detached);
}

}  // namespace

struct LinkProxy::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& context,
       const runtime::Endpoint& listen,
       const runtime::Endpoint& target,
       std::uint64_t seed,
       LinkUnit unit)
      : context(context),
        seed(seed),
        unit(unit),
        target(asio::ip::make_address(target.address), target.port),
        acceptor(
            context,
            tcp::endpoint(asio::ip::make_address(listen.address), listen.port)),
        datagrams(context, listen, target, seed) {}

  asio::io_context& context;
  std::uint64_t seed;
  LinkUnit unit;
  FrameFault fault = FrameFault::kNone;
  std::size_t disturbed = 0;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  DatagramProxy datagrams;
  std::set<std::shared_ptr<Connection>> connections;

  asio::awaitable<void> Accept(std::shared_ptr<Impl> /*self*/) {
    while (acceptor.is_open()) {
      auto connection = std::make_shared<Connection>(context, seed += 2, unit);
      auto [ec] =
          co_await acceptor.async_accept(connection->downstream, kNoThrow);
      if (ec) {
        co_return;
      }
      asio::co_spawn(context, ConnectAndForward(shared_from_this(), connection),
                     asio::detached);
    }
  }

  asio::awaitable<void> ConnectAndForward(
      std::shared_ptr<Impl> /*self*/,
      std::shared_ptr<Connection> connection) {
    auto [ec] = co_await connection->upstream.async_connect(target, kNoThrow);
    if (ec) {
      connection->Close();
      co_return;
    }
    connections.insert(connection);
    asio::co_spawn(
        context, Forward(shared_from_this(), connection, connection->to_entry),
        asio::detached);
    co_await Forward(shared_from_this(), connection, connection->to_agent);
  }

  // Forwards data and then the close, unless the direction is silent.
  asio::awaitable<void> Forward(std::shared_ptr<Impl> /*self*/,
                                std::shared_ptr<Connection> connection,
                                Direction& direction) {
    std::vector<char> buf(kBufferBytes);
    while (true) {
      auto [ec, n] =
          co_await direction.from.async_read_some(asio::buffer(buf), kNoThrow);
      if (ec) {
        break;
      }
      disturbed += direction.frames.Enqueue({buf.data(), n}, fault,
                                            std::chrono::steady_clock::now());
      WriteDue(connection, direction);
    }
    co_await DrainHeldFrames(connection, direction);
    if (!direction.silent) {
      connection->Close();
    }
    if (--connection->open_directions == 0) {
      connections.erase(connection);
    }
  }

  // Forwards the data received before the close.
  asio::awaitable<void> DrainHeldFrames(std::shared_ptr<Connection> connection,
                                        Direction& direction) {
    asio::steady_timer timer(context);
    while (direction.to.is_open() &&
           (direction.writing || !direction.frames.empty())) {
      timer.expires_after(kReleasePoll);
      co_await timer.async_wait(kNoThrow);
      WriteDue(connection, direction);
    }
  }

  // Forwards delayed frames when they are due.
  asio::awaitable<void> WriteHeldFrames(std::shared_ptr<Impl> /*self*/) {
    asio::steady_timer timer(context);
    while (acceptor.is_open()) {
      timer.expires_after(kReleasePoll);
      co_await timer.async_wait(kNoThrow);
      for (const auto& it : connections) {
        WriteDue(it, it->to_agent);
        WriteDue(it, it->to_entry);
      }
    }
  }

  void Close() {
    boost::system::error_code ignored;
    acceptor.close(ignored);
  }
};

LinkProxy::LinkProxy(asio::io_context& context,
                     const runtime::Endpoint& listen,
                     const runtime::Endpoint& target,
                     std::uint64_t seed,
                     LinkUnit unit)
    : impl_(std::make_shared<Impl>(context, listen, target, seed, unit)) {
  asio::co_spawn(context, impl_->Accept(impl_), asio::detached);
  asio::co_spawn(context, impl_->WriteHeldFrames(impl_), asio::detached);
}

LinkProxy::~LinkProxy() {
  Cut();
  impl_->Close();
}

std::size_t LinkProxy::Cut() {
  const std::size_t n = impl_->connections.size();
  for (const auto& it : impl_->connections) {
    it->Close();
  }
  return n;
}

std::size_t LinkProxy::HalfOpen(SilentWay way) {
  std::size_t n = 0;
  for (const auto& it : impl_->connections) {
    const bool was_live = !it->to_agent.silent && !it->to_entry.silent;
    n += was_live ? 1 : 0;
    it->to_agent.silent |= way != SilentWay::kToEntry;
    it->to_entry.silent |= way != SilentWay::kToAgent;
  }
  return n;
}

DatagramProxy& LinkProxy::datagrams() {
  return impl_->datagrams;
}

void LinkProxy::SetFrameFault(FrameFault fault) {
  impl_->fault = fault;
}

std::size_t LinkProxy::disturbed() const {
  return impl_->disturbed;
}

}  // namespace peridotgate::prove
