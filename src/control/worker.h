#ifndef HORNBEAMCLEAT_SRC_CONTROL_WORKER_H_
#define HORNBEAMCLEAT_SRC_CONTROL_WORKER_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "hornbeamcleat/base/log.h"

namespace hornbeamcleat {

/// Thread for calls that block, in the order they were given. Destroying it
/// drops what has not begun and waits for what has.
class Worker {
 public:
  using Job = std::function<void()>;

  /// @param name log prefix
  /// @param max_jobs jobs held; Submit fails beyond it
  Worker(std::string name, std::size_t max_jobs);
  ~Worker();

  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// Runs `job` on the thread. Exceptions are logged. Thread-safe.
  /// @return false if the queue is full
  bool Submit(Job job);

 private:
  void Run();

  Logger log_;
  std::size_t max_jobs_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_WORKER_H_
