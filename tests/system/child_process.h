#ifndef HORNBEAMCLEAT_TESTS_SYSTEM_CHILD_PROCESS_H_
#define HORNBEAMCLEAT_TESTS_SYSTEM_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace hornbeamcleat {

/// Process of a test; it is killed when the object goes.
class ChildProcess {
 public:
  /// Starts `program` of the build directory with `arguments`.
  /// @param log file that its output goes to
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log);
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends a signal if it still runs.
  void Signal(int signal) const;

  /// Ends it at once, as a VM that fails.
  void Kill();

  /// Waits up to 20 s for its end and returns its exit code; -1 if it did not
  /// end, or by a signal.
  int WaitForExit();

  /// Waits up to 20 s for "listening on IP:PORT" in its log and returns the
  /// address; empty if it did not come.
  std::string ListeningAddress() const;

 private:
  pid_t pid_ = -1;  // -1 once it was waited for
  std::string log_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_SYSTEM_CHILD_PROCESS_H_
