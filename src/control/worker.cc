#include "src/control/worker.h"

#include <exception>
#include <utility>

namespace hornbeamcleat {

Worker::Worker(std::string name, std::size_t max_jobs)
    : log_(std::move(name)), max_jobs_(max_jobs), thread_([this] { Run(); }) {}

Worker::~Worker() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    jobs_.clear();
  }
  changed_.notify_all();
  thread_.join();
}

bool Worker::Submit(Job job) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_ || jobs_.size() >= max_jobs_) {
      return false;
    }
    jobs_.push_back(std::move(job));
  }
  changed_.notify_one();
  return true;
}

void Worker::Run() {
  while (true) {
    Job job;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (stopping_) {
        return;
      }
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    try {
      job();
    } catch (const std::exception& e) {
      log_.Error("Job failed. cause={}", e.what());
    }
  }
}

}  // namespace hornbeamcleat
