#ifndef HORNBEAMCLEAT_SRC_ENTRY_LOOP_THREAD_H_
#define HORNBEAMCLEAT_SRC_ENTRY_LOOP_THREAD_H_

#include <atomic>
#include <exception>
#include <functional>
#include <thread>
#include <utility>

namespace hornbeamcleat {

/// Thread that runs the iterations of a loop until it is destroyed or an
/// iteration throws.
class LoopThread {
 public:
  explicit LoopThread(std::function<void()> iteration)
      : thread_([this, iteration = std::move(iteration)] { Run(iteration); }) {}

  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  ~LoopThread() {
    stop_ = true;
    thread_.join();
  }

  /// Rethrows the exception that an iteration threw, if any.
  void Check() const {
    if (failed_) {
      std::rethrow_exception(failure_);
    }
  }

 private:
  void Run(const std::function<void()>& iteration) {
    try {
      while (!stop_) {
        iteration();
      }
    } catch (...) {
      failure_ = std::current_exception();
      failed_ = true;
    }
  }

  std::atomic<bool> stop_{false};
  std::atomic<bool> failed_{false};
  std::exception_ptr failure_;
  std::thread thread_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_LOOP_THREAD_H_
