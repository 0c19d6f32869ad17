#ifndef HORNBEAMCLEAT_TESTS_ENTRY_ENTRY_PROCESS_H_
#define HORNBEAMCLEAT_TESTS_ENTRY_ENTRY_PROCESS_H_

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include "tests/net/socket_peer.h"

namespace hornbeamcleat {

/// hornbeamcleat-entry as a separate process, so that its exit code, processor
/// time and memory can be measured.
class EntryProcess {
 public:
  /// Starts the program from the directory of the running one, with its control
  /// daemon at `control`.
  explicit EntryProcess(const Address& control) {
    const std::filesystem::path self =
        std::filesystem::read_symlink("/proc/self/exe");
    const std::string program = self.parent_path() / "hornbeamcleat-entry";
    const std::string settings = std::filesystem::temp_directory_path() /
                                 ("entry-" + std::to_string(getpid()) + ".ini");
    listen_ = FreeAddress();
    admin_ = FreeAddress();
    std::ofstream(settings)
        << "[entry]\nname = entry-1\nfailure_domain = d\nlisten = "
        << listen_.ToString() << "\nlisten_admin = " << admin_.ToString()
        << "\ncontrol = " << control.ToString()
        << "\nlog_level = warning\n[targets]\nload_period = "
           "10s\n[keys]\nhandle_key = only-for-tests-00\n";
    std::string option = "--settings";
    std::string path = program;
    std::string file = settings;
    char* arguments[] = {path.data(), option.data(), file.data(), nullptr};
    posix_spawn(&pid_, program.c_str(), nullptr, nullptr, arguments, environ);
    WaitUntilReady();
    std::filesystem::remove(settings);
  }

  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  ~EntryProcess() {
    if (pid_ > 0) {
      Terminate();
      WaitForExit();
    }
  }

  /// Sends SIGTERM.
  void Terminate() const { kill(pid_, SIGTERM); }

  /// Waits for the process to end. Returns its exit code, or -1 if it was
  /// killed by a signal.
  int WaitForExit() {
    int status = 0;
    waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  const Address& Listening() const { return listen_; }

  /// Processor time used so far, in seconds.
  double CpuSeconds() const {
    constexpr int kUserTimeField = 14;
    std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
    std::string word;
    std::int64_t ticks = 0;
    for (int i = 1; i <= kUserTimeField + 1 && in >> word; ++i) {
      if (i >= kUserTimeField) {
        ticks += std::stoll(word);
      }
    }
    return static_cast<double>(ticks) /
           static_cast<double>(sysconf(_SC_CLK_TCK));
  }

  /// Resident memory in MiB.
  double ResidentMiB() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(in, line)) {
      if (line.starts_with("VmRSS:")) {
        return std::stod(line.substr(6)) / 1024;
      }
    }
    return 0;
  }

 private:
  static Address FreeAddress() {
    return SocketServer([](SocketPeer&) {}).Listening();
  }

  void WaitUntilReady() const {
    std::string answer;
    while (answer.find(" 200 ") == std::string::npos) {
      SocketPeer peer = SocketPeer::Connect(admin_);
      peer.Send("GET /readyz HTTP/1.1\r\nHost: b\r\n\r\n");
      answer = peer.ReadUntil("\r\n");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  Address listen_;
  Address admin_;
  pid_t pid_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_ENTRY_ENTRY_PROCESS_H_
