#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr std::size_t kReadBytes = 64 << 10;
constexpr int kBacklog = 512;

sockaddr_in ToAddress(const std::string& host, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

void SetNoDelay(int fd) {
  const int on = 1;
  (void)::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

int OpenListener(const std::string& host, std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  (void)::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToAddress(host, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(fd, kBacklog) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

std::uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::string Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  return std::string(text);
}

}  // namespace

bool IgnoreCase::operator()(const std::string& a, const std::string& b) const {
  return ::strcasecmp(a.c_str(), b.c_str()) < 0;
}

std::string Message::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

std::string Message::Word(int index) const {
  std::string_view line = start_line;
  for (int i = 0; i < index; ++i) {
    const std::size_t space = line.find(' ');
    line.remove_prefix(space == std::string_view::npos ? line.size()
                                                       : space + 1);
  }
  return std::string(line.substr(0, line.find(' ')));
}

Connection::~Connection() {
  ::close(fd_);
}

std::shared_ptr<Connection> Connection::Open(const std::string& host,
                                             std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToAddress(host, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(fd);
    return nullptr;
  }
  SetNoDelay(fd);
  return std::make_shared<Connection>(fd);
}

bool Connection::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool Connection::Fill() {
  std::array<char, kReadBytes> piece;
  ssize_t n = 0;
  do {
    n = ::recv(fd_, piece.data(), piece.size(), 0);
  } while (n < 0 && errno == EINTR);
  if (n <= 0) {
    return false;
  }
  buf_.append(piece.data(), static_cast<std::size_t>(n));
  return true;
}

bool Connection::ReadLine(std::string& line) {
  std::size_t end = 0;
  while ((end = buf_.find('\n')) == std::string::npos) {
    if (!Fill()) {
      return false;
    }
  }
  line = Trim(std::string_view(buf_).substr(0, end));
  buf_.erase(0, end + 1);
  return true;
}

bool Connection::ReadHead(Message& message) {
  message = {};
  if (!ReadLine(message.start_line)) {
    return false;
  }
  std::string line;
  while (ReadLine(line)) {
    if (line.empty()) {
      return true;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      message.headers[line.substr(0, colon)] =
          Trim(std::string_view(line).substr(colon + 1));
    }
  }
  return false;
}

bool Connection::ReadBody(
    Message& message,
    const std::function<void(std::string_view)>& on_bytes) {
  const auto take = [&](std::size_t size) {
    while (buf_.size() < size) {
      if (!Fill()) {
        return false;
      }
    }
    message.body.append(buf_, 0, size);
    if (on_bytes) {
      on_bytes(std::string_view(buf_).substr(0, size));
    }
    buf_.erase(0, size);
    return true;
  };
  if (message.Header("Transfer-Encoding").empty()) {
    const std::string length = message.Header("Content-Length");
    return length.empty() || take(std::strtoul(length.c_str(), nullptr, 10));
  }
  std::string line;
  while (ReadLine(line)) {
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (size == 0) {
      return ReadLine(line);
    }
    if (!take(size) || !ReadLine(line)) {
      return false;
    }
  }
  return false;
}

void Connection::SetReadTimeout(Millis timeout) const {
  timeval time{};
  time.tv_sec = timeout.count() / 1000;
  time.tv_usec = (timeout.count() % 1000) * 1000;
  (void)::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

bool Connection::WaitForClose(Millis time) const {
  pollfd it{fd_, POLLRDHUP, 0};
  return ::poll(&it, 1, static_cast<int>(time.count())) > 0;
}

void Connection::Reset() {
  const linger now{1, 0};
  (void)::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Shutdown();
}

void Connection::Shutdown() const {
  ::shutdown(fd_, SHUT_RDWR);
}

struct Listener::State {
  int fd = -1;
  Handler handler;
  std::mutex mutex;
  std::set<ConnectionPtr> open;
  bool killed = false;
};

Listener::Listener(std::string host, std::uint16_t port, Handler handler)
    : host_(std::move(host)), state_(std::make_shared<State>()) {
  state_->fd = OpenListener(host_, port);
  state_->handler = std::move(handler);
  port_ = PortOf(state_->fd);
  std::thread([state = state_] {
    while (true) {
      const int fd = ::accept4(state->fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        const std::lock_guard lock(state->mutex);
        if (state->killed) {
          return;
        }
        continue;
      }
      SetNoDelay(fd);
      auto connection = std::make_shared<Connection>(fd);
      {
        const std::lock_guard lock(state->mutex);
        if (state->killed) {
          return;
        }
        state->open.insert(connection);
      }
      std::thread([state, connection] {
        state->handler(connection);
        const std::lock_guard lock(state->mutex);
        state->open.erase(connection);
      }).detach();
    }
  }).detach();
}

void Listener::Kill() {
  const std::lock_guard lock(state_->mutex);
  if (state_->killed) {
    return;
  }
  state_->killed = true;
  ::shutdown(state_->fd, SHUT_RDWR);
  ::close(state_->fd);
  for (const ConnectionPtr& it : state_->open) {
    it->Reset();
  }
}

std::uint16_t FreePort(const std::string& host) {
  const int fd = OpenListener(host, 0);
  const std::uint16_t port = PortOf(fd);
  ::close(fd);
  return port;
}

std::string Response(int status,
                     const std::map<std::string, std::string>& headers,
                     std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  text += body;
  return text;
}

}  // namespace review
