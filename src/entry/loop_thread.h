#ifndef HORNBEAMCLEAT_SRC_ENTRY_LOOP_THREAD_H_
#define HORNBEAMCLEAT_SRC_ENTRY_LOOP_THREAD_H_

#include <atomic>
#include <exception>
#include <functional>
#include <thread>
#include <utility>

namespace hornbeamcleat {

/// Thread that runs one round of a loop after another until it is destroyed
/// or a round throws.
class LoopThread {
 public:
  explicit LoopThread(std::function<void()> round)
      : thread_([this, round = std::move(round)] { Run(round); }) {}

  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  ~LoopThread() {
    stop_ = true;
    thread_.join();
  }

  /// Throws what a round threw, if one did.
  void Check() const {
    if (failed_) {
      std::rethrow_exception(failure_);
    }
  }

 private:
  void Run(const std::function<void()>& round) {
    try {
      while (!stop_) {
        round();
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
