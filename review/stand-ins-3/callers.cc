#include "callers.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <set>

namespace review {
namespace {

int Connect(const Gateway& gateway) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  constexpr timeval kTimeout{3, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &kTimeout, sizeof(kTimeout));
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &kTimeout, sizeof(kTimeout));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(gateway.callers);
  ::inet_pton(AF_INET, gateway.host.c_str(), &address.sin_addr);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

std::string Head(const std::string& id, const std::string& rest) {
  return "POST /book/1 HTTP/1.1\r\nHost: " + std::string(kRouteHost) +
         "\r\nPeridotgate-Request-Id: " + id +
         "\r\nAuthorization: Token key-first\r\nPeridotgate-Deadline-Ms: "
         "1500\r\n" +
         rest + "\r\n\r\n";
}

}  // namespace

Callers::Callers(const Gateway& gateway, Record& record)
    : gateway_(gateway), record_(record) {
  threads_.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    threads_.emplace_back([this, i] { CallOften(i); });
  }
}

Callers::~Callers() {
  Stop();
}

void Callers::Stop() {
  stopping_ = true;
  for (std::thread& it : threads_) {
    it.join();
  }
  threads_.clear();
}

void Callers::CallOften(int caller) {
  const int fd = Connect(gateway_);
  const Peer peer(fd);
  for (int i = 0; fd >= 0 && !stopping_; ++i) {
    const std::string id =
        gateway_.name + "-" + std::to_string(caller) + "-" + std::to_string(i);
    const std::int64_t at = record_.At();
    std::string answer;
    bool open = peer.Write(Head(id, "Content-Length: 4") + "book");
    while (open && answer.find("answer to " + id) == std::string::npos) {
      std::string piece(4096, '\0');
      const auto n = ::recv(fd, piece.data(), piece.size(), 0);
      open = n > 0;
      answer.append(piece, 0, open ? static_cast<std::size_t>(n) : 0);
      // A refusal has no body.
      if (answer.find("Content-Length: 0\r\n") != std::string::npos) {
        break;
      }
    }
    if (!open && answer.empty()) {
      record_.Line("client: " + id + " sent at " + std::to_string(at) +
                   " ms: closed without an answer");
      // Only a connection that had an answer before was kept.
      const std::scoped_lock lock(mutex_);
      if (i > 0) {
        lost_.push_back(id);
      }
      break;
    }
    if (!open) {
      break;
    }
    ++answered_;
  }
  ::close(fd);
}

std::size_t Callers::CountLost(const Fleet& fleet) {
  std::set<std::string> run;
  for (const auto& replica : fleet.plain()) {
    for (const Run& it : replica->runs()) {
      run.insert(it.request);
    }
  }
  std::size_t n = 0;
  for (const std::string& it : lost_) {
    if (run.contains(it)) {
      ++n;
      record_.Line("LOST: " + it +
                   " has run, and its kept connection was closed without an "
                   "answer");
    }
  }
  return n;
}

}  // namespace review
