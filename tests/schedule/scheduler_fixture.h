#ifndef HORNBEAMCLEAT_TESTS_SCHEDULE_SCHEDULER_FIXTURE_H_
#define HORNBEAMCLEAT_TESTS_SCHEDULE_SCHEDULER_FIXTURE_H_

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "hornbeamcleat/schedule/scheduler.h"

namespace hornbeamcleat {

/// Two tiers, gold and bronze, each with a workspace of the same name.
/// Application "chat" runs on engines e0, e1, ... and "pay", which is not
/// idempotent, on service s0.
class SchedulerFixture : public testing::Test {
 protected:
  void SetUp() override {
    AddTier("gold", 0);
    AddTier("bronze", 2);
    AddTarget("e0", "m");
    AddTarget("e1", "m");
    AddTarget("s0", "pay-model");
    Apply();
  }

  static Time At(int ms) { return Time(std::chrono::milliseconds(ms)); }

  void AddTier(const std::string& name, int rank) {
    Put(name, TierSpec{rank, std::chrono::seconds(60)});
    Put(name,
        WorkspaceSpec{name, 1, {{"chat", "m"}, {"pay", "pay-model", false}}});
  }

  void AddTarget(const std::string& name, const std::string& model,
                 const std::string& version = "v1") {
    TargetSpec spec;
    spec.address = "127.0.0.1:1";
    spec.model = model;
    spec.version = version;
    spec.hardware = "h1";
    Put(name, spec);
  }

  void Put(const std::string& name, const ResourceSpec& spec) {
    config_.resources[{KindName(spec), name}] = Resource{name, 1, spec};
  }

  Actions Apply() {
    view_.config = std::make_shared<const ConfigState>(config_);
    return scheduler_->SetView(std::make_shared<const ClusterView>(view_),
                               now_);
  }

  void Restart(const SchedulerOptions& options) {
    scheduler_ = Scheduler::Make(options);
    Apply();
  }

  static RequestProperty Content(const std::string& text) {
    return {PropertyKind::kContent, text};
  }

  RequestSpec Spec(const std::string& id, const std::string& workspace = "gold",
                   const std::string& application = "chat") const {
    RequestSpec spec;
    spec.id = id;
    spec.workspace = workspace;
    spec.application = application;
    spec.arrival = now_;
    spec.deadline = Time::max();
    spec.prompt_tokens = 100;
    spec.properties = {Content("7")};
    return spec;
  }

  Actions Submit(const std::string& id, const std::string& workspace = "gold",
                 const std::string& application = "chat") {
    RequestSpec spec = Spec(id, workspace, application);
    if (application == "pay") {
      spec.idempotency_key = "key-" + id;
    }
    return scheduler_->Submit(spec, now_);
  }

  Actions Send(const RequestEvent& event) {
    return scheduler_->OnEvent(event, now_);
  }

  /// Submits a request and reports it as sent.
  void Run(const std::string& id, const std::string& workspace = "gold") {
    Submit(id, workspace);
    Send(RequestSent{id});
  }

  Actions Advance(int ms) {
    now_ += std::chrono::milliseconds(ms);
    return scheduler_->Tick(now_);
  }

  /// Ticks every 50 ms for `ms` and returns all actions.
  Actions Elapse(int ms) {
    Actions all;
    for (int done = 0; done < ms; done += 50) {
      const Actions some = Advance(50);
      all.insert(all.end(), some.begin(), some.end());
    }
    return all;
  }

  template <typename T>
  static std::vector<T> All(const Actions& actions) {
    std::vector<T> found;
    for (const Action& action : actions) {
      if (const T* one = std::get_if<T>(&action)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  /// Returns "outcome reason" of the only refusal among the actions, "none"
  /// without one and "several" with more.
  static std::string Refusal(const Actions& actions) {
    const std::vector<RefuseAction> all = All<RefuseAction>(actions);
    if (all.size() != 1) {
      return all.empty() ? "none" : "several";
    }
    return std::string(OutcomeName(all[0].outcome)) + " " +
           ReasonName(all[0].reason);
  }

  ConfigState config_;
  ClusterView view_;
  Time now_ = At(1'000'000);
  std::unique_ptr<Scheduler> scheduler_ = Scheduler::Make(SchedulerOptions{});
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_SCHEDULE_SCHEDULER_FIXTURE_H_
