#ifndef HORNBEAMCLEAT_BENCH_SCHEDULE_FAKE_ENGINE_H_
#define HORNBEAMCLEAT_BENCH_SCHEDULE_FAKE_ENGINE_H_

#include <algorithm>
#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "hornbeamcleat/schedule/scheduler.h"

namespace hornbeamcleat::overload {

/// Request of the experiment.
struct Job {
  RequestId id;
  std::size_t entry = 0;
  int rank = 0;
  std::uint32_t parts = 1;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t shared_tokens = 0;  ///< of the prefix shared in its family
  std::uint64_t family = 0;
  Time arrival;
  Time deadline;
  double prefilled = 0;  ///< prompt tokens computed
  bool on_time = false;
  bool ended = false;
};

/// Engine simulated in virtual time. Admits everything, prefills one prompt at
/// a time, decodes all other requests as one batch that slows with each of
/// them, and caches the prefixes of a few families.
class FakeEngine {
 public:
  struct Running {
    Job* job = nullptr;
    double prompt_left = 0;
    double done = 0;
    std::uint32_t reported = 0;
    Time report_due;
  };
  /// Progress to report; done when the answer is complete.
  struct Progress {
    Job* job = nullptr;
    std::uint32_t parts = 0;
    bool done = false;
  };

  FakeEngine(std::string name, double speed)
      : name_(std::move(name)), speed_(speed) {}

  const std::string& Name() const { return name_; }
  int Load() const { return static_cast<int>(running_.size()); }
  void SlowDown(double factor) { slow_down_ = factor; }

  void Run(Job* job) {
    const bool cached = TouchCache(job->family);
    const double left = job->prompt_tokens - (cached ? job->shared_tokens : 0U);
    running_.push_back(Running{job, left, 0, 0, Time()});
  }

  void Cancel(const Job* job) {
    running_.remove_if([&](const Running& r) { return r.job == job; });
  }

  /// Advances the simulation by `dt`, up to `now`.
  std::vector<Progress> Step(Duration dt, Time now) {
    const double seconds = ToSeconds(dt) * speed_ / slow_down_;
    const int decoding = Prefill(seconds);
    const double gap =
        kGap * (1 + decoding / kBatchDoublingGap) * (prefilled_ ? 1.5 : 1);
    std::vector<Progress> out;
    for (auto it = running_.begin(); it != running_.end();) {
      if (it->prompt_left > 0) {
        ++it;
        continue;
      }
      it->done += seconds / gap;
      if (Report(&*it, now, &out)) {
        it = running_.erase(it);
      } else {
        ++it;
      }
    }
    return out;
  }

  /// Seconds between parts of a single request on the fastest engine.
  static constexpr double kGap = 0.015;
  /// Batch size that doubles the gap.
  static constexpr double kBatchDoublingGap = 8;
  static constexpr double kPrefillRate = 8'000;  ///< tokens per second

 private:
  /// Prefills waiting prompts.
  /// @return number of requests that decode
  int Prefill(double seconds) {
    int decoding = 0;
    double budget = seconds * kPrefillRate / 2;
    prefilled_ = false;
    for (Running& r : running_) {
      if (r.prompt_left <= 0) {
        ++decoding;
        continue;
      }
      const double work = std::min(budget, r.prompt_left);
      prefilled_ = prefilled_ || work > 0;
      r.prompt_left -= work;
      r.job->prefilled += work;
      budget -= work;
    }
    return decoding;
  }

  static bool Report(Running* r, Time now, std::vector<Progress>* out) {
    const auto parts =
        std::min(static_cast<std::uint32_t>(r->done) + 1, r->job->parts);
    const bool done = r->done >= r->job->parts;
    if (done || r->reported == 0 ||
        (now >= r->report_due && parts > r->reported)) {
      out->push_back(Progress{r->job, parts, done});
      r->reported = parts;
      r->report_due = now + std::chrono::milliseconds(100);
    }
    return done;
  }

  bool TouchCache(std::uint64_t family) {
    const auto it = std::find(cache_.begin(), cache_.end(), family);
    const bool cached = it != cache_.end();
    if (cached) {
      cache_.erase(it);
    }
    cache_.push_front(family);
    if (cache_.size() > kCachedFamilies) {
      cache_.pop_back();
    }
    return cached;
  }

  static constexpr std::size_t kCachedFamilies = 12;

  std::string name_;
  double speed_;
  double slow_down_ = 1;
  bool prefilled_ = false;
  std::list<Running> running_;
  std::list<std::uint64_t> cache_;
};

}  // namespace hornbeamcleat::overload

#endif  // HORNBEAMCLEAT_BENCH_SCHEDULE_FAKE_ENGINE_H_
