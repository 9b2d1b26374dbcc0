// A process that the test program started, and ends by its id only.
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
  /** Starts `command`; its output goes to `log`, appended. */
  Child(const std::vector<std::string>& command, const std::string& log);
  ~Child();
  Child(Child&& other) noexcept;
  Child& operator=(Child&& other) noexcept;

  /** kill -9, and waits for the end. */
  void Kill();
  /** SIGTERM; poll `Ended`. */
  void Terminate();
  void Pause();
  void Continue();
  /** SIGHUP: its settings may have changed. */
  void Reload();

  /** Whether it has ended; reaps it. */
  bool Ended();
  /** The exit status after `Ended`, or -1 when it died of a signal. */
  int status() const { return status_; }
  bool running() const { return pid_ > 0; }

 private:
  void Signal(int number);

  pid_t pid_ = 0;
  int status_ = 0;
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_CHILD_H_
