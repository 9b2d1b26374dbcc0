// A child process of the test program, signalled only by its process id.
#ifndef TESTING_PROVE_CHILD_H_
#define TESTING_PROVE_CHILD_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace peridotgate::prove {

/** One child process. Killed and reaped when destroyed. */
class Child {
 public:
  Child() = default;
  /** Starts `command`; appends its output to `log`. */
  Child(const std::vector<std::string>& command, const std::string& log);
  ~Child();
  Child(Child&& other) noexcept;
  Child& operator=(Child&& other) noexcept;

  /** Sends SIGKILL and waits for the exit. */
  void Kill();
  /** Sends SIGTERM; poll `Ended` for the exit. */
  void Terminate();
  void Pause();
  void Continue();
  /** Sends SIGHUP, to reload the settings. */
  void Reload();

  /** Whether it has exited; if so, reaps it. */
  bool Ended();
  /** The exit status once `Ended`, or -1 if a signal ended it. */
  int status() const { return status_; }
  bool running() const { return pid_ > 0; }

 private:
  void Signal(int number);

  pid_t pid_ = 0;
  int status_ = 0;
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_CHILD_H_
