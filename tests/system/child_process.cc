#include "tests/system/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace hornbeamcleat {
namespace {

constexpr int kPolls = 400;
constexpr std::chrono::milliseconds kPollPeriod(50);

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& log)
    : log_(log) {
  const std::string path =
      std::string(HORNBEAMCLEAT_BINARY_DIR) + "/" + program;
  std::vector<std::string> words = {path};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words) {
    argv.push_back(word.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  const int error =
      posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("can't start " + path);
  }
}

ChildProcess::~ChildProcess() { Kill(); }

void ChildProcess::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

void ChildProcess::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

int ChildProcess::WaitForExit() {
  for (int i = 0; i < kPolls && pid_ > 0; ++i) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return -1;
}

std::string ChildProcess::ListeningAddress() const {
  const std::string marker = "listening on ";
  for (int i = 0; i < kPolls; ++i) {
    std::ifstream in(log_);
    std::string line;
    while (std::getline(in, line)) {
      if (line.rfind(marker, 0) == 0) {
        return line.substr(marker.size());
      }
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return "";
}

}  // namespace hornbeamcleat
