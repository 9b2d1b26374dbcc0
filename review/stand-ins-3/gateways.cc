#include "gateways.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>

namespace review {
namespace {

constexpr const char* kProgram = "target/operate/peridotgate";
constexpr int kFirstHost = 31;
// `max_fds` of the sheet.
constexpr rlim_t kDescriptors = 4100;

}  // namespace

Gateways::Gateways(std::string folder,
                   const std::vector<std::string>& zones,
                   Record& record)
    : folder_(std::move(folder)), record_(record) {
  int host = kFirstHost;
  for (const std::string& zone : zones) {
    Gateway it;
    it.name = "front-" + zone + "-1";
    it.zone = zone;
    it.host = "127.0.0." + std::to_string(host++);
    it.callers = FreePort(it.host);
    it.ready = FreePort(it.host);
    it.peers = FreePort(it.host);
    it.operators = FreePort(it.host);
    all_.push_back(it);
  }
}

Gateways::~Gateways() {
  for (Gateway& it : all_) {
    if (it.pid > 0) {
      ::kill(it.pid, SIGKILL);
      ::waitpid(it.pid, nullptr, 0);
    }
  }
}

void Gateways::SetStore(std::uint16_t port) {
  for (Gateway& it : all_) {
    it.store = port;
  }
}

void Gateways::Start(Gateway& gateway) {
  const std::string path = folder_ + "/" + gateway.name + ".yaml";
  std::string seeds;
  for (const Gateway& it : all_) {
    seeds +=
        (seeds.empty() ? "" : ",") + it.host + ":" + std::to_string(it.peers);
  }
  const auto at = [&](std::uint16_t port) {
    return gateway.host + ":" + std::to_string(port);
  };
  std::ofstream file(path);
  file << "instance: " << gateway.name << "\ndata_centre: " << gateway.zone
       << "\nlisten:\n  callers: " << at(gateway.callers)
       << "\n  readiness: " << at(gateway.ready)
       << "\n  peers: " << at(gateway.peers)
       << "\n  operators: " << at(gateway.operators)
       << "\nstop_within_ms: 8e3\nstore: 127.0.0.1:" << gateway.store
       << "\nseeds: [" << seeds
       << "]\nretries:\n  ratio: 0.2\n  slack: 58\nquotas:\n  window_s: "
          "\n  over: \n  slack: \norders:\n  lease_ms: 3000\n  deadline_ms: "
          "10000\nlimits:\n  memory_mb: 110\n  cores: 0.19\n";
  file.close();
  const std::string log = folder_ + "/" + gateway.name + ".log";
  record_.Line("gateway " + gateway.name + ": start");
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = std::min<rlim_t>(kDescriptors, descriptors.rlim_max);
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    ::execl(kProgram, kProgram, "gateway", "--settings", path.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  gateway.pid = pid;
}

void Gateways::Signal(const Gateway& gateway, int number) const {
  record_.Line("gateway " + gateway.name + ": signal " +
               std::to_string(number));
  ::kill(gateway.pid, number);
}

bool Gateways::HasEnded(Gateway& gateway, int& status) const {
  if (gateway.pid <= 0 ||
      ::waitpid(gateway.pid, &status, WNOHANG) != gateway.pid) {
    return false;
  }
  record_.Line("gateway " + gateway.name + ": ended, status " +
               std::to_string(status));
  gateway.pid = 0;
  return true;
}

bool Gateways::IsReady(const Gateway& gateway) const {
  Request request{"GET", "/v1/ready", {{"Host", "ready"}}, ""};
  const auto response =
      Fetch(gateway.host, gateway.ready, request, Millis(1000));
  return response && response->status == 200;
}

bool Gateways::WaitUntilReady(Millis timeout) const {
  const TimePoint end = Now() + timeout;
  for (const Gateway& it : all_) {
    while (!IsReady(it)) {
      if (Now() >= end) {
        return false;
      }
      std::this_thread::sleep_for(Millis(50));
    }
  }
  return true;
}

}  // namespace review
