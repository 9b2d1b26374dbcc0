#include "wire/link.h"

#include <array>
#include <atomic>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "frame_buffer.h"

namespace peridotgate::wire {
namespace {

using asio::ip::tcp;
using asio::ip::udp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadAheadBytes = 64 << 10;
constexpr std::size_t kMaxReceivedDatagramBytes = 64 << 10;

std::atomic<std::uint64_t> next_link_number{1};

}  // namespace

struct Link::Impl {
  explicit Impl(tcp::socket connected, runtime::Metrics& metrics)
      : socket(std::move(connected)),
        number(next_link_number.fetch_add(1)),
        malformed(metrics.GetCounter("peridotgate_wire_malformed_total")),
        overflowed(metrics.GetCounter("peridotgate_wire_slow_peers_total")) {}

  tcp::socket socket;
  std::uint64_t number;
  runtime::Counter& malformed;
  runtime::Counter& overflowed;
  runtime::Endpoint peer;
  bool connecting = false;
  bool closed = false;
  bool writing = false;
  std::string unsent;
  std::string sending;
  FrameBuffer received;
  OnMessage on_message;
  OnClose on_close;

  asio::awaitable<bool> Connect() {
    if (!connecting) {
      co_return true;
    }
    tcp::endpoint address(asio::ip::make_address(peer.address), peer.port);
    auto [ec] = co_await socket.async_connect(address, kNoThrow);
    if (ec) {
      co_return false;
    }
    connecting = false;
    co_return true;
  }

  // Waits for data without a buffer, so that an idle link uses no memory for
  // it.
  asio::awaitable<void> Read(std::shared_ptr<Link> self) {
    while (!closed) {
      auto [ec] = co_await socket.async_wait(tcp::socket::wait_read, kNoThrow);
      if (ec || !ReadAvailable(*self)) {
        break;
      }
    }
    self->Close();
  }

  // Reads what is available and handles the messages in it. Returns false when
  // the link must be closed.
  bool ReadAvailable(Link& link) {
    thread_local std::vector<char> buf(kReadAheadBytes);
    boost::system::error_code ec;
    const std::size_t n = socket.read_some(asio::buffer(buf), ec);
    if (ec == asio::error::would_block) {
      return true;
    }
    if (ec) {
      return false;
    }
    received.Append({buf.data(), n});
    const bool ok = received.DecodeMessages([&](Message&& message) {
      on_message(link, std::move(message));
      return !closed;
    });
    if (!ok) {
      malformed.Add();
    }
    return ok;
  }

  asio::awaitable<void> Write(std::shared_ptr<Link> self) {
    while (!closed && !unsent.empty()) {
      sending.clear();
      std::swap(sending, unsent);
      auto [ec, n] =
          co_await asio::async_write(socket, asio::buffer(sending), kNoThrow);
      if (ec) {
        self->Close();
      }
    }
    writing = false;
  }

  // Schedules a write at the end of this turn of the event loop, so that all
  // messages queued in one turn are sent together.
  void StartWriting(std::shared_ptr<Link> self) {
    if (writing || connecting || closed || unsent.empty()) {
      return;
    }
    writing = true;
    asio::post(socket.get_executor(),
               [this, self = std::move(self)] { TryWrite(self); });
  }

  // Tries a non-blocking write first, which nearly always sends everything, and
  // waits only for the remainder.
  void TryWrite(const std::shared_ptr<Link>& self) {
    boost::system::error_code ec;
    const std::size_t n =
        closed ? 0 : socket.write_some(asio::buffer(unsent), ec);
    if (closed || (ec && ec != asio::error::would_block)) {
      writing = false;
      self->Close();
      return;
    }
    unsent.erase(0, n);
    if (unsent.empty()) {
      writing = false;
      return;
    }
    asio::co_spawn(socket.get_executor(), Write(self), asio::detached);
  }

  asio::awaitable<void> Run(std::shared_ptr<Link> self) {
    if (!co_await Connect()) {
      self->Close();
      co_return;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    StartWriting(self);
    co_await Read(self);
  }
};

Link::Link() = default;
Link::~Link() = default;

std::shared_ptr<Link> Link::FromSocket(tcp::socket socket,
                                       runtime::Metrics& metrics) {
  std::shared_ptr<Link> link(new Link());
  link->impl_ = std::make_unique<Impl>(std::move(socket), metrics);
  return link;
}

std::shared_ptr<Link> Link::Connecting(asio::io_context& context,
                                       runtime::Endpoint peer,
                                       runtime::Metrics& metrics) {
  auto link = FromSocket(tcp::socket(context), metrics);
  link->impl_->peer = std::move(peer);
  link->impl_->connecting = true;
  return link;
}

void Link::Start(OnMessage on_message, OnClose on_close) {
  impl_->on_message = std::move(on_message);
  impl_->on_close = std::move(on_close);
  asio::co_spawn(impl_->socket.get_executor(), impl_->Run(shared_from_this()),
                 asio::detached);
}

bool Link::Send(const Message& message) {
  Impl& it = *impl_;
  if (it.closed) {
    return false;
  }
  AppendFrame(message, it.unsent);
  if (it.unsent.size() > kMaxUnsentBytes) {
    it.overflowed.Add();
    Close();
    return false;
  }
  it.StartWriting(shared_from_this());
  return true;
}

void Link::Close() {
  Impl& it = *impl_;
  if (it.closed) {
    return;
  }
  it.closed = true;
  boost::system::error_code ignored;
  it.socket.close(ignored);
  // Posted, so that `on_close` never runs inside a caller of `Send`.
  asio::post(it.socket.get_executor(), [self = shared_from_this()] {
    Impl& impl = *self->impl_;
    if (impl.on_close) {
      impl.on_close(*self);
    }
    impl.on_message = nullptr;
    impl.on_close = nullptr;
  });
}

bool Link::closed() const {
  return impl_->closed;
}

bool Link::was_connected() const {
  return !impl_->connecting;
}

bool Link::drained() const {
  return impl_->closed || (impl_->unsent.empty() && !impl_->writing);
}

std::uint64_t Link::number() const {
  return impl_->number;
}

struct LinkListener::Impl {
  tcp::acceptor acceptor;
  runtime::Metrics& metrics;
  OnLink on_link;

  asio::awaitable<void> Accept(std::shared_ptr<Impl> /*self*/) {
    while (acceptor.is_open()) {
      auto [ec, socket] = co_await acceptor.async_accept(kNoThrow);
      if (ec == asio::error::operation_aborted) {
        co_return;
      }
      if (!ec) {
        on_link(Link::FromSocket(std::move(socket), metrics));
      }
    }
  }
};

LinkListener::LinkListener(asio::io_context& context,
                           runtime::Metrics& metrics,
                           OnLink on_link)
    : impl_(new Impl{tcp::acceptor(context), metrics, std::move(on_link)}) {}

LinkListener::~LinkListener() = default;

bool LinkListener::Listen(const runtime::Endpoint& endpoint,
                          std::string& error) {
  tcp::acceptor& acceptor = impl_->acceptor;
  try {
    tcp::endpoint address(asio::ip::make_address(endpoint.address),
                          endpoint.port);
    acceptor.open(address.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen();
  } catch (const std::exception& e) {
    error = runtime::ToString(endpoint) + ": " + e.what();
    return false;
  }
  asio::co_spawn(acceptor.get_executor(), impl_->Accept(impl_), asio::detached);
  return true;
}

std::uint16_t LinkListener::port() const {
  boost::system::error_code ignored;
  return impl_->acceptor.local_endpoint(ignored).port();
}

void LinkListener::Stop() {
  boost::system::error_code ignored;
  impl_->acceptor.close(ignored);
}

struct DatagramSocket::Impl {
  udp::socket socket;
  runtime::Counter& malformed;
  runtime::Counter& unsent;
  OnMessage on_message;

  asio::awaitable<void> Receive(std::shared_ptr<Impl> /*self*/) {
    std::vector<std::byte> buf(kMaxReceivedDatagramBytes);
    udp::endpoint peer;
    while (socket.is_open()) {
      auto [ec, n] =
          co_await socket.async_receive_from(asio::buffer(buf), peer, kNoThrow);
      if (ec == asio::error::operation_aborted) {
        co_return;
      }
      if (ec) {
        continue;
      }
      auto message = Decode(std::span(buf).first(n));
      if (!message) {
        malformed.Add();
        continue;
      }
      on_message(peer, std::move(message.value()));
    }
  }
};

DatagramSocket::DatagramSocket(asio::io_context& context,
                               runtime::Metrics& metrics,
                               OnMessage on_message)
    : impl_(new Impl{
          udp::socket(context),
          metrics.GetCounter("peridotgate_wire_malformed_datagrams_total"),
          metrics.GetCounter("peridotgate_wire_unsent_datagrams_total"),
          std::move(on_message)}) {}

DatagramSocket::~DatagramSocket() = default;

bool DatagramSocket::Listen(const runtime::Endpoint& endpoint,
                            std::string& error) {
  try {
    udp::endpoint address = ToUdp(endpoint);
    impl_->socket.open(address.protocol());
    impl_->socket.bind(address);
    impl_->socket.non_blocking(true);
  } catch (const std::exception& e) {
    error = runtime::ToString(endpoint) + ": " + e.what();
    return false;
  }
  asio::co_spawn(impl_->socket.get_executor(), impl_->Receive(impl_),
                 asio::detached);
  return true;
}

bool DatagramSocket::SendTo(const udp::endpoint& peer, const Message& message) {
  const std::string bytes = EncodeDatagram(message);
  boost::system::error_code ec;
  if (bytes.size() <= kMaxDatagramBytes) {
    impl_->socket.send_to(asio::buffer(bytes), peer, 0, ec);
  } else {
    ec = asio::error::message_size;
  }
  if (ec) {
    impl_->unsent.Add();
  }
  return !ec;
}

void DatagramSocket::Stop() {
  boost::system::error_code ignored;
  impl_->socket.close(ignored);
}

udp::endpoint ToUdp(const runtime::Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

}  // namespace peridotgate::wire
