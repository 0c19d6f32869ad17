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

/// Runs blocking jobs in FIFO order on a thread of its own. The destructor
/// drops queued jobs and waits for the running one.
class Worker {
 public:
  using Job = std::function<void()>;

  /// @param name log prefix
  /// @param max_jobs queue capacity; Submit fails when it is full
  Worker(std::string name, std::size_t max_jobs);
  ~Worker();

  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// Queues `job`. Exceptions that it throws are logged. Thread-safe.
  /// @return false if the queue is full or the worker is stopping
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
