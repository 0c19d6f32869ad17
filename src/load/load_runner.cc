#include "src/load/load_runner.h"

#include <fmt/format.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <exception>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "src/load/address_book.h"
#include "src/load/arrival_plan.h"
#include "src/load/load_session.h"
#include "src/net/target_client.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kLongestWait = std::chrono::milliseconds(100);
constexpr Duration kProgressPeriod = std::chrono::seconds(1);
constexpr Duration kAddressRetry = std::chrono::milliseconds(500);
constexpr std::uint64_t kAddressHandle = 1;
constexpr std::uint64_t kFirstHandle = 2;
constexpr int kOk = 200;

class Runner : public TargetHandler {
 public:
  Runner(const Experiment& experiment, const LoadTargets& targets)
      : experiment_(experiment),
        targets_(targets),
        plan_(PlanArrivals(experiment)),
        book_(targets.direct ? targets.engines : targets.entries),
        clock_(Clock::Make()),
        client_(TargetClient::Make(this)) {
    events_ = experiment.events;
    std::sort(
        events_.begin(), events_.end(),
        [](const FaultEvent& a, const FaultEvent& b) { return a.at < b.at; });
    sessions_.reserve(plan_.size());
    start_ = clock_->Now();
    session_options_ = {experiment.prompts, experiment.retries.max_retries,
                        targets.direct, clock_->WallNow()};
    NameRequests();
  }

  LoadResult Run() {
    const Duration limit = experiment_.length + experiment_.drain;
    while (Now() < limit && (next_ < plan_.size() || !Idle())) {
      SendDue();
      client_->Run();
      ShowProgress();
      Wait();
    }
    return Collect();
  }

  void OnSending(std::uint64_t) override {}

  void OnHead(std::uint64_t handle, int status,
              const std::map<std::string, std::string>& headers) override {
    if (handle == kAddressHandle) {
      address_status_ = status;
    } else if (LoadSession* session = Find(handle)) {
      session->TakeHead(status, headers);
    }
  }

  void OnBody(std::uint64_t handle, std::string_view bytes) override {
    if (handle == kAddressHandle) {
      address_body_ += bytes;
    } else if (LoadSession* session = Find(handle)) {
      session->TakeBody(bytes, Now());
      // A whole answer's connection ends by itself.
      if (session->Record().end == RequestEnd::kWrong) {
        Close(handle);
        client_->Abort(handle);
      }
    }
  }

  void OnEnd(std::uint64_t handle, TargetEnd end,
             const std::string& cause) override {
    if (handle == kAddressHandle) {
      return TakeAddresses(end);
    }
    const auto it = open_.find(handle);
    if (it == open_.end()) {
      return;
    }
    const std::size_t n = it->second;
    open_.erase(it);
    LoadSession& session = *sessions_[n];
    const SessionStep step = session.TakeEnd(end, cause, Now());
    if (step == SessionStep::kDone) {
      CountEnd(session);
    } else {
      later_.emplace(Now() + session.RetryDelay(), Later{n, step});
    }
  }

 private:
  struct Later {
    std::size_t session;
    SessionStep step;
  };

  // Runs of one seed must not share ids: engines keep ended streams a while.
  void NameRequests() {
    const std::int64_t run =
        session_options_.run_start.time_since_epoch().count();
    for (PlannedRequest& each : plan_) {
      each.id += fmt::format("-{:x}", run);
    }
  }

  Duration Now() const { return clock_->Now() - start_; }

  bool Idle() const { return open_.empty() && later_.empty(); }

  LoadSession* Find(std::uint64_t handle) {
    const auto it = open_.find(handle);
    return it == open_.end() ? nullptr : sessions_[it->second].get();
  }

  void Close(std::uint64_t handle) {
    CountEnd(*sessions_[open_.at(handle)]);
    open_.erase(handle);
  }

  void CountEnd(const LoadSession& session) { ++ended_[session.Record().end]; }

  void SendDue() {
    const Duration now = Now();
    while (next_ < plan_.size() && plan_[next_].at <= now) {
      const PlannedRequest& plan = plan_[next_++];
      sessions_.push_back(std::make_unique<LoadSession>(
          plan, experiment_.classes[plan.request_class], session_options_));
      Send(sessions_.size() - 1, SessionStep::kSend);
    }
    while (!later_.empty() && later_.begin()->first <= now) {
      const Later later = later_.begin()->second;
      later_.erase(later_.begin());
      Send(later.session, later.step);
    }
    while (next_event_ < events_.size() && events_[next_event_].at <= now) {
      SendFaults(events_[next_event_++]);
    }
    if (!targets_.direct && now >= addresses_due_) {
      AskAddresses();
    }
  }

  void Send(std::size_t n, SessionStep step) {
    TargetRequest request = sessions_[n]->Begin(step, book_.Next(), Now());
    request.handle = next_handle_++;
    open_[request.handle] = n;
    client_->Begin(request);
  }

  void SendFaults(const FaultEvent& event) {
    TargetRequest request;
    request.handle = next_handle_++;
    request.address =
        targets_.engines.at(static_cast<std::size_t>(event.engine));
    request.path = "/faults";
    request.body = event.faults;
    client_->Begin(request);
  }

  void AskAddresses() {
    addresses_due_ = Duration::max();
    address_status_ = 0;
    address_body_.clear();
    TargetRequest request;
    request.handle = kAddressHandle;
    request.address = book_.Next();
    request.method = "GET";
    request.path = "/v1/addresses";
    client_->Begin(request);
  }

  void TakeAddresses(TargetEnd end) {
    addresses_due_ = Now() + kAddressRetry;
    if (end != TargetEnd::kComplete || address_status_ != kOk) {
      return;
    }
    try {
      addresses_due_ = Now() + book_.Take(address_body_);
    } catch (const std::exception& e) {
      Logger("load").Warning("Bad address list. cause={}", e.what());
    }
  }

  void Wait() {
    Duration wait = std::min(kLongestWait, client_->NextRun());
    if (next_ < plan_.size()) {
      wait = std::min(wait, plan_[next_].at - Now());
    }
    if (!later_.empty()) {
      wait = std::min(wait, later_.begin()->first - Now());
    }
    wait = std::max(wait, Duration(0));
    pollfd fd{client_->PollFd(), POLLIN, 0};
    timespec limit{};
    limit.tv_nsec = wait.count() * 1000;
    ppoll(&fd, 1, &limit, nullptr);
  }

  void ShowProgress() {
    if (!targets_.progress || Now() < progress_due_) {
      return;
    }
    progress_due_ = Now() + kProgressPeriod;
    std::string line = fmt::format("\r{:4.0f} s  sent {}  open {}",
                                   ToSeconds(Now()), next_, open_.size());
    for (const auto& [end, n] : ended_) {
      line += fmt::format("  {} {}", RequestEndName(end), n);
    }
    fmt::print(stderr, "{}  ", line);
  }

  LoadResult Collect() {
    LoadResult out;
    for (const std::unique_ptr<LoadSession>& session : sessions_) {
      session->GiveUp(Now());
      out.records.push_back(session->Record());
      out.gaps.insert(out.gaps.end(), session->Gaps().begin(),
                      session->Gaps().end());
    }
    if (targets_.progress) {
      fmt::print(stderr, "\n");
    }
    return out;
  }

  const Experiment& experiment_;
  const LoadTargets& targets_;
  std::vector<PlannedRequest> plan_;
  std::vector<FaultEvent> events_;
  AddressBook book_;
  std::unique_ptr<Clock> clock_;
  std::unique_ptr<TargetClient> client_;
  Time start_;
  SessionOptions session_options_;
  std::vector<std::unique_ptr<LoadSession>> sessions_;
  std::unordered_map<std::uint64_t, std::size_t> open_;  ///< by handle
  std::multimap<Duration, Later> later_;
  std::map<RequestEnd, std::int64_t> ended_;
  std::size_t next_ = 0;
  std::size_t next_event_ = 0;
  std::uint64_t next_handle_ = kFirstHandle;
  Duration addresses_due_ = Duration(0);
  Duration progress_due_ = kProgressPeriod;
  int address_status_ = 0;
  std::string address_body_;
};

}  // namespace

LoadResult RunLoad(const Experiment& experiment, const LoadTargets& targets) {
  for (const FaultEvent& event : experiment.events) {
    if (event.engine < 0 ||
        event.engine >= static_cast<std::int64_t>(targets.engines.size())) {
      throw Error("run experiment", "", "an event names an unknown engine");
    }
  }
  return Runner(experiment, targets).Run();
}

}  // namespace hornbeamcleat
