// Case: a sound replica answers with an empty body in chunks, whose last bytes
// arrive in several segments. Rule LOST, for the requests of other callers.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/json/src.hpp>

#include "fleet.h"

namespace review {
namespace {

constexpr int kCallers = 12;
constexpr std::size_t kMaxLost = 3;

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

// A request on a kept connection that was closed without an answer.
struct Lost {
  std::string id;
  std::int64_t at_ms = 0;
};

// Sends one request after another on one connection until it is closed.
void CallOften(const Gateway& gateway,
               int caller,
               const std::atomic<bool>& stopping,
               Record& record,
               std::mutex& mutex,
               std::vector<Lost>& lost,
               std::atomic<int>& answered) {
  const int fd = Connect(gateway);
  const Peer peer(fd);
  for (int i = 0; fd >= 0 && !stopping; ++i) {
    const std::string id =
        "caller-" + std::to_string(caller) + "-" + std::to_string(i);
    const std::int64_t at = record.At();
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
      record.Line("client: " + id + " sent at " + std::to_string(at) +
                  " ms: closed without an answer");
      // Only a connection that had an answer before was kept.
      const std::scoped_lock lock(mutex);
      if (i > 0) {
        lost.push_back({id, at});
      }
      break;
    }
    if (!open) {
      break;
    }
    ++answered;
  }
  ::close(fd);
}

int RunCase(const std::string& folder, const std::string& out, bool trouble) {
  Record record(out);
  Fleet fleet(folder, {.engines = 1, .plain = 3, .in_pieces = trouble}, record);
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(kContact + Millis(1000));
  Gateway& gateway = fleet.gateways().all().front();
  std::atomic<bool> stopping = false;
  std::atomic<int> answered = 0;
  std::mutex mutex;
  std::vector<Lost> lost;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      CallOften(gateway, i, stopping, record, mutex, lost, answered);
    });
  }
  std::this_thread::sleep_for(Millis(2000));
  // One look-up, whose answer has an empty body in chunks.
  const Request look{"GET",
                     "/look/empty",
                     {{"Host", kRouteHost},
                      {"Authorization", "Token key-first"},
                      {"Peridotgate-Request-Id", "look-empty"},
                      {"Peridotgate-Deadline-Ms", "1500"}},
                     ""};
  const auto answer = Fetch(gateway.host, gateway.callers, look, Millis(2000));
  record.Line("client: look-empty -> " +
              (answer ? std::to_string(answer->status)
                      : std::string("closed without an answer")));
  std::this_thread::sleep_for(Millis(2000));
  int status = 0;
  const bool ended = fleet.gateways().HasEnded(gateway, status);
  if (ended && WIFSIGNALED(status)) {
    record.Line("gateway: ended by itself, by signal " +
                std::to_string(WTERMSIG(status)));
  }
  stopping = true;
  for (std::thread& it : callers) {
    it.join();
  }
  std::set<std::string> run;
  for (const auto& replica : fleet.plain()) {
    for (const Run& it : replica->runs()) {
      run.insert(it.request);
    }
  }
  std::size_t broken = 0;
  for (const Lost& it : lost) {
    if (run.contains(it.id)) {
      ++broken;
      record.Line("LOST: " + it.id +
                  " has run, and its kept connection was "
                  "closed without an answer");
    }
  }
  record.Line("answered: " + std::to_string(answered) +
              ", gateway ended: " + (ended ? "yes" : "no") +
              ", passed on and never answered: " + std::to_string(broken));
  if (answered == 0) {
    return kCouldNotRun;
  }
  return broken > kMaxLost ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: FOLDER RECORD TROUBLE\n");
    return review::kCouldNotRun;
  }
  return review::RunCase(argv[1], argv[2], std::string(argv[3]) != "0");
}
