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
constexpr std::size_t kPieceBytes = 16 << 10;
constexpr std::chrono::milliseconds kReleasePause{5};

// One way of a connection.
struct Way {
  Way(tcp::socket& from, tcp::socket& to, std::uint64_t seed, LinkUnit unit)
      : from(from), to(to), frames(seed, unit) {}
  tcp::socket& from;
  tcp::socket& to;
  FrameFaults frames;
  std::string unsent;
  bool writing = false;
  bool silent = false;
};

struct Pair {
  Pair(asio::io_context& context, std::uint64_t seed, LinkUnit unit)
      : near(context),
        far(context),
        to_agent(near, far, seed, unit),
        to_entry(far, near, seed + 1, unit) {}
  tcp::socket near;
  tcp::socket far;
  Way to_agent;
  Way to_entry;
  int ways_open = 2;

  void Close() {
    boost::system::error_code ignored;
    near.close(ignored);
    far.close(ignored);
  }
};

asio::awaitable<void> Write(std::shared_ptr<Pair> pair, Way& way) {
  while (!way.unsent.empty()) {
    const std::string sending = std::exchange(way.unsent, {});
    auto [ec, n] =
        co_await asio::async_write(way.to, asio::buffer(sending), kNoThrow);
    if (ec) {
      pair->Close();
      break;
    }
  }
  way.writing = false;
}

// Passes on what is due.
void Release(const std::shared_ptr<Pair>& pair, Way& way) {
  way.frames.Release(std::chrono::steady_clock::now(), way.unsent);
  if (way.silent) {
    way.unsent.clear();
  }
  if (way.unsent.empty() || way.writing) {
    return;
  }
  way.writing = true;
  asio::co_spawn(way.to.get_executor(), Write(pair, way), asio::detached);
}

}  // namespace

struct LinkProxy::Contents : std::enable_shared_from_this<Contents> {
  Contents(asio::io_context& context,
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
  std::set<std::shared_ptr<Pair>> pairs;

  asio::awaitable<void> Accept(std::shared_ptr<Contents> /*self*/) {
    while (acceptor.is_open()) {
      auto pair = std::make_shared<Pair>(context, seed += 2, unit);
      auto [ec] = co_await acceptor.async_accept(pair->near, kNoThrow);
      if (ec) {
        co_return;
      }
      asio::co_spawn(context, Join(shared_from_this(), pair), asio::detached);
    }
  }

  asio::awaitable<void> Join(std::shared_ptr<Contents> /*self*/,
                             std::shared_ptr<Pair> pair) {
    auto [ec] = co_await pair->far.async_connect(target, kNoThrow);
    if (ec) {
      pair->Close();
      co_return;
    }
    pairs.insert(pair);
    asio::co_spawn(context, Pump(shared_from_this(), pair, pair->to_entry),
                   asio::detached);
    co_await Pump(shared_from_this(), pair, pair->to_agent);
  }

  // A close crosses the connection too, unless that way is silent.
  asio::awaitable<void> Pump(std::shared_ptr<Contents> /*self*/,
                             std::shared_ptr<Pair> pair,
                             Way& way) {
    std::vector<char> buf(kPieceBytes);
    while (true) {
      auto [ec, n] =
          co_await way.from.async_read_some(asio::buffer(buf), kNoThrow);
      if (ec) {
        break;
      }
      disturbed += way.frames.Take({buf.data(), n}, fault,
                                   std::chrono::steady_clock::now());
      Release(pair, way);
    }
    co_await Drain(pair, way);
    if (!way.silent) {
      pair->Close();
    }
    if (--pair->ways_open == 0) {
      pairs.erase(pair);
    }
  }

  // What was taken before the close is passed on first.
  asio::awaitable<void> Drain(std::shared_ptr<Pair> pair, Way& way) {
    asio::steady_timer timer(context);
    while (way.to.is_open() && (way.writing || !way.frames.empty())) {
      timer.expires_after(kReleasePause);
      co_await timer.async_wait(kNoThrow);
      Release(pair, way);
    }
  }

  // Passes on frames that were held back.
  asio::awaitable<void> ReleaseHeld(std::shared_ptr<Contents> /*self*/) {
    asio::steady_timer timer(context);
    while (acceptor.is_open()) {
      timer.expires_after(kReleasePause);
      co_await timer.async_wait(kNoThrow);
      for (const auto& it : pairs) {
        Release(it, it->to_agent);
        Release(it, it->to_entry);
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
    : contents_(
          std::make_shared<Contents>(context, listen, target, seed, unit)) {
  asio::co_spawn(context, contents_->Accept(contents_), asio::detached);
  asio::co_spawn(context, contents_->ReleaseHeld(contents_), asio::detached);
}

LinkProxy::~LinkProxy() {
  Cut();
  contents_->Close();
}

std::size_t LinkProxy::Cut() {
  const std::size_t n = contents_->pairs.size();
  for (const auto& it : contents_->pairs) {
    it->Close();
  }
  return n;
}

std::size_t LinkProxy::HalfOpen(SilentWay way) {
  std::size_t n = 0;
  for (const auto& it : contents_->pairs) {
    const bool heard = !it->to_agent.silent && !it->to_entry.silent;
    n += heard ? 1 : 0;
    it->to_agent.silent |= way != SilentWay::kToEntry;
    it->to_entry.silent |= way != SilentWay::kToAgent;
  }
  return n;
}

DatagramProxy& LinkProxy::datagrams() {
  return contents_->datagrams;
}

void LinkProxy::SetFrameFault(FrameFault fault) {
  contents_->fault = fault;
}

std::size_t LinkProxy::disturbed() const {
  return contents_->disturbed;
}

}  // namespace peridotgate::prove
