#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace review {
namespace {

constexpr std::size_t kReadBytes = 16 << 10;

sockaddr_in AddressOf(const std::string& host, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char it) { return std::tolower(it); });
  return text;
}

// Reads "name: value" lines; returns the first line.
std::string ParseHead(std::string_view head, Headers& headers) {
  std::string first;
  while (!head.empty()) {
    const std::size_t end = head.find("\r\n");
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(end == std::string_view::npos ? head.size() : end + 2);
    const std::size_t colon = line.find(':');
    if (first.empty()) {
      first = line;
    } else if (colon != std::string_view::npos) {
      std::string_view value = line.substr(colon + 1);
      value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
      headers[Lower(std::string(line.substr(0, colon)))] = value;
    }
  }
  return first;
}

// Takes a body in chunks out of `buf`; false if it is incomplete.
bool TakeChunks(std::string& buf, std::string& body) {
  std::size_t at = 0;
  std::string whole;
  while (true) {
    const std::size_t line_end = buf.find("\r\n", at);
    if (line_end == std::string::npos) {
      return false;
    }
    const auto size =
        static_cast<std::size_t>(std::strtoul(buf.c_str() + at, nullptr, 16));
    at = line_end + 2;
    if (buf.size() < at + size + 2) {
      return false;
    }
    if (size == 0) {
      buf.erase(0, at + 2);
      body = std::move(whole);
      return true;
    }
    whole += buf.substr(at, size);
    at += size + 2;
  }
}

}  // namespace

void Record::Line(const std::string& text) {
  const std::int64_t at = At();
  const std::scoped_lock lock(mutex_);
  file_ << at << " ms  " << text << std::endl;
}

std::int64_t Record::At() const {
  return std::chrono::duration_cast<Millis>(Now() - began_).count();
}

std::string Request::Header(const std::string& name) const {
  const auto found = headers.find(Lower(name));
  return found == headers.end() ? "" : found->second;
}

bool Peer::Fill() {
  std::string piece(kReadBytes, '\0');
  const auto n = ::recv(fd_, piece.data(), piece.size(), 0);
  if (n <= 0) {
    return false;
  }
  buf_.append(piece, 0, static_cast<std::size_t>(n));
  return true;
}

bool Peer::Read(Request& request) {
  std::size_t end = 0;
  while ((end = buf_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) {
      return false;
    }
  }
  request = {};
  const std::string first =
      ParseHead(std::string_view(buf_).substr(0, end), request.headers);
  buf_.erase(0, end + 4);
  const std::size_t space = first.find(' ');
  request.method = first.substr(0, space);
  request.target = first.substr(space + 1);
  request.target.resize(
      std::min(request.target.size(), request.target.find(' ')));
  if (request.headers.contains("transfer-encoding")) {
    while (!TakeChunks(buf_, request.body)) {
      if (!Fill()) {
        return false;
      }
    }
    return true;
  }
  const std::string length = request.Header("content-length");
  const std::size_t size =
      length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
  while (buf_.size() < size) {
    if (!Fill()) {
      return false;
    }
  }
  request.body = buf_.substr(0, size);
  buf_.erase(0, size);
  return true;
}

bool Peer::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool Peer::Send(const Response& response) const {
  if (response.status == 0) {
    return false;
  }
  std::string text =
      "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n";
  for (const auto& [name, value] : response.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(response.body.size()) +
          "\r\n\r\n" + response.body;
  return Write(text);
}

Server::Server(const std::string& host, Handler handler)
    : host_(host), handler_(std::move(handler)) {
  constexpr int kBacklog = 256;
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(host, 0);
  (void)::bind(listener_, reinterpret_cast<sockaddr*>(&address),
               sizeof(address));
  ::listen(listener_, kBacklog);
  socklen_t size = sizeof(address);
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  threads_.emplace_back([this] { Accept(); });
}

Server::~Server() {
  stopping_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  threads_.front().join();
  {
    const std::scoped_lock lock(mutex_);
    for (const int fd : open_) {
      ::shutdown(fd, SHUT_RDWR);
    }
  }
  for (std::size_t i = 1; i < threads_.size(); ++i) {
    threads_[i].join();
  }
  ::close(listener_);
}

void Server::Accept() {
  while (!stopping_) {
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::scoped_lock lock(mutex_);
    open_.insert(fd);
    threads_.emplace_back([this, fd] { Serve(fd); });
  }
}

void Server::Serve(int fd) {
  Peer peer(fd);
  Request request;
  while (!stopping_ && peer.Read(request) && handler_(request, peer)) {
  }
  const std::scoped_lock lock(mutex_);
  open_.erase(fd);
  ::close(fd);
}

void Server::ResetAll() {
  const std::scoped_lock lock(mutex_);
  for (const int fd : open_) {
    const linger reset{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    ::shutdown(fd, SHUT_RDWR);
  }
}

std::optional<Response> Fetch(const std::string& host,
                              std::uint16_t port,
                              const Request& request,
                              Millis timeout) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval time{static_cast<time_t>(timeout.count() / 1000),
                     static_cast<suseconds_t>(timeout.count() % 1000 * 1000)};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
  const sockaddr_in address = AddressOf(host, port);
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!request.body.empty()) {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  text += "\r\n" + request.body;
  std::string buf;
  const auto fill = [&] {
    std::string piece(kReadBytes, '\0');
    const auto n = ::recv(fd, piece.data(), piece.size(), 0);
    buf.append(piece, 0, n > 0 ? static_cast<std::size_t>(n) : 0);
    return n > 0;
  };
  const auto fetch = [&]() -> std::optional<Response> {
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0 ||
        !Peer(fd).Write(text)) {
      return std::nullopt;
    }
    std::size_t end = 0;
    while ((end = buf.find("\r\n\r\n")) == std::string::npos) {
      if (!fill()) {
        return std::nullopt;
      }
    }
    Response response;
    const std::string first =
        ParseHead(std::string_view(buf).substr(0, end), response.headers);
    buf.erase(0, end + 4);
    constexpr std::size_t kStatusAt = 9;
    response.status = static_cast<unsigned>(
        std::strtoul(first.substr(kStatusAt).c_str(), nullptr, 10));
    if (response.headers.contains("transfer-encoding")) {
      while (!TakeChunks(buf, response.body)) {
        if (!fill()) {
          return std::nullopt;
        }
      }
      return response;
    }
    const std::string length = response.headers["content-length"];
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (buf.size() < size) {
      if (!fill()) {
        return std::nullopt;
      }
    }
    response.body = buf.substr(0, size);
    return response;
  };
  auto response = fetch();
  ::close(fd);
  return response;
}

std::uint16_t FreePort(const std::string& host) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(host, 0);
  (void)::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

}  // namespace review
