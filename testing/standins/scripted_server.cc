#include "standins/scripted_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace peridotgate::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::size_t ParseBodySize(const std::string& head) {
  constexpr std::string_view kLength = "Content-Length: ";
  const std::size_t at = head.find(kLength);
  return at == std::string::npos ? 0
                                 : std::stoul(head.substr(at + kLength.size()));
}

}  // namespace

ScriptedServer::ScriptedServer(Script script)
    : script_(std::move(script)),
      acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      port_(acceptor_.local_endpoint().port()),
      accept_thread_([this] { Accept(); }) {}

ScriptedServer::~ScriptedServer() {
  stopping_ = true;
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  accept_thread_.join();
  {
    const std::lock_guard lock(mutex_);
    for (const int it : sockets_) {
      ::shutdown(it, SHUT_RDWR);
    }
  }
  for (std::thread& it : threads_) {
    it.join();
  }
}

std::vector<std::string> ScriptedServer::requests() const {
  const std::lock_guard lock(mutex_);
  return requests_;
}

void ScriptedServer::Crash() {
  stopping_ = true;
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  const std::lock_guard lock(mutex_);
  for (const int it : sockets_) {
    ::shutdown(it, SHUT_RDWR);
  }
}

void ScriptedServer::Accept() {
  while (!stopping_) {
    boost::system::error_code ec;
    tcp::socket socket = acceptor_.accept(ec);
    if (ec) {
      return;
    }
    const std::lock_guard lock(mutex_);
    sockets_.push_back(socket.native_handle());
    threads_.emplace_back(
        [this, it = std::move(socket)]() mutable { Serve(std::move(it)); });
  }
}

void ScriptedServer::Serve(tcp::socket socket) {
  std::string buf;
  boost::system::error_code ec;
  while (!ec) {
    const std::size_t head =
        asio::read_until(socket, asio::dynamic_buffer(buf), kHeadEnd, ec);
    if (ec) {
      break;
    }
    const std::size_t size = head + ParseBodySize(buf.substr(0, head));
    if (buf.size() < size) {
      asio::read(socket, asio::dynamic_buffer(buf),
                 asio::transfer_exactly(size - buf.size()), ec);
    }
    const std::string request = buf.substr(0, size);
    buf.erase(0, size);
    {
      const std::lock_guard lock(mutex_);
      requests_.push_back(request);
    }
    const ScriptedAnswer answer = script_(request);
    if (answer.silent) {
      continue;
    }
    asio::write(socket, asio::buffer(answer.bytes), ec);
    if (!answer.later.empty()) {
      std::this_thread::sleep_for(answer.later_after);
      asio::write(socket, asio::buffer(answer.later), ec);
    }
    if (answer.reset) {
      socket.set_option(asio::socket_base::linger(true, 0), ec);
    }
    if (answer.crash) {
      Crash();
    }
    if (answer.close || answer.reset || answer.crash) {
      break;
    }
  }
  ++closed_connections_;
  const std::lock_guard lock(mutex_);
  std::erase(sockets_, socket.native_handle());
  socket.close(ec);
}

}  // namespace peridotgate::standins
