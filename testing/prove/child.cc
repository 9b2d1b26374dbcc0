#include "prove/child.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <climits>
#include <csignal>
#include <utility>

#include "coordination/check.h"

namespace peridotgate::prove {
namespace {

constexpr int kExitNotStarted = 127;
constexpr unsigned kFirstInherited = 3;

// Executes the program in the new process and makes the kernel kill it when the
// parent dies. Calls only async-signal-safe functions, as required after
// fork().
[[noreturn]] void BecomeProgram(char** argv, const char* log, pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(kExitNotStarted);
  }
  constexpr int kMode = 0600;
  const int out = open(log, O_WRONLY | O_CREAT | O_APPEND, kMode);
  dup2(out, 1);
  dup2(out, 2);
  // A socket inherited from the parent would keep the connection open after the
  // parent closes it.
  close_range(kFirstInherited, UINT_MAX, 0);
  execv(argv[0], argv);
  _exit(kExitNotStarted);
}

}  // namespace

Child::Child(const std::vector<std::string>& command, const std::string& log) {
  std::vector<char*> argv;
  argv.reserve(command.size() + 1);
  for (const std::string& it : command) {
    argv.push_back(const_cast<char*>(it.c_str()));
  }
  argv.push_back(nullptr);
  const pid_t parent = getpid();
  pid_ = fork();
  PG_CHECK(pid_ >= 0);
  if (pid_ == 0) {
    BecomeProgram(argv.data(), log.c_str(), parent);
  }
}

Child::~Child() {
  Kill();
}

Child::Child(Child&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)), status_(other.status_) {}

Child& Child::operator=(Child&& other) noexcept {
  if (this != &other) {
    Kill();
    pid_ = std::exchange(other.pid_, 0);
    status_ = other.status_;
  }
  return *this;
}

void Child::Kill() {
  if (pid_ <= 0) {
    return;
  }
  Signal(SIGKILL);
  waitpid(pid_, &status_, 0);
  status_ = -1;
  pid_ = 0;
}

void Child::Terminate() {
  Signal(SIGTERM);
}

void Child::Pause() {
  Signal(SIGSTOP);
}

void Child::Continue() {
  Signal(SIGCONT);
}

void Child::Reload() {
  Signal(SIGHUP);
}

bool Child::Ended() {
  if (pid_ <= 0) {
    return true;
  }
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) {
    return false;
  }
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  pid_ = 0;
  return true;
}

void Child::Signal(int number) {
  if (pid_ > 0) {
    kill(pid_, number);
  }
}

}  // namespace peridotgate::prove
