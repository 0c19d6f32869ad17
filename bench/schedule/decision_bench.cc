#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "hornbeamcleat/schedule/scheduler.h"

namespace hornbeamcleat {
namespace {

constexpr int kTargets = 40;
constexpr int kWorkspaces = 4'600;
constexpr int kTiers = 3;
constexpr Duration kFar = std::chrono::hours(10'000);

/// Scheduler whose targets have no free credit and whose queue has a given
/// length.
class SaturatedScheduler {
 public:
  explicit SaturatedScheduler(int queued) {
    SchedulerOptions options;
    options.max_queued = 2 * queued + kTargets * 1'000;
    scheduler_ = Scheduler::Make(options);
    scheduler_->SetView(View(), now_);
    while (scheduler_->Facts(now_).queued < queued) {
      Submit();
    }
  }

  /// Submits one request, which is queued.
  void Admit() { Submit(); }

  /// Completes one request, which dispatches a queued one, and reports that as
  /// sent.
  void Dispatch() {
    now_ += std::chrono::microseconds(10);
    const RequestId done = running_.front();
    running_.pop_front();
    ApplyActions(scheduler_->OnEvent(AnswerDone{done, 100, 0}, now_));
  }

 private:
  std::shared_ptr<const ClusterView> View() const {
    ConfigState config;
    const auto put = [&](const std::string& name, const ResourceSpec& spec) {
      config.resources[{KindName(spec), name}] = Resource{name, 1, spec};
    };
    for (int i = 0; i < kTiers; ++i) {
      put("tier" + std::to_string(i), TierSpec{i, kFar});
    }
    for (int i = 0; i < kWorkspaces; ++i) {
      put("w" + std::to_string(i),
          WorkspaceSpec{
              "tier" + std::to_string(i % kTiers), 1, {{"chat", "m", true}}});
    }
    for (int i = 0; i < kTargets; ++i) {
      put("e" + std::to_string(i),
          TargetSpec{TargetKind::kEngine, "127.0.0.1:1", "a", "m", "v1",
                     "h" + std::to_string(i % 3), false});
    }
    auto view = std::make_shared<ClusterView>();
    view->config = std::make_shared<const ConfigState>(config);
    return view;
  }

  void Submit() {
    std::uniform_int_distribution<int> workspace(0, kWorkspaces - 1);
    RequestSpec spec;
    spec.id = "r" + std::to_string(next_++);
    spec.workspace = "w" + std::to_string(workspace(random_));
    spec.application = "chat";
    spec.arrival = now_;
    spec.deadline = Time::max();
    spec.prompt_tokens = 256;
    spec.properties = {{PropertyKind::kContent, spec.id}};
    for (std::uint64_t i = 0; i < 16; ++i) {
      spec.prefix_blocks.push_back((next_ % 64) * 1'000 + i);
    }
    ApplyActions(scheduler_->Submit(spec, now_));
  }

  void ApplyActions(const Actions& actions) {
    for (const Action& action : actions) {
      if (const DispatchAction* sent = std::get_if<DispatchAction>(&action)) {
        running_.push_back(sent->id);
        scheduler_->OnEvent(RequestSent{sent->id}, now_);
      }
    }
  }

  Time now_ = Time(std::chrono::seconds(1'000));
  std::mt19937_64 random_{1};
  std::uint64_t next_ = 0;
  std::unique_ptr<Scheduler> scheduler_;
  std::deque<RequestId> running_;
};

double MicrosecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - start)
      .count();
}

double Median(std::vector<double>* samples) {
  const auto middle =
      samples->begin() + static_cast<std::ptrdiff_t>(samples->size() / 2);
  std::nth_element(samples->begin(), middle, samples->end());
  return *middle;
}

/// Cost of the two decisions on a request, with 40 candidate targets and 4,600
/// workspaces. An iteration times both; the counters are the median of each in
/// microseconds. Argument: queued requests.
void DecideOne(benchmark::State& state) {
  SaturatedScheduler saturated(static_cast<int>(state.range(0)));
  std::vector<double> admit;
  std::vector<double> dispatch;
  for (auto step : state) {
    std::chrono::steady_clock::time_point start =
        std::chrono::steady_clock::now();
    saturated.Admit();
    admit.push_back(MicrosecondsSince(start));
    start = std::chrono::steady_clock::now();
    saturated.Dispatch();
    dispatch.push_back(MicrosecondsSince(start));
  }
  state.counters["admit_median"] = Median(&admit);
  state.counters["dispatch_median"] = Median(&dispatch);
}

BENCHMARK(DecideOne)->Arg(1'000)->Arg(10'000)->Arg(100'000)->Unit(
    benchmark::kMicrosecond);

}  // namespace
}  // namespace hornbeamcleat
